// Decisions for packets of forwarded flows.
#include <daisytrail/flow_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// A search that waits for the view looks again within this time, or has ended.
constexpr std::chrono::seconds view_wish_time{1};

} // namespace

flow_forwarder::flow_forwarder(forward_directory& directory,
                               flow_forwarder_settings settings, time_point now)
    : directory_(directory), settings_(std::move(settings)), started_(now),
      met_last_(now)
{
}

flow_forwarder::flow* flow_forwarder::find(flow_key const& key)
{
    auto const found = index_.find(key);
    if (found == index_.end())
    {
        return nullptr;
    }
    flows_.splice(flows_.end(), flows_, found->second);
    return &*found->second;
}

flow_forwarder::flow& flow_forwarder::add(flow_key const& key, time_point now)
{
    if (flows_.size() >= settings_.max_flows_)
    {
        erase(flow_key{flows_.front().key_});
    }
    flows_.emplace_back();
    auto& value = flows_.back();
    value.key_ = key;
    value.sent_ = now;
    value.opened_ = now;
    index_[key] = std::prev(flows_.end());
    return value;
}

void flow_forwarder::erase(flow_key const& key)
{
    auto const found = index_.find(key);
    if (found != index_.end())
    {
        searches_.erase(key);
        flows_.erase(found->second);
        index_.erase(found);
    }
}

void flow_forwarder::tick(time_point now)
{
    note_new_targets(now);
    while (!flows_.empty() && now > flows_.front().sent_ + settings_.flow_idle_)
    {
        erase(flow_key{flows_.front().key_});
    }
}

std::vector<flow_key> flow_forwarder::overdue_searches(time_point now) const
{
    std::vector<flow_key> result;
    for (auto const& key : searches_)
    {
        auto const& value = *index_.at(key);
        bool const may_end = value.waits_for_view_ && knows_all(*value.search_);
        if (may_end || value.search_->is_overdue(now))
        {
            result.push_back(key);
        }
    }
    return result;
}

forward_action flow_forwarder::on_overdue(flow_key const& key, time_point now)
{
    auto* const value = find(key);
    bool const can_go_on = value != nullptr && value->search_ != nullptr &&
                           directory_.find_route(key.vip_) != nullptr;
    if (!can_go_on)
    {
        return {forward_step::drop, forward_cause::owner_missing, nullptr};
    }
    if (now > value->sent_ + settings_.search_idle_)
    {
        erase(flow_key{key});
        return {forward_step::drop, forward_cause::owner_missing, nullptr};
    }
    auto const again = repeat_questions(*value, now);
    auto action = search(*value, forward_cause::search_goes_on, now);
    add_questions(action, again, now);
    return action;
}

// A target that was declared dead may have been so wrongly: it counts as lost
// once it is silent, too.
std::vector<target_id> flow_forwarder::repeat_questions(flow& value,
                                                        time_point now)
{
    if (!value.search_->must_repeat(now))
    {
        return {};
    }
    extend(value, now);
    auto const is_lost = [&](target_id id)
    {
        auto const& target = *directory_.find(id);
        return !may_own_flows(target.record_.state_) && target.is_silent(now);
    };
    return value.search_->repeat(now, is_lost);
}

placement_request
flow_forwarder::request_for(flow const& value,
                            std::span<target_id const> excluded,
                            time_point now) const
{
    placement_request request;
    request.flow_ = hash_flow(value.key_);
    request.own_domain_ = settings_.failure_domain_;
    request.excluded_ = excluded;
    request.now_ = now;
    auto const found = profiles_.find(value.key_.vip_);
    auto const profile =
        found == profiles_.end() ? route_profile{} : found->second;
    request.is_long_ = profile.is_long();
    request.kilobytes_ = profile.kilobytes();
    return request;
}

void flow_forwarder::profile(flow& value, flow_packet const& packet,
                             time_point now)
{
    value.bytes_ += packet.payload_bytes_;
    if (value.is_profiled_)
    {
        return;
    }
    bool const is_long = now > value.opened_ + route_profile::long_age;
    bool const has_ended = packet.fin_ || packet.reset_;
    if (!is_long && !has_ended)
    {
        return;
    }
    value.is_profiled_ = true;
    auto& held = profiles_[value.key_.vip_];
    if (is_long)
    {
        held.on_long_flow(value.bytes_);
    }
    else
    {
        held.on_short_flow(value.bytes_);
    }
}

forward_action flow_forwarder::send(flow& value, forward_cause cause,
                                    time_point now)
{
    auto* const target = directory_.find(value.target_);
    if (target == nullptr)
    {
        return {forward_step::drop, forward_cause::no_target, nullptr};
    }
    value.sent_ = now;
    directory_.sent(*target, now);
    return {forward_step::send, cause, target, value.search_ != nullptr};
}

forward_action flow_forwarder::on_packet(flow_packet const& packet,
                                         time_point now)
{
    if (packet.syn_ && packet.ack_)
    {
        return {forward_step::drop, forward_cause::not_from_caller, nullptr};
    }
    if (!directory_.has_template())
    {
        return {forward_step::drop, forward_cause::no_template, nullptr};
    }
    auto const key = packet.flow_from_caller();
    if (directory_.find_route(key.vip_) == nullptr)
    {
        erase(key);
        return refuse_without_route(packet);
    }
    auto* value = find(key);
    if (value == nullptr)
    {
        value = &add(key, now);
        return packet.opens_flow()
                   ? open(*value, forward_cause::placed, now)
                   : begin_search(*value, forward_cause::searched, now);
    }
    profile(*value, packet, now);
    if (packet.opens_flow())
    {
        return on_syn(*value, now);
    }
    value->was_reset_ = packet.reset_;
    if (value->search_)
    {
        value->sent_ = now;
        return {forward_step::hold, forward_cause::other_searches, nullptr};
    }
    bool const may_be_elsewhere = std::exchange(value->has_split_, false) ||
                                  directory_.find(value->target_) == nullptr;
    return may_be_elsewhere ? begin_search(*value, forward_cause::searched, now)
                            : send(*value, forward_cause::known, now);
}

// An open flow whose route was never heard of may be one of a route that is
// new: its packets come again.
forward_action
flow_forwarder::refuse_without_route(flow_packet const& packet) const
{
    bool const resets =
        !packet.reset_ &&
        (packet.opens_flow() || directory_.was_removed(packet.destination_));
    return {resets ? forward_step::reset : forward_step::drop,
            forward_cause::no_route, nullptr};
}

// A copy of the SYN tries another target if the first one was silent.
forward_action flow_forwarder::on_syn(flow& value, time_point now)
{
    bool const is_waiting =
        value.target_ != 0 && now < value.began_ + settings_.syn_patience_;
    if (is_waiting && !value.search_)
    {
        return send(value, forward_cause::known, now);
    }
    if (value.search_)
    {
        settle(value, 0);
    }
    value.refused_.push_back(value.target_);
    value.may_be_taken_ = true;
    value.has_split_ = true;
    return open(value, forward_cause::moved, now);
}

forward_action flow_forwarder::on_returned(flow_packet const& packet,
                                           target_id from, return_reason reason,
                                           time_point now)
{
    auto const key = packet.flow_from_caller();
    if (!directory_.has_template() ||
        directory_.find_route(key.vip_) == nullptr)
    {
        return {forward_step::drop, forward_cause::no_route, nullptr};
    }
    auto* value = find(key);
    if (value == nullptr)
    {
        value = &add(key, now);
    }
    bool const is_settled_elsewhere =
        !value->search_ && value->target_ != from && value->target_ != 0;
    if (packet.opens_flow())
    {
        bool const is_refused =
            std::ranges::find(value->refused_, value->target_) !=
            value->refused_.end();
        value->refused_.push_back(from);
        value->may_be_taken_ = value->may_be_taken_ || is_transient(reason);
        return is_settled_elsewhere && !is_refused
                   ? send(*value, forward_cause::moved, now)
                   : open(*value, forward_cause::moved, now);
    }
    if (std::erase(value->spare_returns_, from) > 0)
    {
        return {forward_step::drop, forward_cause::search_goes_on, nullptr};
    }
    if (is_settled_elsewhere)
    {
        return send(*value, forward_cause::search_goes_on, now);
    }
    bool const is_searched = value->search_ != nullptr;
    if (!is_searched)
    {
        value->search_ = std::make_unique<owner_search>(now);
    }
    if (proves_not_held(reason) || has_been_replaced(from, reason))
    {
        value->search_->on_returned(from);
    }
    else
    {
        value->search_->on_answer(from, flow_ownership::undetermined);
    }
    return is_searched
               ? search(*value, forward_cause::search_goes_on, now)
               : begin_search(*value, forward_cause::search_goes_on, now);
}

// A target that was declared dead and whose address is another's is no more.
bool flow_forwarder::has_been_replaced(target_id target,
                                       return_reason reason) const
{
    auto const* const held = directory_.find(target);
    return reason == return_reason::other_target && held != nullptr &&
           !may_own_flows(held->record_.state_);
}

forward_action flow_forwarder::on_owner_answer(flow_key const& key,
                                               target_id by,
                                               flow_ownership answer,
                                               time_point now)
{
    directory_.answered(by);
    auto* const value = find(key);
    bool const is_searched = value != nullptr && value->search_ != nullptr &&
                             directory_.find_route(key.vip_) != nullptr;
    if (!is_searched)
    {
        return {forward_step::hold, forward_cause::found, nullptr};
    }
    if (answer == flow_ownership::held)
    {
        auto const found = figures(*value, now);
        settle(*value, by);
        auto action = send(*value, forward_cause::found, now);
        action.search_ = found;
        return action;
    }
    value->search_->on_answer(by, answer);
    return search(*value, forward_cause::search_goes_on, now);
}

void flow_forwarder::settle(flow& value, target_id owner)
{
    value.target_ = owner;
    value.spare_returns_ = value.search_->holders();
    std::erase(value.spare_returns_, owner);
    value.search_.reset();
    searches_.erase(value.key_);
    value.refused_ = {};
    value.may_be_taken_ = false;
}

forward_action flow_forwarder::open(flow& value, forward_cause cause,
                                    time_point now)
{
    auto const& route = *directory_.find_route(value.key_.vip_);
    auto const service = choose_service(route, hash_flow(value.key_));
    auto* const target = place_flow(directory_.members(service),
                                    request_for(value, value.refused_, now),
                                    settings_.placement_);
    if (target == nullptr)
    {
        return refuse(value, service, now);
    }
    ++target->placed_since_;
    value.target_ = target->record_.target_;
    value.began_ = now;
    return send(value, cause, now);
}

// A reset makes the caller try again at once. While some target may take the
// flow within the time of a SYN's copy, silence serves the caller better.
forward_action flow_forwarder::refuse(flow& value, service_id service,
                                      time_point now)
{
    bool const wait = value.may_be_taken_ || may_take_soon(service, now);
    erase(flow_key{value.key_});
    return wait ? forward_action{forward_step::drop, forward_cause::not_yet,
                                 nullptr}
                : forward_action{forward_step::reset, forward_cause::no_target,
                                 nullptr};
}

bool flow_forwarder::is_learning(time_point now) const
{
    return now < started_ + settings_.learning_time_ &&
           !directory_.has_met_all();
}

bool flow_forwarder::is_learning_for_resets(time_point now) const
{
    auto const end = std::min(met_last_ + settings_.reset_learning_time_,
                              started_ + settings_.most_reset_learning_time_);
    return now < end && !directory_.has_met_all();
}

// Load pattern: hundreds of VMs start at once, and the byte budget spreads what
// is known of them over many seconds.
void flow_forwarder::note_new_targets(time_point now)
{
    auto const known = directory_.targets().size();
    if (known > known_targets_ && is_learning_for_resets(now))
    {
        met_last_ = now;
    }
    known_targets_ = known;
}

bool flow_forwarder::may_take_soon(service_id service, time_point now) const
{
    return is_learning(now) ||
           std::ranges::any_of(directory_.members(service),
                               [](forward_target const* target)
                               { return !target->has_report_; });
}

// The route's own services come first.
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
    value.search_->prefer(syn_targets(value));
    value.searched_at_ = 0;
    value.has_run_out_ = false;
    extend(value, now);
    value.spare_returns_.clear();
    searches_.insert(value.key_);
    return search(value, cause, now);
}

// The latest first.
std::vector<target_id> flow_forwarder::syn_targets(flow const& value)
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
    std::for_each(value.refused_.rbegin(), value.refused_.rend(), add);
    return result;
}

// Some targets may have become known since the search began.
void flow_forwarder::extend(flow& value, time_point now)
{
    auto const changes = directory_.member_changes();
    if (changes != value.searched_at_)
    {
        value.searched_at_ = changes;
        value.search_->extend(search_order(value, now));
    }
}

forward_action flow_forwarder::search(flow& value, forward_cause cause,
                                      time_point now)
{
    auto& search = *value.search_;
    if (!search.is_asking())
    {
        extend(value, now);
    }
    forward_action action{forward_step::hold, cause, nullptr};
    add_questions(action, search.next_questions(now), now);
    auto const is_silent = [&](target_id id)
    {
        return directory_.find(id)->is_silent(now);
    };
    bool const has_view = knows_all(search);
    if (has_view || knows_stored_list(search, now))
    {
        add_offers(action, search.next_offers(now, is_silent), now);
    }
    value.waits_for_view_ =
        !has_view && !search.awaits_answers(is_silent) && !search.is_offering();
    if (value.waits_for_view_)
    {
        view_wanted_ = std::max(view_wanted_, search.began());
        view_wish_ = now;
    }
    return search.has_ended() ? give_up(value, now) : action;
}

// What this balancer doesn't know of isn't there only if others have confirmed
// it since the search began.
bool flow_forwarder::knows_all(owner_search const& search) const
{
    auto const confirmed = directory_.view_confirmed();
    return confirmed && *confirmed >= search.began();
}

// After a loss of power no balancer is old enough to confirm another's view;
// the stored list of targets has to do for packets to those that can't tell.
bool flow_forwarder::knows_stored_list(owner_search const& search,
                                       time_point now) const
{
    return now < started_ + settings_.stored_list_time_ &&
           now >= search.began() + settings_.view_patience_ &&
           directory_.has_met_all();
}

bool flow_forwarder::wants_view(time_point now) const
{
    auto const confirmed = directory_.view_confirmed();
    bool const is_confirmed = confirmed && *confirmed >= view_wanted_;
    return !is_confirmed && now <= view_wish_ + view_wish_time;
}

void flow_forwarder::add_questions(forward_action& action,
                                   std::vector<target_id> const& targets,
                                   time_point now)
{
    for (auto const id : targets)
    {
        auto* const target = directory_.find(id);
        directory_.sent(*target, now);
        action.questions_.push_back(target);
    }
}

void flow_forwarder::add_offers(forward_action& action,
                                std::vector<target_id> const& targets,
                                time_point now)
{
    for (auto const id : targets)
    {
        auto* const target = directory_.find(id);
        directory_.sent(*target, now);
        action.offers_.push_back(target);
    }
    if (!targets.empty())
    {
        action.step_ = forward_step::send;
        action.target_ = action.offers_.front();
        action.asks_owner_ = true;
    }
}

// Every target that may be asked doesn't hold the flow. A reset tells the
// caller to open a new one at once, but it must never hit a flow that a target
// holds which isn't known yet.
forward_action flow_forwarder::give_up(flow& value, time_point now)
{
    bool const is_proved =
        knows_all(*value.search_) && !is_learning_for_resets(now);
    auto const inputs = figures(value, now);
    if (!is_proved)
    {
        forward_action action{forward_step::hold, forward_cause::owner_missing};
        if (!std::exchange(value.has_run_out_, true))
        {
            action.search_ = inputs;
        }
        return action;
    }
    bool const wants_reset = !value.was_reset_;
    erase(flow_key{value.key_});
    forward_action action{wants_reset ? forward_step::reset
                                      : forward_step::drop,
                          forward_cause::nobody_holds};
    action.search_ = inputs;
    return action;
}

search_figures flow_forwarder::figures(flow const& value, time_point now) const
{
    auto result = value.search_->figures(now);
    result.known_ = directory_.targets().size();
    return result;
}

} // namespace daisytrail
