// Confirms that a backend server holds the flows whose packets it didn't
// return.
#include <daisytrail/ownership_checks.hpp>

#include <algorithm>
#include <iterator>

namespace daisytrail
{

// Replaces an earlier check of the flow. The time of the last packet counts,
// since an earlier packet may have been lost.
void ownership_checks::add(flow_key const& flow, endpoint const& balancer)
{
    take(flow);
    if (checks_.size() >= settings_.max_checks_)
    {
        erase(checks_.begin());
    }
    checks_.push_back({flow, balancer, std::nullopt});
    index_[flow] = std::prev(checks_.end());
}

void ownership_checks::on_packets_sent(time_point now)
{
    for (auto at = checks_.rbegin(); at != checks_.rend() && !at->sent_at_;
         ++at)
    {
        at->sent_at_ = now;
        last_sent_at_ = now;
    }
}

// A datagram that is read now was sent after the socket was last empty, even if
// the agent reads it late.
void ownership_checks::on_datagram_read(time_point now)
{
    auto const covered =
        evidence_.empty() ? confirmed_until_ : evidence_.back().sent_after_;
    bool const is_newer = !checks_.empty() && last_sent_at_ > covered &&
                          last_emptied_at_ > covered;
    if (is_newer)
    {
        evidence_.push_back({last_emptied_at_, now});
    }
}

void ownership_checks::on_socket_emptied(time_point at)
{
    last_emptied_at_ = std::max(last_emptied_at_, at);
    while (!evidence_.empty() &&
           last_emptied_at_ >=
               evidence_.front().read_at_ + settings_.return_timeout_)
    {
        confirmed_until_ = evidence_.front().sent_after_;
        evidence_.pop_front();
    }
}

std::optional<endpoint> ownership_checks::take(flow_key const& flow)
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

std::vector<ownership_checks::ownership_check>
ownership_checks::take_confirmed()
{
    std::vector<ownership_check> result;
    while (!checks_.empty() && checks_.front().sent_at_ &&
           *checks_.front().sent_at_ <= confirmed_until_)
    {
        result.push_back(checks_.front());
        erase(checks_.begin());
    }
    return result;
}

void ownership_checks::tick(time_point now)
{
    while (!checks_.empty() && checks_.front().sent_at_ &&
           now > *checks_.front().sent_at_ + settings_.check_timeout_)
    {
        erase(checks_.begin());
    }
}

ownership_checks::check_list::iterator
ownership_checks::erase(check_list::iterator at)
{
    index_.erase(at->flow_);
    return checks_.erase(at);
}

} // namespace daisytrail
