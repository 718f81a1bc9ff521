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

void owner_search::prefer(std::vector<target_id> const& targets)
{
    for (auto const target : targets)
    {
        if (find(target) == nullptr)
        {
            candidates_.push_back({target, state::unasked, true});
        }
    }
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

void owner_search::on_answer(target_id target, flow_ownership answer)
{
    auto* const held = find(target);
    if (held == nullptr)
    {
        return;
    }
    if (answer == flow_ownership::not_held)
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
    return has(state::unasked) || has(state::asked);
}

bool owner_search::is_offering() const
{
    return has(state::offered);
}

std::vector<target_id> owner_search::holders() const
{
    std::vector<target_id> result;
    for (auto const& each : candidates_)
    {
        bool const was_offered = each.offered_ != time_point{};
        if (was_offered && each.state_ != state::denied)
        {
            result.push_back(each.target_);
        }
    }
    return result;
}

bool owner_search::has_ended() const
{
    return std::ranges::all_of(candidates_, [](candidate const& each)
                               { return each.state_ == state::denied; });
}

search_figures owner_search::figures(time_point now) const
{
    search_figures result;
    result.age_ = now - began_;
    for (auto const& each : candidates_)
    {
        result.asked_ += each.state_ == state::unasked ? 0 : 1;
        result.denied_ += each.state_ == state::denied ? 1 : 0;
        bool const is_unsure =
            each.state_ == state::unsure || each.state_ == state::offered;
        result.unsure_ += is_unsure ? 1 : 0;
    }
    return result;
}

bool owner_search::is_overdue(time_point now) const
{
    return must_repeat(now) || (now > next_batch_ && has(state::unasked));
}

std::vector<target_id> owner_search::repeat(time_point now,
                                            target_test const& is_lost)
{
    patience_ = std::min<duration>(2 * patience_, most_patience);
    repeat_at_ = now + patience_;
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        bool const was_in_vain = each.state_ == state::offered &&
                                 now >= each.offered_ + most_patience;
        if (was_in_vain)
        {
            each.state_ = state::asked;
            each.asked_ = now;
        }
        bool const was_lost = each.state_ == state::asked &&
                              now > each.asked_ + lost_patience &&
                              is_lost(each.target_);
        if (was_lost)
        {
            each.state_ = state::denied;
        }
        if (each.state_ == state::asked)
        {
            result.push_back(each.target_);
        }
    }
    return result;
}

std::vector<target_id> owner_search::next_questions(time_point now)
{
    bool const waits =
        (has(state::asked) || has(state::offered)) && now <= next_batch_;
    if (waits)
    {
        return {};
    }
    bool const asks_preferred = std::ranges::any_of(
        candidates_, [](candidate const& each)
        { return each.is_preferred_ && each.state_ == state::unasked; });
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        if (result.size() == batch_)
        {
            break;
        }
        bool const is_next = each.state_ == state::unasked &&
                             each.is_preferred_ == asks_preferred;
        if (is_next)
        {
            each.state_ = state::asked;
            each.asked_ = now;
            result.push_back(each.target_);
        }
    }
    if (!result.empty())
    {
        batch_ *= asks_preferred ? 1 : batch_growth;
        next_batch_ = now + batch_patience;
        repeat_at_ = now + patience_;
    }
    return result;
}

bool owner_search::is_awaited(candidate const& each,
                              target_test const& is_silent) const
{
    return each.state_ == state::unasked ||
           (each.state_ == state::asked && !is_silent(each.target_));
}

std::size_t owner_search::open_offers() const
{
    return static_cast<std::size_t>(
        std::ranges::count(candidates_, state::offered, &candidate::state_));
}

bool owner_search::awaits_answers(target_test const& is_silent) const
{
    return std::ranges::any_of(candidates_, [&](candidate const& each)
                               { return is_awaited(each, is_silent); });
}

bool owner_search::awaits_preferred(target_test const& is_silent) const
{
    return std::ranges::any_of(
        candidates_, [&](candidate const& each)
        { return each.is_preferred_ && is_awaited(each, is_silent); });
}

// Those that can't tell and needn't wait for others' answers.
std::vector<owner_search::candidate*>
owner_search::ready_for_offers(target_test const& is_silent)
{
    bool const awaits_any = awaits_answers(is_silent);
    bool const awaits_first = awaits_preferred(is_silent);
    std::vector<candidate*> ready;
    for (auto& each : candidates_)
    {
        bool const may_have_it =
            each.is_preferred_ ? !awaits_first : !awaits_any;
        if (each.state_ == state::unsure && may_have_it)
        {
            ready.push_back(&each);
        }
    }
    // One that let a packet pass in silence comes after the others.
    std::ranges::stable_sort(ready, {}, &candidate::offered_);
    return ready;
}

std::vector<target_id> owner_search::next_offers(time_point now,
                                                 target_test const& is_silent)
{
    auto ready = ready_for_offers(is_silent);
    if (!is_asking())
    {
        auto const open = std::min(open_offers(), max_offers);
        ready.resize(std::min(ready.size(), max_offers - open));
    }
    else if (ready.size() <= early_offers_left_)
    {
        early_offers_left_ -= ready.size();
    }
    else
    {
        // Most would go astray, and the next ones had to wait for all answers.
        ready.clear();
    }
    std::vector<target_id> result;
    for (auto* const each : ready)
    {
        each->state_ = state::offered;
        each->offered_ = now;
        result.push_back(each->target_);
    }
    return result;
}

} // namespace daisytrail
