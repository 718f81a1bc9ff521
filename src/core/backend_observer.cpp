// Observation of a backend server by the packets that pass.
#include <daisytrail/backend_observer.hpp>

#include <algorithm>
#include <cmath>

namespace daisytrail
{

namespace
{

constexpr std::chrono::seconds sweep_interval{1};
// A caller that opened the flow here acknowledges at most this much more than
// the SYN+ACK.
constexpr std::uint32_t max_unacknowledged_bytes = 76'800;
constexpr double outcome_smoothing = 0.05; // weight of the newest request
constexpr double service_smoothing = 0.1;  // weight of the newest answer
// The same for an answer that waited, since its wait is only estimated.
constexpr double crowded_service_smoothing = 0.02;
// An answer that takes less than this part of the usual time didn't wait.
constexpr double refusal_time_share = 0.3;

// True if `left` comes after `right` in sequence space, which wraps around.
bool is_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

backend_observer::backend_observer(backend_observer_settings settings)
    : settings_(settings)
{
}

bool backend_observer::acknowledges(flow_packet const& packet,
                                    flow const& value)
{
    return std::ranges::any_of(value.offered_,
                               [&packet](std::uint32_t offered) {
                                   return packet.acknowledgement_ - offered <=
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

// A caller can't acknowledge a SYN+ACK that hasn't passed by here.
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
    bool const all_seen = !value->offered_.empty() || !value->may_be_older_;
    return all_seen && !acknowledges(packet, *value);
}

bool backend_observer::is_undecided(flow_packet const& packet,
                                    time_point now) const
{
    if (packet.opens_flow() || packet.reset_)
    {
        return false;
    }
    auto const* const value = find_half_open(packet.flow_from_caller());
    return value != nullptr && value->may_be_older_ &&
           value->offered_.empty() &&
           now < value->opened_ + settings_.syn_answer_time_;
}

// The caller may acknowledge a SYN+ACK from here, or that of another backend
// server: its packet tells.
flow_holding backend_observer::holding(flow_key const& key) const
{
    auto const found = flows_.find(key);
    if (found == flows_.end())
    {
        return is_complete_ ? flow_holding::not_held : flow_holding::unsure;
    }
    auto const& value = found->second;
    if (value.has_ended_)
    {
        return flow_holding::unsure;
    }
    if (value.state_ == flow_state::open)
    {
        return flow_holding::held;
    }
    bool const cannot_be_open = value.state_ == flow_state::half_open &&
                                value.offered_.empty() && !value.may_be_older_;
    return cannot_be_open ? flow_holding::not_held : flow_holding::unsure;
}

// The first SYN is sent once; a copy may follow one that an earlier process
// passed.
void backend_observer::begin(flow& value, bool may_be_older, time_point now)
{
    value.state_ = flow_state::half_open;
    value.may_be_older_ = may_be_older && !is_complete_;
    value.opened_ = now;
}

// Another SYN of the same addresses is a new flow's if the former has ended. If
// not, it may be forged, and which flow the backend server holds isn't known.
void backend_observer::note_syn(flow& value, flow_packet const& packet,
                                time_point now)
{
    bool const is_copy =
        value.syn_sequence_.value_or(packet.sequence_) == packet.sequence_;
    bool const has_closed = value.has_ended_ && value.backend_finished_;
    if (!is_copy && has_closed)
    {
        value = {};
        value.seen_ = now;
        begin(value, packet.syn_attempt_ > 0, now);
    }
    else if (!is_copy)
    {
        value.state_ = flow_state::unclear;
        value.offered_ = {};
    }
    value.syn_sequence_ = packet.sequence_;
    value.may_be_older_ = value.may_be_older_ && packet.syn_attempt_ > 0;
}

// The backend server may still wait for the caller's last packet.
void backend_observer::close(flow& value)
{
    end_request(value);
    open_flows_ -= value.has_data_ ? 1 : 0;
    value.has_data_ = false;
    value.has_ended_ = true;
}

void backend_observer::note_offer(flow_packet const& packet, time_point now)
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
        begin(found->second, true, now);
    }
    auto& value = found->second;
    value.seen_ = now;
    bool const is_new = value.state_ == flow_state::half_open &&
                        std::ranges::find(value.offered_, packet.sequence_) ==
                            value.offered_.end();
    if (is_new)
    {
        value.offered_.push_back(packet.sequence_);
    }
}

void backend_observer::note_acknowledgement(flow& value,
                                            flow_packet const& packet)
{
    if (value.state_ != flow_state::half_open || packet.reset_)
    {
        return;
    }
    value.state_ =
        acknowledges(packet, value) ? flow_state::open : flow_state::unclear;
    value.offered_ = {};
}

void backend_observer::on_caller_packet(flow_packet const& packet,
                                        time_point now)
{
    smooth(now);
    if (packet.opens_flow())
    {
        syn_unanswered_ = syn_unanswered_.value_or(now);
        ++syns_unanswered_;
    }
    auto const found = find_or_add(packet, now);
    if (found == flows_.end())
    {
        return;
    }
    auto& value = found->second;
    if (packet.opens_flow())
    {
        note_syn(value, packet, now);
    }
    else
    {
        note_acknowledgement(value, packet);
    }
    value.caller_finished_ = value.caller_finished_ || packet.fin_;
    bool const has_closed =
        packet.reset_ || (packet.payload_bytes_ == 0 &&
                          value.caller_finished_ && value.backend_finished_);
    if (has_closed)
    {
        close(value);
        return;
    }
    if (packet.payload_bytes_ == 0)
    {
        return;
    }
    value.has_ended_ = false;
    if (!data_unanswered_)
    {
        data_unanswered_ = now;
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
        value.has_failed_ = false;
        value.asked_ = now;
        ++under_way_;
        value.crowding_ =
            std::max(1.0, static_cast<double>(under_way_) / slots_);
    }
}

std::optional<duration>
backend_observer::on_backend_packet(flow_packet const& packet, time_point now)
{
    smooth(now);
    answered();
    if (packet.syn_)
    {
        note_offer(packet, now);
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
    value.seen_ = now;
    bool const is_refused =
        packet.reset_ && value.state_ == flow_state::half_open;
    if (is_refused)
    {
        return std::nullopt;
    }
    value.state_ = flow_state::open;
    value.offered_ = {};
    std::optional<duration> took;
    if (packet.payload_bytes_ > 0 && value.awaits_answer_)
    {
        took = now - value.asked_;
        note_answer(value, seconds(*took));
        end_request(value);
    }
    value.backend_finished_ = value.backend_finished_ || packet.fin_;
    if (value.backend_finished_ && value.caller_finished_)
    {
        close(value);
    }
    if (packet.reset_)
    {
        if (value.awaits_answer_)
        {
            note_outcome(value, true);
        }
        erase(found);
    }
    return took;
}

void backend_observer::on_returned(flow_packet const& packet, time_point now)
{
    smooth(now);
    answered();
    auto const found = flows_.find(packet.flow_from_caller());
    if (found == flows_.end())
    {
        return;
    }
    auto const& value = found->second;
    bool const is_other_syn =
        packet.opens_flow() &&
        (value.state_ != flow_state::half_open || !value.offered_.empty());
    if (!is_other_syn)
    {
        erase(found);
    }
}

// An acknowledgement alone doesn't make a flow known: it may be the last one.
backend_observer::flow_map::iterator
backend_observer::find_or_add(flow_packet const& packet, time_point now)
{
    auto const key = packet.flow_from_caller();
    auto found = flows_.find(key);
    bool const is_worth_adding =
        (packet.payload_bytes_ > 0 || packet.opens_flow()) && !packet.reset_;
    if (found == flows_.end() && is_worth_adding)
    {
        found = add(key);
        if (found != flows_.end() && packet.opens_flow())
        {
            begin(found->second, packet.syn_attempt_ > 0, now);
            found->second.syn_sequence_ = packet.sequence_;
        }
    }
    if (found != flows_.end())
    {
        found->second.seen_ = now;
    }
    return found;
}

backend_observer::flow_map::iterator backend_observer::add(flow_key const& key)
{
    if (flows_.size() >= settings_.max_flows_)
    {
        is_complete_ = false;
        watched_since_.reset();
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

void backend_observer::answered()
{
    syn_unanswered_.reset();
    syns_unanswered_ = 0;
    data_unanswered_.reset();
}

void backend_observer::end_request(flow& value)
{
    if (value.awaits_answer_)
    {
        value.awaits_answer_ = false;
        --under_way_;
    }
}

// An answer that overtakes the queue is a refusal: the backend server is full.
void backend_observer::note_answer(flow& value, double took)
{
    bool const is_crowded = value.crowding_ > 1;
    if (is_crowded && took < refusal_time_share * service_seconds_)
    {
        note_outcome(value, true);
        return;
    }
    note_outcome(value, false);
    auto const sample = took / value.crowding_;
    auto const weight =
        is_crowded ? crowded_service_smoothing : service_smoothing;
    service_seconds_ =
        service_seconds_ == 0
            ? sample
            : service_seconds_ + weight * (sample - service_seconds_);
}

void backend_observer::note_outcome(flow& value, bool failed)
{
    if (!value.has_failed_)
    {
        value.has_failed_ = failed;
        failure_share_ +=
            outcome_smoothing * ((failed ? 1.0 : 0.0) - failure_share_);
    }
}

void backend_observer::smooth(time_point now)
{
    auto const passed = seconds(now - smoothed_);
    failure_share_ *= std::exp(-passed / seconds(settings_.failure_memory_));
    auto const keep = std::exp(-passed / seconds(settings_.smoothing_));
    mean_under_way_ = under_way_ + (mean_under_way_ - under_way_) * keep;
    smoothed_ = now;
}

void backend_observer::tick(time_point now)
{
    if (now < swept_ + sweep_interval)
    {
        return;
    }
    swept_ = now;
    smooth(now);
    watch(now);
    for (auto at = flows_.begin(); at != flows_.end();)
    {
        auto& value = at->second;
        bool const is_closed = value.has_ended_ && value.backend_finished_;
        auto const memory =
            is_closed ? settings_.ended_memory_ : settings_.flow_idle_;
        bool const is_idle = now > value.seen_ + memory;
        if (value.awaits_answer_ && now > value.asked_ + settings_.hang_time_)
        {
            note_outcome(value, true);
        }
        if (now > value.asked_ + settings_.request_timeout_)
        {
            end_request(value);
        }
        at = is_idle ? erase(at) : std::next(at);
    }
}

bool backend_observer::is_dark(time_point now) const
{
    return (syn_unanswered_ &&
            now > *syn_unanswered_ + settings_.syn_silence_) ||
           (data_unanswered_ &&
            now > *data_unanswered_ + settings_.data_silence_);
}

bool backend_observer::is_stopped(time_point now) const
{
    return syn_unanswered_ && syns_unanswered_ >= settings_.stopped_syns_ &&
           now > *syn_unanswered_ + settings_.stopped_silence_;
}

// What has been idle for longer than that is held by neither end.
void backend_observer::watch(time_point now)
{
    watched_since_ = watched_since_.value_or(now);
    is_complete_ = is_complete_ || now > *watched_since_ + settings_.flow_idle_;
}

void backend_observer::on_new_run(bool is_complete)
{
    is_complete_ = is_complete;
    watched_since_.reset();
    flows_.clear();
    forget_load();
}

void backend_observer::on_restart()
{
    is_complete_ = flows_.size() < settings_.max_flows_;
    for (auto& [key, value] : flows_)
    {
        end_request(value);
        value.has_data_ = false;
        if (value.state_ == flow_state::open)
        {
            value.state_ = flow_state::unclear;
        }
    }
    forget_load();
}

void backend_observer::forget_load()
{
    open_flows_ = 0;
    under_way_ = 0;
    failure_share_ = 0;
    syn_unanswered_.reset();
    syns_unanswered_ = 0;
    data_unanswered_.reset();
}

backend_load backend_observer::report(time_point now)
{
    constexpr double micros = 1e6;
    smooth(now);
    backend_load result;
    result.under_way_ = under_way_;
    result.mean_under_way_ = mean_under_way_;
    result.service_micros_ =
        static_cast<std::uint32_t>(std::lround(service_seconds_ * micros));
    result.failure_share_ = failure_share_;
    result.open_flows_ = open_flows_;
    return result;
}

} // namespace daisytrail
