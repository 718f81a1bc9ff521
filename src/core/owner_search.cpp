// Search for the target that holds an open flow.
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

void owner_search::add_preferred_candidates(
    std::vector<target_id> const& targets)
{
    for (auto const target : targets)
    {
        if (find(target) == nullptr)
        {
            candidates_.push_back({target, state::unasked, true});
        }
    }
}

void owner_search::add_candidates(std::vector<target_id> const& order)
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
    auto* const entry = find(target);
    if (entry == nullptr)
    {
        return;
    }
    if (answer == flow_ownership::not_held)
    {
        entry->state_ = state::denied;
    }
    else if (entry->state_ == state::asked)
    {
        entry->state_ = answer == flow_ownership::improbable
                            ? state::improbable
                            : state::undetermined;
    }
}

void owner_search::on_returned(target_id target)
{
    auto* const entry = find(target);
    if (entry == nullptr)
    {
        candidates_.push_back({target, state::denied});
        return;
    }
    entry->state_ = state::denied;
}

bool owner_search::has_pending_questions() const
{
    return has(state::unasked) || has(state::asked);
}

bool owner_search::has_open_offers() const
{
    return has(state::offered);
}

std::vector<target_id> owner_search::offered_targets() const
{
    std::vector<target_id> result;
    for (auto const& each : candidates_)
    {
        bool const has_been_offered = each.offered_at_ != time_point{};
        bool const may_return =
            each.state_ != state::denied && each.state_ != state::lost;
        if (has_been_offered && may_return)
        {
            result.push_back(each.target_);
        }
    }
    return result;
}

bool owner_search::is_exhausted() const
{
    return std::ranges::all_of(
        candidates_, [](candidate const& each)
        { return each.state_ == state::denied || each.state_ == state::lost; });
}

// A target that was presumed dead may hold the flow: it may have been declared
// dead wrongly, or only its agent may have restarted.
void owner_search::ask_found_targets(target_test const& is_lost)
{
    for (auto& each : candidates_)
    {
        if (each.state_ == state::lost && !is_lost(each.target_))
        {
            each.state_ = state::unasked;
        }
    }
}

search_progress owner_search::progress(time_point now) const
{
    search_progress result;
    result.age_ = now - started_at_;
    for (auto const& each : candidates_)
    {
        result.asked_ += each.state_ == state::unasked ? 0 : 1;
        bool const is_ruled_out =
            each.state_ == state::denied || each.state_ == state::lost;
        result.denied_ += is_ruled_out ? 1 : 0;
        bool const is_undetermined = each.state_ == state::undetermined ||
                                     each.state_ == state::improbable ||
                                     each.state_ == state::offered;
        result.undetermined_ += is_undetermined ? 1 : 0;
    }
    return result;
}

bool owner_search::is_overdue(time_point now) const
{
    return is_retransmission_due(now) ||
           (now > next_batch_at_ && has(state::unasked));
}

std::vector<target_id>
owner_search::next_retransmissions(time_point now, target_test const& is_lost)
{
    retransmission_timeout_ = std::min<duration>(2 * retransmission_timeout_,
                                                 max_retransmission_timeout);
    retransmit_at_ = now + retransmission_timeout_;
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        bool const has_offer_timed_out =
            each.state_ == state::offered &&
            now >= each.offered_at_ + max_retransmission_timeout;
        if (has_offer_timed_out)
        {
            each.state_ = state::asked;
            each.asked_at_ = now;
        }
        bool const is_lost_target =
            each.state_ == state::asked &&
            now > each.asked_at_ + lost_target_timeout && is_lost(each.target_);
        if (is_lost_target)
        {
            each.state_ = state::lost;
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
    bool const is_waiting =
        (has(state::asked) || has(state::offered)) && now <= next_batch_at_;
    if (is_waiting)
    {
        return {};
    }
    bool const asks_preferred = std::ranges::any_of(
        candidates_, [](candidate const& each)
        { return each.is_preferred_ && each.state_ == state::unasked; });
    std::vector<target_id> result;
    for (auto& each : candidates_)
    {
        if (result.size() == batch_size_)
        {
            break;
        }
        bool const is_next = each.state_ == state::unasked &&
                             each.is_preferred_ == asks_preferred;
        if (is_next)
        {
            each.state_ = state::asked;
            each.asked_at_ = now;
            result.push_back(each.target_);
        }
    }
    if (!result.empty())
    {
        batch_size_ *= asks_preferred ? 1 : batch_growth_factor;
        next_batch_at_ = now + batch_timeout;
        retransmit_at_ = now + retransmission_timeout_;
    }
    return result;
}

bool owner_search::is_answer_expected(candidate const& each,
                                      target_test const& is_silent) const
{
    return each.state_ == state::unasked ||
           (each.state_ == state::asked && !is_silent(each.target_));
}

std::size_t owner_search::open_offer_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count(candidates_, state::offered, &candidate::state_));
}

bool owner_search::awaits_answers(target_test const& is_silent) const
{
    return std::ranges::any_of(candidates_, [&](candidate const& each)
                               { return is_answer_expected(each, is_silent); });
}

bool owner_search::awaits_preferred(target_test const& is_silent) const
{
    return std::ranges::any_of(
        candidates_, [&](candidate const& each)
        { return each.is_preferred_ && is_answer_expected(each, is_silent); });
}

// Returns the undetermined candidates that needn't wait for further answers.
// Those that never had an offer come first, then those with the oldest offers.
std::vector<owner_search::candidate*>
owner_search::ready_for_offers(target_test const& is_silent)
{
    bool const waits_for_any = awaits_answers(is_silent);
    bool const waits_for_preferred = awaits_preferred(is_silent);
    std::vector<candidate*> ready;
    for (auto& each : candidates_)
    {
        bool const may_be_offered =
            each.is_preferred_ ? !waits_for_preferred : !waits_for_any;
        if (each.state_ == state::undetermined && may_be_offered)
        {
            ready.push_back(&each);
        }
    }
    // A candidate whose offer timed out comes after those not offered yet.
    std::ranges::stable_sort(ready, {}, &candidate::offered_at_);
    return ready;
}

std::vector<target_id>
owner_search::offer_to(std::vector<candidate*> const& chosen, time_point now)
{
    std::vector<target_id> result;
    for (auto* const each : chosen)
    {
        each->state_ = state::offered;
        each->offered_at_ = now;
        result.push_back(each->target_);
    }
    return result;
}

std::vector<target_id> owner_search::next_improbable_offers(
    time_point now, target_test const& is_silent, offer_budget& budget)
{
    std::vector<candidate*> ready;
    for (auto& each : candidates_)
    {
        if (each.state_ == state::improbable)
        {
            ready.push_back(&each);
        }
    }
    if (ready.empty() || awaits_answers(is_silent))
    {
        return {};
    }
    if (!are_improbable_offers_paid_)
    {
        bool const may_be_elsewhere =
            has(state::undetermined) || has(state::offered);
        if (may_be_elsewhere || !budget.consume(ready.size(), now))
        {
            return {};
        }
        are_improbable_offers_paid_ = true;
    }
    auto const open_count = std::min(open_offer_count(), max_open_offers);
    ready.resize(std::min(ready.size(), max_open_offers - open_count));
    return offer_to(ready, now);
}

std::vector<target_id> owner_search::next_offers(time_point now,
                                                 target_test const& is_silent,
                                                 offer_budget& budget)
{
    auto ready = ready_for_offers(is_silent);
    if (!has_pending_questions())
    {
        auto const open_count = std::min(open_offer_count(), max_open_offers);
        ready.resize(std::min(ready.size(), max_open_offers - open_count));
    }
    else if (ready.size() <= early_offers_left_)
    {
        early_offers_left_ -= ready.size();
    }
    else
    {
        // Most of these packets would be misdirected, and using up the early
        // offers would make later candidates wait for all answers.
        ready.clear();
    }
    return ready.empty() ? next_improbable_offers(now, is_silent, budget)
                         : offer_to(ready, now);
}

} // namespace daisytrail
