// Proof that a backend server holds what it didn't return.
#include <daisytrail/owner_claims.hpp>

#include <algorithm>
#include <iterator>

namespace daisytrail
{

// A packet that is offered again is judged by its last passing: an earlier one
// may have been lost.
void owner_claims::add(flow_key const& flow, endpoint const& balancer)
{
    take(flow);
    if (claims_.size() >= settings_.max_claims_)
    {
        erase(claims_.begin());
    }
    claims_.push_back({flow, balancer, std::nullopt});
    index_[flow] = std::prev(claims_.end());
}

void owner_claims::on_sent(time_point now)
{
    for (auto at = claims_.rbegin(); at != claims_.rend() && !at->sent_; ++at)
    {
        at->sent_ = now;
        newest_sent_ = now;
    }
}

// What is read now was sent after the socket was last empty, however late it is
// read.
void owner_claims::on_heard(time_point now)
{
    auto const covered =
        signs_.empty() ? held_until_ : signs_.back().sent_after_;
    bool const is_useful =
        !claims_.empty() && newest_sent_ > covered && emptied_ > covered;
    if (is_useful)
    {
        signs_.push_back({emptied_, now});
    }
}

void owner_claims::on_emptied(time_point at)
{
    emptied_ = std::max(emptied_, at);
    while (!signs_.empty() &&
           emptied_ >= signs_.front().read_ + settings_.return_time_)
    {
        held_until_ = signs_.front().sent_after_;
        signs_.pop_front();
    }
}

std::optional<endpoint> owner_claims::take(flow_key const& flow)
{
    auto const found = index_.find(flow);
    if (found == index_.end())
    {
        return std::nullopt;
    }
    auto const balancer = found->second->balancer_;
    erase(found->second);
    return balancer;
}

std::vector<owner_claims::claim> owner_claims::take_held()
{
    std::vector<claim> result;
    while (!claims_.empty() && claims_.front().sent_ &&
           *claims_.front().sent_ <= held_until_)
    {
        result.push_back(claims_.front());
        erase(claims_.begin());
    }
    return result;
}

void owner_claims::tick(time_point now)
{
    while (!claims_.empty() && claims_.front().sent_ &&
           now > *claims_.front().sent_ + settings_.claim_life_)
    {
        erase(claims_.begin());
    }
}

owner_claims::claim_list::iterator owner_claims::erase(claim_list::iterator at)
{
    index_.erase(at->flow_);
    return claims_.erase(at);
}

} // namespace daisytrail
