// Forwarding decisions for packets of forwarded flows, and the placement of new
// flows.
#include <daisytrail/flow_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

flow_forwarder::flow_forwarder(forward_directory& directory,
                               flow_forwarder_settings settings, time_point now)
    : directory_(directory), settings_(std::move(settings)), started_at_(now),
      last_discovered_at_(now)
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
    value.last_packet_at_ = now;
    value.first_seen_at_ = now;
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
    note_discovered_targets(now);
    while (!flows_.empty() &&
           now > flows_.front().last_packet_at_ + settings_.flow_idle_timeout_)
    {
        erase(flow_key{flows_.front().key_});
    }
}

placement_request
flow_forwarder::request_for(flow const& value,
                            std::span<target_id const> excluded,
                            time_point now) const
{
    placement_request request;
    request.flow_hash_ = hash_flow(value.key_);
    request.own_domain_ = settings_.failure_domain_;
    request.excluded_ = excluded;
    request.now_ = now;
    auto const found = profiles_.find(value.key_.vip_);
    auto const profile =
        found == profiles_.end() ? route_profile{} : found->second;
    request.is_long_ = profile.has_long_flows();
    request.kilobytes_ = profile.mean_kilobytes();
    return request;
}

void flow_forwarder::update_profile(flow& value, flow_packet const& packet,
                                    time_point now)
{
    value.caller_bytes_ += packet.payload_bytes_;
    if (value.is_profiled_)
    {
        return;
    }
    bool const is_long =
        now > value.first_seen_at_ + route_profile::long_flow_age;
    bool const has_ended = packet.fin_ || packet.reset_;
    if (!is_long && !has_ended)
    {
        return;
    }
    value.is_profiled_ = true;
    auto& held = profiles_[value.key_.vip_];
    if (is_long)
    {
        held.on_long_flow(value.caller_bytes_);
    }
    else
    {
        held.on_short_flow(value.caller_bytes_);
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
    value.last_packet_at_ = now;
    directory_.on_datagram_sent(*target, now);
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
    update_profile(*value, packet, now);
    if (packet.opens_flow())
    {
        return on_syn_retransmission(*value, now);
    }
    value->last_packet_was_reset_ = packet.reset_;
    if (value->search_)
    {
        value->last_packet_at_ = now;
        return {forward_step::hold, forward_cause::search_in_progress, nullptr};
    }
    bool const may_be_elsewhere =
        std::exchange(value->has_multiple_syn_targets_, false) ||
        directory_.find(value->target_) == nullptr;
    return may_be_elsewhere ? begin_search(*value, forward_cause::searched, now)
                            : send(*value, forward_cause::known, now);
}

// Resets new flows and flows of removed routes. Packets of other open flows are
// dropped: their route may be so new that its template isn't in force here yet,
// and their callers retransmit.
forward_action
flow_forwarder::refuse_without_route(flow_packet const& packet) const
{
    bool const resets =
        !packet.reset_ &&
        (packet.opens_flow() || directory_.was_removed(packet.destination_));
    return {resets ? forward_step::reset : forward_step::drop,
            forward_cause::no_route, nullptr};
}

// Handles a SYN of a known flow. It goes to the chosen target again, or to
// another target once syn_timeout_ has passed without a sign of the first one.
forward_action flow_forwarder::on_syn_retransmission(flow& value,
                                                     time_point now)
{
    auto const* const target = directory_.find(value.target_);
    bool const is_waiting =
        target != nullptr &&
        (now < value.target_chosen_at_ + settings_.syn_timeout_ ||
         (value.syn_waits_ && !target->is_silent(now)));
    if (is_waiting && !value.search_)
    {
        return send_syn(value, forward_cause::known, now);
    }
    if (value.search_)
    {
        end_search(value, 0);
    }
    value.tried_targets_.push_back(value.target_);
    value.may_be_accepted_soon_ = true;
    value.has_multiple_syn_targets_ = true;
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
    bool const has_other_target =
        !value->search_ && value->target_ != from && value->target_ != 0;
    if (packet.opens_flow())
    {
        bool const was_tried =
            std::ranges::find(value->tried_targets_, value->target_) !=
            value->tried_targets_.end();
        value->tried_targets_.push_back(from);
        value->may_be_accepted_soon_ =
            value->may_be_accepted_soon_ || is_transient(reason);
        return has_other_target && !was_tried
                   ? send_syn(*value, forward_cause::moved, now)
                   : open(*value, forward_cause::moved, now);
    }
    if (std::erase(value->redundant_returns_, from) > 0)
    {
        return {forward_step::drop, forward_cause::search_continued, nullptr};
    }
    if (has_other_target)
    {
        return send(*value, forward_cause::search_continued, now);
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
               ? advance_search(*value, forward_cause::search_continued, now)
               : begin_search(*value, forward_cause::search_continued, now);
}

// True if the target was declared dead and another target answered at its
// address: the replaced target holds no flows any more.
bool flow_forwarder::has_been_replaced(target_id target,
                                       return_reason reason) const
{
    auto const* const held = directory_.find(target);
    return reason == return_reason::other_target && held != nullptr &&
           !may_own_flows(held->record_.state_);
}

void flow_forwarder::on_syn_waits(flow_key const& key, target_id at)
{
    auto* const value = find(key);
    if (value != nullptr && value->target_ == at)
    {
        value->syn_waits_ = true;
    }
}

// True if the route in force leads new packets of the flow to the target's
// service.
bool flow_forwarder::is_routed_to(flow const& value, target_id target) const
{
    auto const* const held = directory_.find(target);
    auto const& route = *directory_.find_route(value.key_.vip_);
    return held != nullptr && held->record_.service_ ==
                                  choose_service(route, hash_flow(value.key_));
}

// Sends a SYN or a copy of it to the flow's target, which was chosen when an
// earlier copy came. If the route has led the flow to another service since,
// the SYN goes to a target of that service. The earlier copies may still open
// the flow at the former target.
forward_action flow_forwarder::send_syn(flow& value, forward_cause cause,
                                        time_point now)
{
    if (is_routed_to(value, value.target_))
    {
        return send(value, cause, now);
    }
    bool const is_noted =
        std::ranges::find(value.former_syn_targets_, value.target_) !=
        value.former_syn_targets_.end();
    if (!is_noted)
    {
        value.former_syn_targets_.push_back(value.target_);
    }
    value.has_multiple_syn_targets_ = true;
    return open(value, forward_cause::rerouted, now);
}

forward_action flow_forwarder::open(flow& value, forward_cause cause,
                                    time_point now)
{
    auto const& route = *directory_.find_route(value.key_.vip_);
    auto const service = choose_service(route, hash_flow(value.key_));
    auto* const target = place_flow(
        directory_.members(service),
        request_for(value, value.tried_targets_, now), settings_.placement_);
    if (target == nullptr)
    {
        return refuse(value, service, now);
    }
    ++target->placed_since_report_;
    value.target_ = target->record_.target_;
    value.target_chosen_at_ = now;
    value.syn_waits_ = false;
    return send(value, cause, now);
}

// Drops or resets a flow that no target accepts now. After a reset the caller
// tries again at once, and would use up its attempts. While a target may accept
// the flow by the time that the SYN is retransmitted, the SYN is dropped
// instead. So is the SYN of a flow that may yet open at a former target: the
// reset could reach the caller after that.
forward_action flow_forwarder::refuse(flow& value, service_id service,
                                      time_point now)
{
    if (!value.former_syn_targets_.empty())
    {
        return {forward_step::drop, forward_cause::retransmission_expected,
                nullptr};
    }
    bool const waits_for_retransmission =
        value.may_be_accepted_soon_ || may_accept_soon(service, now);
    erase(flow_key{value.key_});
    return waits_for_retransmission
               ? forward_action{forward_step::drop,
                                forward_cause::retransmission_expected, nullptr}
               : forward_action{forward_step::reset, forward_cause::no_target,
                                nullptr};
}

bool flow_forwarder::is_discovering(time_point now) const
{
    return now < started_at_ + settings_.discovery_timeout_ &&
           !directory_.knows_all_expected();
}

bool flow_forwarder::must_withhold_resets(time_point now) const
{
    auto const end =
        std::min(last_discovered_at_ + settings_.reset_discovery_timeout_,
                 started_at_ + settings_.max_reset_discovery_timeout_);
    return now < end && !directory_.knows_all_expected();
}

// Restarts the reset discovery timeout when a target was discovered.
//
// Load pattern: hundreds of VMs start at once, and the byte budget of the
// control traffic spreads their records over many seconds.
void flow_forwarder::note_discovered_targets(time_point now)
{
    auto const known = directory_.targets().size();
    if (known > known_target_count_ && must_withhold_resets(now))
    {
        last_discovered_at_ = now;
    }
    known_target_count_ = known;
}

bool flow_forwarder::may_accept_soon(service_id service, time_point now) const
{
    return is_discovering(now) ||
           std::ranges::any_of(directory_.members(service),
                               [](forward_target const* target)
                               { return !target->has_report_; });
}

} // namespace daisytrail
