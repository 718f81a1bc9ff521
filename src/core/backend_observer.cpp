// Passive monitoring of a backend server from the packets that pass the agent.
#include <daisytrail/backend_observer.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr std::chrono::seconds sweep_interval{1};
// The first acknowledgement of a caller that opened the flow here exceeds the
// sequence number of the SYN+ACK by at most this many bytes.
constexpr std::uint32_t max_unacknowledged_bytes = 76'800;

// True if `left` follows `right` in TCP sequence space, which wraps around.
bool is_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

backend_observer::backend_observer(backend_observer_settings settings)
    : settings_(settings)
{
}

bool backend_observer::acknowledges_syn_ack(flow_packet const& packet,
                                            flow const& value)
{
    return std::ranges::any_of(value.syn_ack_sequences_,
                               [&packet](std::uint32_t syn_ack_sequence)
                               {
                                   return packet.acknowledgement_ -
                                              syn_ack_sequence <=
                                          max_unacknowledged_bytes;
                               });
}

backend_observer::flow const*
backend_observer::find_half_open(flow_key const& key) const
{
    auto const found = flows_.find(key);
    bool const is_half_open =
        found != flows_.end() && found->second.state_ == flow_state::half_open;
    return is_half_open ? &found->second : nullptr;
}

// A caller can't acknowledge a SYN+ACK of this backend server that never passed
// through its agent.
bool backend_observer::is_opened_elsewhere(flow_packet const& packet) const
{
    if (packet.opens_flow() || packet.reset_)
    {
        return false;
    }
    auto const* const value = find_half_open(packet.flow_from_caller());
    if (value == nullptr)
    {
        return false;
    }
    bool const saw_every_syn_ack =
        !value->syn_ack_sequences_.empty() || !value->may_predate_agent_;
    return saw_every_syn_ack && !acknowledges_syn_ack(packet, *value);
}

bool backend_observer::is_ownership_undetermined(flow_packet const& packet,
                                                 time_point now) const
{
    if (packet.opens_flow() || packet.reset_)
    {
        return false;
    }
    auto const* const value = find_half_open(packet.flow_from_caller());
    return value != nullptr && value->may_predate_agent_ &&
           value->syn_ack_sequences_.empty() &&
           now < value->opened_at_ + settings_.syn_ack_timeout_;
}

// A half-open flow with a SYN+ACK is undetermined: the caller may acknowledge
// this SYN+ACK or one of another backend server, and only its next packet shows
// which.
flow_ownership backend_observer::ownership(flow_key const& key) const
{
    auto const found = flows_.find(key);
    if (found == flows_.end())
    {
        return knows_all_flows_ ? flow_ownership::not_held
                                : flow_ownership::undetermined;
    }
    auto const& value = found->second;
    if (value.has_ended_)
    {
        return flow_ownership::undetermined;
    }
    if (value.state_ == flow_state::open)
    {
        return flow_ownership::held;
    }
    bool const cannot_be_open = value.state_ == flow_state::half_open &&
                                value.syn_ack_sequences_.empty() &&
                                !value.may_predate_agent_;
    return cannot_be_open ? flow_ownership::not_held
                          : flow_ownership::undetermined;
}

// A flow that is used has shown a packet within the limit and the time until
// the packet's retransmission.
flow_ownership backend_observer::ownership(flow_key const& key,
                                           duration idle_limit,
                                           time_point now) const
{
    bool const is_idle_or_unknown =
        idle_limit > duration::zero() && observing_since_ &&
        now > *observing_since_ + idle_limit + settings_.retransmission_time_ &&
        !flows_.contains(key);
    return is_idle_or_unknown ? flow_ownership::not_held : ownership(key);
}

// True if an earlier process of the agent may have passed another SYN of a flow
// whose SYN arrives now. The order of the SYNs doesn't show that: the first one
// may have waited elsewhere while a copy was passed.
bool backend_observer::may_follow_earlier_syn(time_point now) const
{
    return !tracking_since_ ||
           now <= *tracking_since_ + settings_.opening_time_;
}

void backend_observer::begin_half_open(flow& value, bool may_predate_agent,
                                       time_point now)
{
    value.state_ = flow_state::half_open;
    value.may_predate_agent_ = may_predate_agent && !knows_all_flows_;
    value.opened_at_ = now;
}

// A different SYN with the same addresses opens a new flow if the previous flow
// has ended. Otherwise the SYN may be forged, and it is unknown which of the
// two flows the backend server holds.
void backend_observer::record_syn(flow& value, flow_packet const& packet,
                                  time_point now)
{
    bool const is_copy =
        value.syn_sequence_.value_or(packet.sequence_) == packet.sequence_;
    bool const has_closed = value.has_ended_ && value.backend_finished_;
    if (!is_copy && has_closed)
    {
        value = {};
        value.last_seen_at_ = now;
        begin_half_open(value, may_follow_earlier_syn(now), now);
    }
    else if (!is_copy)
    {
        value.state_ = flow_state::unknown;
        value.syn_ack_sequences_ = {};
    }
    value.syn_sequence_ = packet.sequence_;
}

// Keeps the entry, since the backend server may still wait for a retransmission
// of the caller's last packet.
void backend_observer::close_flow(flow& value)
{
    end_request(value);
    open_flows_ -= value.has_data_ ? 1 : 0;
    value.has_data_ = false;
    value.has_ended_ = true;
}

void backend_observer::record_syn_ack(flow_packet const& packet, time_point now)
{
    auto const key = packet.flow_from_backend();
    auto found = flows_.find(key);
    if (found == flows_.end())
    {
        found = add(key);
        if (found == flows_.end())
        {
            return;
        }
        begin_half_open(found->second, true, now);
    }
    auto& value = found->second;
    value.last_seen_at_ = now;
    bool const is_new =
        value.state_ == flow_state::half_open &&
        std::ranges::find(value.syn_ack_sequences_, packet.sequence_) ==
            value.syn_ack_sequences_.end();
    if (is_new)
    {
        value.syn_ack_sequences_.push_back(packet.sequence_);
    }
}

void backend_observer::record_acknowledgement(flow& value,
                                              flow_packet const& packet)
{
    if (value.state_ != flow_state::half_open || packet.reset_)
    {
        return;
    }
    value.state_ = acknowledges_syn_ack(packet, value) ? flow_state::open
                                                       : flow_state::unknown;
    value.syn_ack_sequences_ = {};
}

void backend_observer::on_caller_packet(flow_packet const& packet,
                                        time_point now)
{
    update_averages(now);
    if (packet.opens_flow())
    {
        unanswered_syn_at_ = unanswered_syn_at_.value_or(now);
        ++unanswered_syn_count_;
    }
    auto const found = find_or_add(packet, now);
    if (found == flows_.end())
    {
        return;
    }
    auto& value = found->second;
    if (packet.opens_flow())
    {
        record_syn(value, packet, now);
    }
    else
    {
        record_acknowledgement(value, packet);
    }
    value.caller_finished_ = value.caller_finished_ || packet.fin_;
    bool const has_closed =
        packet.reset_ || (packet.payload_bytes_ == 0 &&
                          value.caller_finished_ && value.backend_finished_);
    if (has_closed)
    {
        close_flow(value);
        return;
    }
    if (packet.payload_bytes_ == 0)
    {
        return;
    }
    value.has_ended_ = false;
    if (!unanswered_data_at_)
    {
        unanswered_data_at_ = now;
    }
    auto const end =
        packet.sequence_ + static_cast<std::uint32_t>(packet.payload_bytes_);
    bool const is_new = !value.has_data_ || is_after(end, value.next_sequence_);
    if (!is_new)
    {
        return;
    }
    open_flows_ += value.has_data_ ? 0 : 1;
    value.has_data_ = true;
    value.next_sequence_ = end;
    if (!value.awaits_answer_)
    {
        value.awaits_answer_ = true;
        value.is_counted_as_failed_ = false;
        value.requested_at_ = now;
        ++in_flight_;
        begin_opening(value, packet.flow_from_caller(), now);
        value.requests_per_slot_ =
            std::max(1.0, static_cast<double>(in_flight_) / slots_);
    }
}

std::optional<duration>
backend_observer::on_backend_packet(flow_packet const& packet, time_point now)
{
    update_averages(now);
    reset_unanswered();
    if (packet.syn_)
    {
        record_syn_ack(packet, now);
        return std::nullopt;
    }
    auto const key = packet.flow_from_backend();
    auto found = flows_.find(key);
    if (found == flows_.end() && packet.payload_bytes_ > 0)
    {
        found = add(key);
    }
    if (found == flows_.end())
    {
        return std::nullopt;
    }
    auto& value = found->second;
    value.last_seen_at_ = now;
    bool const is_refused =
        packet.reset_ && value.state_ == flow_state::half_open;
    if (is_refused)
    {
        return std::nullopt;
    }
    value.state_ = flow_state::open;
    value.syn_ack_sequences_ = {};
    std::optional<duration> answer_time;
    if (packet.payload_bytes_ > 0 && value.awaits_answer_)
    {
        answer_time = now - value.requested_at_;
        record_answer(value, *answer_time);
        end_request(value);
        value.has_answer_ = true;
    }
    value.backend_finished_ = value.backend_finished_ || packet.fin_;
    if (value.backend_finished_ && value.caller_finished_)
    {
        close_flow(value);
    }
    if (packet.reset_)
    {
        if (value.awaits_answer_)
        {
            record_outcome(value, true);
        }
        erase(found);
    }
    return answer_time;
}

void backend_observer::on_returned(flow_packet const& packet, time_point now)
{
    update_averages(now);
    reset_unanswered();
    auto const found = flows_.find(packet.flow_from_caller());
    if (found == flows_.end())
    {
        return;
    }
    auto const& value = found->second;
    bool const is_other_attempt =
        packet.opens_flow() && (value.state_ != flow_state::half_open ||
                                !value.syn_ack_sequences_.empty());
    if (!is_other_attempt)
    {
        erase(found);
    }
}

// A bare acknowledgement creates no entry: it may be the last packet of a
// closed flow.
backend_observer::flow_map::iterator
backend_observer::find_or_add(flow_packet const& packet, time_point now)
{
    auto const key = packet.flow_from_caller();
    auto found = flows_.find(key);
    bool const creates_entry =
        (packet.payload_bytes_ > 0 || packet.opens_flow()) && !packet.reset_;
    if (found == flows_.end() && creates_entry)
    {
        found = add(key);
        if (found != flows_.end() && packet.opens_flow())
        {
            begin_half_open(found->second, may_follow_earlier_syn(now), now);
            found->second.syn_sequence_ = packet.sequence_;
        }
    }
    if (found != flows_.end())
    {
        found->second.last_seen_at_ = now;
    }
    return found;
}

backend_observer::flow_map::iterator backend_observer::add(flow_key const& key)
{
    if (flows_.size() >= settings_.max_flows_)
    {
        knows_all_flows_ = false;
        tracking_since_.reset();
        observing_since_.reset();
        return flows_.end();
    }
    return flows_.emplace(key, flow{}).first;
}

backend_observer::flow_map::iterator
backend_observer::erase(flow_map::iterator at)
{
    end_request(at->second);
    open_flows_ -= at->second.has_data_ ? 1 : 0;
    return flows_.erase(at);
}

void backend_observer::reset_unanswered()
{
    unanswered_syn_at_.reset();
    unanswered_syn_count_ = 0;
    unanswered_data_at_.reset();
}

void backend_observer::tick(time_point now)
{
    update_flow_knowledge(now);
    if (now < swept_at_ + sweep_interval)
    {
        return;
    }
    swept_at_ = now;
    update_averages(now);
    for (auto at = flows_.begin(); at != flows_.end();)
    {
        auto& value = at->second;
        bool const is_closed = value.has_ended_ && value.backend_finished_;
        auto const retention = is_closed ? settings_.closed_flow_retention_
                                         : settings_.flow_idle_timeout_;
        bool const is_idle = now > value.last_seen_at_ + retention;
        if (value.awaits_answer_ &&
            now > value.requested_at_ + settings_.hang_timeout_)
        {
            record_outcome(value, true);
        }
        if (now > value.requested_at_ + settings_.request_timeout_)
        {
            end_request(value);
        }
        at = is_idle ? erase(at) : std::next(at);
    }
}

bool backend_observer::is_unresponsive(time_point now) const
{
    return (unanswered_syn_at_ &&
            now > *unanswered_syn_at_ + settings_.syn_timeout_) ||
           (unanswered_data_at_ &&
            now > *unanswered_data_at_ + settings_.data_timeout_);
}

bool backend_observer::is_presumed_stopped(time_point now) const
{
    return unanswered_syn_at_ &&
           unanswered_syn_count_ >= settings_.min_stopped_syns_ &&
           now > *unanswered_syn_at_ + settings_.stopped_timeout_;
}

// After flow_lifetime_ of complete observation every flow that the backend
// server holds has been seen, whichever of its runs lives: a flow of a run that
// began earlier is older than that, and has been idle since.
void backend_observer::update_flow_knowledge(time_point now)
{
    tracking_since_ = tracking_since_.value_or(now);
    bool const was_paused = ticked_at_ != time_point{} &&
                            now > ticked_at_ + settings_.pause_threshold_;
    ticked_at_ = now;
    if (was_paused || !observing_since_)
    {
        observing_since_ = now;
    }
    knows_all_flows_ =
        knows_all_flows_ || now > *tracking_since_ + settings_.flow_lifetime_;
}

void backend_observer::on_new_run()
{
    for (auto& [key, value] : flows_)
    {
        end_request(value);
        value.has_data_ = false;
        if (value.state_ == flow_state::open)
        {
            value.state_ = flow_state::unknown;
        }
    }
    reset_load();
}

} // namespace daisytrail
