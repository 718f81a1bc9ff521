// Decisions for packets of forwarded flows.
#include <daisytrail/flow_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

bool contains(std::vector<target_id> const& ids, target_id id)
{
    return std::ranges::find(ids, id) != ids.end();
}

} // namespace

bool flow_forwarder::flow::was_tried(target_id target) const
{
    return contains(denied_, target) || contains(unanswered_, target);
}

flow_forwarder::flow_forwarder(forward_directory& directory,
                               flow_forwarder_settings settings, time_point now)
    : directory_(directory), settings_(std::move(settings)), started_(now)
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
        if (value.target_ != 0 &&
            now > value.began_ + settings_.search_patience_)
        {
            result.push_back(key);
        }
    }
    return result;
}

forward_action flow_forwarder::on_overdue(flow_packet const& packet,
                                          time_point now)
{
    auto* const value = find(packet.flow_from_caller());
    bool const can_go_on = value != nullptr && value->searching_ &&
                           value->target_ != 0 &&
                           directory_.find_route(value->key_.vip_) != nullptr;
    if (!can_go_on)
    {
        return {forward_step::drop, forward_cause::owner_missing, nullptr};
    }
    return search_on(*value, packet, now);
}

placement_request
flow_forwarder::request_for(flow const& value,
                            std::vector<target_id> const& excluded,
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

void flow_forwarder::choose(flow& value, forward_target const& target,
                            time_point now)
{
    value.target_ = target.record_.target_;
    value.began_ = now;
    value.asked_again_ = false;
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
    return {forward_step::send, cause, target, value.searching_};
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
        return {packet.reset_ ? forward_step::drop : forward_step::reset,
                forward_cause::no_route, nullptr};
    }
    auto* value = find(key);
    if (value == nullptr)
    {
        value = &add(key, now);
        return packet.opens_flow()
                   ? open(*value, forward_cause::placed, now)
                   : search(*value, packet, forward_cause::searched, now);
    }
    profile(*value, packet, now);
    if (packet.opens_flow())
    {
        bool const is_waiting = value->target_ != 0 &&
                                now < value->began_ + settings_.syn_patience_;
        if (is_waiting)
        {
            return send(*value, forward_cause::known, now);
        }
        value->unanswered_.push_back(value->target_);
        value->has_split_ = true;
        return open(*value, forward_cause::moved, now);
    }
    if (now < value->rests_until_)
    {
        return {forward_step::drop, forward_cause::owner_missing, nullptr};
    }
    if (std::exchange(value->has_split_, false))
    {
        value->searching_ = true;
        searches_.insert(key);
        value->unanswered_.clear();
        value->began_ = now;
    }
    bool const is_unanswered = value->searching_ && packet.payload_bytes_ > 0 &&
                               now > value->began_ + settings_.search_patience_;
    bool const is_lost =
        is_unanswered || directory_.find(value->target_) == nullptr;
    return is_lost ? search_on(*value, packet, now)
                   : send(*value, forward_cause::known, now);
}

// If the agent was heard since, its answer was lost more likely than not.
forward_action flow_forwarder::search_on(flow& value, flow_packet const& packet,
                                         time_point now)
{
    auto const* const asked = directory_.find(value.target_);
    bool const is_heard = asked != nullptr && asked->heard_ > value.began_;
    if (is_heard && !std::exchange(value.asked_again_, true))
    {
        value.began_ = now;
        return send(value, forward_cause::search_goes_on, now);
    }
    if (value.target_ != 0)
    {
        value.unanswered_.push_back(value.target_);
    }
    return search(value, packet, forward_cause::search_goes_on, now);
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
    auto& tried = packet.opens_flow() && is_passing(reason) ? value->unanswered_
                                                            : value->denied_;
    if (!contains(tried, from))
    {
        tried.push_back(from);
    }
    bool const has_moved_on = value->target_ != from && value->target_ != 0 &&
                              !value->was_tried(value->target_);
    if (has_moved_on)
    {
        bool const is_long = value->denied_.size() > settings_.shared_search_;
        if (is_long && !packet.opens_flow())
        {
            return {forward_step::drop, forward_cause::other_searches, nullptr};
        }
        return send(*value, forward_cause::search_goes_on, now);
    }
    return packet.opens_flow()
               ? open(*value, forward_cause::moved, now)
               : search(*value, packet, forward_cause::search_goes_on, now);
}

void flow_forwarder::on_held(flow_key const& key, target_id by)
{
    auto* const value = find(key);
    if (value == nullptr)
    {
        return;
    }
    value->target_ = by;
    value->searching_ = false;
    searches_.erase(key);
    value->denied_.clear();
    value->unanswered_.clear();
    value->order_ = {};
    value->rests_until_ = {};
    value->pause_ = {};
}

forward_action flow_forwarder::open(flow& value, forward_cause cause,
                                    time_point now)
{
    auto const& route = *directory_.find_route(value.key_.vip_);
    auto const service = choose_service(route, hash_flow(value.key_));
    auto excluded = value.denied_;
    excluded.insert(excluded.end(), value.unanswered_.begin(),
                    value.unanswered_.end());
    auto* const target =
        place_flow(directory_.members(service),
                   request_for(value, excluded, now), settings_.placement_);
    if (target == nullptr)
    {
        return refuse(value, service, now);
    }
    ++target->placed_since_;
    choose(value, *target, now);
    return send(value, cause, now);
}

// A reset makes the caller try again at once. While some target may take the
// flow within the time of a SYN's copy, silence serves the caller better.
forward_action flow_forwarder::refuse(flow& value, service_id service,
                                      time_point now)
{
    bool const wait = !value.unanswered_.empty() || may_take_soon(service, now);
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
    auto const request = request_for(value, value.denied_, now);
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

// A target whose agent is silent comes after all others.
forward_target* flow_forwarder::first_untried(flow const& value,
                                              time_point now) const
{
    forward_target* silent = nullptr;
    for (auto const id : value.order_)
    {
        auto* const target = directory_.find(id);
        if (target == nullptr || value.was_tried(id))
        {
            continue;
        }
        if (!target->is_silent(now))
        {
            return target;
        }
        bool const is_lost = target->record_.state_ == member_state::dead;
        if (!is_lost && silent == nullptr)
        {
            silent = target;
        }
    }
    return silent;
}

// Targets that joined during the search are asked at its end.
forward_target* flow_forwarder::next_candidate(flow& value,
                                               time_point now) const
{
    auto* const next = first_untried(value, now);
    if (next != nullptr)
    {
        return next;
    }
    value.order_ = search_order(value, now);
    return first_untried(value, now);
}

forward_action flow_forwarder::search(flow& value, flow_packet const& packet,
                                      forward_cause cause, time_point now)
{
    auto* const target = next_candidate(value, now);
    if (target == nullptr)
    {
        return give_up(value, packet, now);
    }
    value.searching_ = true;
    searches_.insert(value.key_);
    choose(value, *target, now);
    return send(value, cause, now);
}

// A reset tells the caller to open a new flow at once, but it must never hit a
// flow that some backend server still holds.
forward_action flow_forwarder::give_up(flow& value, flow_packet const& packet,
                                       time_point now)
{
    bool const is_sure = value.unanswered_.empty() && !is_learning(now) &&
                         !directory_.may_miss_owner(now);
    if (!is_sure)
    {
        value.target_ = 0;
        value.denied_.clear();
        value.unanswered_.clear();
        value.order_ = {};
        value.pause_ =
            std::clamp<duration>(2 * value.pause_, settings_.search_pause_,
                                 settings_.most_search_pause_);
        value.rests_until_ = now + value.pause_;
        return {forward_step::drop, forward_cause::owner_missing, nullptr};
    }
    erase(flow_key{value.key_});
    bool const wants_reset = !packet.reset_;
    return {wants_reset ? forward_step::reset : forward_step::drop,
            forward_cause::nobody_holds, nullptr};
}

} // namespace daisytrail
