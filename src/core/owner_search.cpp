// Search for the owner of a flow.
#include <daisytrail/owner_search.hpp>

#include <algorithm>

namespace daisytrail
{

owner_search::candidate* owner_search::find(target_id target)
{
    auto const found =
        std::ranges::find(candidates_, target, &candidate::target_);
    return found == candidates_.end() ? nullptr : &*found;
}

bool owner_search::has(state wanted) const
{
    return std::ranges::find(candidates_, wanted, &candidate::state_) !=
           candidates_.end();
}

void owner_search::extend(std::vector<target_id> const& order)
{
    for (auto const target : order)
    {
        if (find(target) == nullptr)
        {
            candidates_.push_back({target});
        }
    }
}

void owner_search::on_answer(target_id target, flow_holding answer)
{
    auto* const held = find(target);
    if (held == nullptr)
    {
        return;
    }
    if (answer == flow_holding::not_held)
    {
        held->state_ = state::denied;
    }
    else if (held->state_ == state::asked)
    {
        held->state_ = state::unsure;
    }
}

void owner_search::on_returned(target_id target)
{
    auto* const held = find(target);
    if (held == nullptr)
    {
        candidates_.push_back({target, state::denied});
        return;
    }
    held->state_ = state::denied;
}

bool owner_search::is_asking() const
{
    return has(state::asked);
}

void owner_search::wait(time_point now)
{
    repeat_at_ = now + patience_;
}

std::vector<target_id> owner_search::repeat(time_point now)
{
    patience_ = std::min<duration>(2 * patience_, most_patience);
    wait(now);
    std::vector<target_id> result;
    for (auto const& each : candidates_)
    {
        if (each.state_ == state::asked)
        {
            result.push_back(each.target_);
        }
    }
    auto const silent =
        std::ranges::find(candidates_, state::offered, &candidate::state_);
    if (silent != candidates_.end())
    {
        silent->state_ = state::unsure;
        std::rotate(silent, std::next(silent), candidates_.end());
    }
    return result;
}

std::vector<target_id>
owner_search::next_questions(time_point now,
                             std::function<bool(target_id)> const& may_ask)
{
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        if (result.size() == batch_)
        {
            break;
        }
        if (each.state_ == state::unasked && may_ask(each.target_))
        {
            each.state_ = state::asked;
            result.push_back(each.target_);
        }
    }
    if (!result.empty())
    {
        wait(now);
        batch_ *= batch_growth;
    }
    return result;
}

target_id owner_search::next_offer(time_point now)
{
    auto const found =
        std::ranges::find(candidates_, state::unsure, &candidate::state_);
    if (found == candidates_.end())
    {
        return 0;
    }
    found->state_ = state::offered;
    wait(now);
    return found->target_;
}

target_id owner_search::offered() const
{
    auto const found =
        std::ranges::find(candidates_, state::offered, &candidate::state_);
    return found == candidates_.end() ? 0 : found->target_;
}

} // namespace daisytrail
