// The search for the owners of open flows that a balancer doesn't know.
#include <daisytrail/flow_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// Time after which no view confirmation is needed any more since a search last
// waited for one. A waiting search is advanced more often than this.
constexpr std::chrono::seconds view_wait_timeout{1};

} // namespace

std::vector<flow_key> flow_forwarder::overdue_searches(time_point now) const
{
    std::vector<flow_key> result;
    for (auto const& key : searches_)
    {
        auto const& value = *index_.at(key);
        bool const may_end =
            value.waits_for_view_ && is_view_confirmed(*value.search_);
        if (may_end || value.search_->is_overdue(now))
        {
            result.push_back(key);
        }
    }
    return result;
}

forward_action flow_forwarder::continue_search(flow_key const& key,
                                               time_point now)
{
    auto* const value = find(key);
    bool const is_active = value != nullptr && value->search_ != nullptr &&
                           directory_.find_route(key.vip_) != nullptr;
    if (!is_active)
    {
        return {forward_step::drop, forward_cause::owner_not_found, nullptr};
    }
    if (now > value->last_packet_at_ + settings_.search_idle_timeout_)
    {
        erase(flow_key{key});
        return {forward_step::drop, forward_cause::owner_not_found, nullptr};
    }
    auto const retransmitted = retransmit_questions(*value, now);
    auto action = advance_search(*value, forward_cause::search_continued, now);
    add_questions(action, retransmitted, now);
    return action;
}

// Retransmits the questions without an answer. A target may be declared dead
// wrongly, so that a dead target counts as lost only if it is silent too.
std::vector<target_id> flow_forwarder::retransmit_questions(flow& value,
                                                            time_point now)
{
    if (!value.search_->is_retransmission_due(now))
    {
        return {};
    }
    extend_search(value, now);
    return value.search_->next_retransmissions(now, [&](target_id id)
                                               { return is_lost(id, now); });
}

// True for a target that was declared dead and doesn't answer, or that has been
// forgotten since.
bool flow_forwarder::is_lost(target_id target, time_point now) const
{
    auto const* const held = directory_.find(target);
    return held == nullptr ||
           (!may_own_flows(held->record_.state_) && held->is_silent(now));
}

forward_action flow_forwarder::on_owner_answer(flow_key const& key,
                                               target_id by,
                                               flow_ownership answer,
                                               time_point now)
{
    directory_.mark_responsive(by);
    auto* const value = find(key);
    bool const is_searched = value != nullptr && value->search_ != nullptr &&
                             directory_.find_route(key.vip_) != nullptr;
    if (!is_searched)
    {
        return {forward_step::hold, forward_cause::found, nullptr};
    }
    if (answer == flow_ownership::held)
    {
        auto const found = progress(*value, now);
        end_search(*value, by);
        auto action = send(*value, forward_cause::found, now);
        action.search_ = found;
        return action;
    }
    value->search_->on_answer(by, answer);
    return advance_search(*value, forward_cause::search_continued, now);
}

void flow_forwarder::end_search(flow& value, target_id owner)
{
    value.target_ = owner;
    value.redundant_returns_ = value.search_->offered_targets();
    std::erase(value.redundant_returns_, owner);
    value.search_.reset();
    searches_.erase(value.key_);
    value.tried_targets_ = {};
    value.former_syn_targets_ = {};
    value.may_be_accepted_soon_ = false;
}

// Returns all targets to ask, those of the route's own services first.
std::vector<target_id> flow_forwarder::search_order(flow const& value,
                                                    time_point now) const
{
    auto const& route = *directory_.find_route(value.key_.vip_);
    auto const request = request_for(value, {}, now);
    auto services = forward_directory::services_of(route);
    auto const others = directory_.other_services(route);
    services.insert(services.end(), others.begin(), others.end());
    std::vector<target_id> result;
    for (auto const service : services)
    {
        auto const& members = directory_.members(service);
        for (auto const* const target :
             rank_targets(members, request, settings_.placement_))
        {
            result.push_back(target->record_.target_);
        }
    }
    return result;
}

forward_action flow_forwarder::begin_search(flow& value, forward_cause cause,
                                            time_point now)
{
    if (!value.search_)
    {
        value.search_ = std::make_unique<owner_search>(now);
    }
    value.search_->add_preferred_candidates(previous_syn_targets(value));
    value.searched_member_changes_ = 0;
    value.has_run_out_of_candidates_ = false;
    extend_search(value, now);
    value.redundant_returns_.clear();
    searches_.insert(value.key_);
    return advance_search(value, cause, now);
}

// Returns the targets that the flow's SYNs were sent to, the latest first.
std::vector<target_id> flow_forwarder::previous_syn_targets(flow const& value)
{
    std::vector<target_id> result;
    auto const add = [&](target_id id)
    {
        auto const* const target = directory_.find(id);
        bool const may_hold =
            target != nullptr && target->record_.state_ != member_state::left;
        if (may_hold)
        {
            result.push_back(id);
        }
    };
    add(value.target_);
    std::for_each(value.tried_targets_.rbegin(), value.tried_targets_.rend(),
                  add);
    std::for_each(value.former_syn_targets_.rbegin(),
                  value.former_syn_targets_.rend(), add);
    return result;
}

// Adds the targets that were discovered since the search last grew.
void flow_forwarder::extend_search(flow& value, time_point now)
{
    auto const changes = directory_.member_changes();
    if (changes != value.searched_member_changes_)
    {
        value.searched_member_changes_ = changes;
        value.search_->add_candidates(search_order(value, now));
    }
}

forward_action flow_forwarder::advance_search(flow& value, forward_cause cause,
                                              time_point now)
{
    auto& search = *value.search_;
    search.ask_found_targets([&](target_id id) { return is_lost(id, now); });
    if (!search.has_pending_questions())
    {
        extend_search(value, now);
    }
    forward_action action{forward_step::hold, cause, nullptr};
    add_questions(action, search.next_questions(now), now);
    auto const is_silent = [&](target_id id)
    {
        auto const* const target = directory_.find(id);
        return target == nullptr || target->is_silent(now);
    };
    bool const has_view = is_view_confirmed(search);
    if (has_view || can_use_stored_list(search, now))
    {
        add_offers(action, search.next_offers(now, is_silent, offer_budget_),
                   now);
    }
    value.waits_for_view_ = !has_view && !search.awaits_answers(is_silent) &&
                            !search.has_open_offers();
    if (value.waits_for_view_)
    {
        required_view_at_ = std::max(required_view_at_, search.started_at());
        last_view_wait_at_ = now;
    }
    return search.is_exhausted() ? on_all_denied(value, now) : action;
}

// True if other balancers have confirmed since the search started that they
// know no target which this balancer doesn't know.
bool flow_forwarder::is_view_confirmed(owner_search const& search) const
{
    auto const confirmed = directory_.view_confirmed_as_of();
    return confirmed && *confirmed >= search.started_at();
}

// True if the stored list of targets may replace a confirmed view for offers.
// After a power failure no balancer has run for long enough to confirm the view
// of another one.
bool flow_forwarder::can_use_stored_list(owner_search const& search,
                                         time_point now) const
{
    return now < started_at_ + settings_.stored_list_period_ &&
           now >= search.started_at() + settings_.view_confirmation_timeout_ &&
           directory_.knows_all_expected();
}

bool flow_forwarder::needs_view_confirmation(time_point now) const
{
    auto const confirmed = directory_.view_confirmed_as_of();
    bool const is_confirmed = confirmed && *confirmed >= required_view_at_;
    return !is_confirmed && now <= last_view_wait_at_ + view_wait_timeout;
}

void flow_forwarder::add_questions(forward_action& action,
                                   std::vector<target_id> const& targets,
                                   time_point now)
{
    for (auto const id : targets)
    {
        if (auto* const target = directory_.find(id); target != nullptr)
        {
            directory_.on_datagram_sent(*target, now);
            action.questions_.push_back(target);
        }
    }
}

void flow_forwarder::add_offers(forward_action& action,
                                std::vector<target_id> const& targets,
                                time_point now)
{
    for (auto const id : targets)
    {
        if (auto* const target = directory_.find(id); target != nullptr)
        {
            directory_.on_datagram_sent(*target, now);
            action.offers_.push_back(target);
        }
    }
    if (!action.offers_.empty())
    {
        action.step_ = forward_step::send;
        action.target_ = action.offers_.front();
        action.is_owner_unknown_ = true;
    }
}

// Handles a search whose candidates have all denied the flow. A reset lets the
// caller open a new flow at once, but it would break a flow that a still
// unknown target holds. The packets are held until the view is confirmed and
// the period after the start in which resets are withheld is over.
forward_action flow_forwarder::on_all_denied(flow& value, time_point now)
{
    bool const is_reset_safe =
        is_view_confirmed(*value.search_) && !must_withhold_resets(now);
    auto const at_end = progress(value, now);
    if (!is_reset_safe)
    {
        forward_action action{forward_step::hold,
                              forward_cause::owner_not_found};
        if (!std::exchange(value.has_run_out_of_candidates_, true))
        {
            action.search_ = at_end;
        }
        return action;
    }
    bool const wants_reset = !value.last_packet_was_reset_;
    erase(flow_key{value.key_});
    forward_action action{wants_reset ? forward_step::reset
                                      : forward_step::drop,
                          forward_cause::no_owner};
    action.search_ = at_end;
    return action;
}

search_progress flow_forwarder::progress(flow const& value,
                                         time_point now) const
{
    auto result = value.search_->progress(now);
    result.known_ = directory_.targets().size();
    return result;
}

} // namespace daisytrail
