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
    bool const is_open =
        held->state_ == state::asked || held->state_ == state::unanswered;
    if (answer == flow_holding::not_held)
    {
        held->state_ = state::denied;
    }
    else if (is_open)
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

bool owner_search::is_waiting() const
{
    return has(state::asked) || has(state::offered);
}

bool owner_search::is_overdue(time_point now, duration patience) const
{
    return is_waiting() && now > began_ + patience;
}

std::vector<target_id> owner_search::repeat(time_point now)
{
    began_ = now;
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        bool const is_open =
            each.state_ == state::asked || each.state_ == state::offered;
        if (!is_open)
        {
            continue;
        }
        if (each.was_repeated_)
        {
            each.state_ = state::unanswered;
            continue;
        }
        each.was_repeated_ = true;
        result.push_back(each.target_);
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
        began_ = now;
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
    found->was_repeated_ = false;
    began_ = now;
    return found->target_;
}

target_id owner_search::offered() const
{
    auto const found =
        std::ranges::find(candidates_, state::offered, &candidate::state_);
    return found == candidates_.end() ? 0 : found->target_;
}

bool owner_search::has_unanswered() const
{
    return has(state::unanswered);
}

} // namespace daisytrail
