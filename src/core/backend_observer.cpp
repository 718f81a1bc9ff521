// Observation of a backend server by the packets that pass.
#include <daisytrail/backend_observer.hpp>

#include <algorithm>
#include <cmath>

namespace daisytrail
{

namespace
{

constexpr std::chrono::seconds sweep_interval{1};
constexpr double outcome_smoothing = 0.05; // weight of the newest request
constexpr double service_smoothing = 0.1;  // weight of the newest answer

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

void backend_observer::on_caller_packet(flow_packet const& packet,
                                        time_point now)
{
    smooth(now);
    if (packet.opens_flow() && !syn_unanswered_)
    {
        syn_unanswered_ = now;
    }
    auto const key = packet.flow_from_caller();
    if (packet.reset_)
    {
        if (auto const found = flows_.find(key); found != flows_.end())
        {
            end_request(found->second);
            flows_.erase(found);
        }
        return;
    }
    if (flows_.size() >= settings_.max_flows_ && !flows_.contains(key))
    {
        return;
    }
    auto& value = flows_[key];
    value.seen_ = now;
    if (packet.payload_bytes_ == 0)
    {
        return;
    }
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
    answered(now);
    auto const found = flows_.find(packet.flow_from_backend());
    if (found == flows_.end())
    {
        return std::nullopt;
    }
    auto& value = found->second;
    value.seen_ = now;
    std::optional<duration> took;
    if (packet.payload_bytes_ > 0 && value.awaits_answer_)
    {
        took = now - value.asked_;
        auto const sample = seconds(*took) / value.crowding_;
        service_seconds_ =
            service_seconds_ == 0
                ? sample
                : service_seconds_ +
                      service_smoothing * (sample - service_seconds_);
        note_outcome(value, false);
        end_request(value);
    }
    if (packet.reset_)
    {
        if (value.awaits_answer_)
        {
            note_outcome(value, true);
        }
        end_request(value);
        flows_.erase(found);
    }
    return took;
}

void backend_observer::on_returned(flow_packet const& packet, time_point now)
{
    smooth(now);
    answered(now);
    auto const found = flows_.find(packet.flow_from_caller());
    if (found != flows_.end())
    {
        end_request(found->second);
        flows_.erase(found);
    }
}

void backend_observer::answered(time_point)
{
    syn_unanswered_.reset();
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
    for (auto at = flows_.begin(); at != flows_.end();)
    {
        auto& value = at->second;
        bool const is_idle = now > value.seen_ + settings_.flow_idle_;
        if (value.awaits_answer_ && now > value.asked_ + settings_.hang_time_)
        {
            note_outcome(value, true);
        }
        if (is_idle || now > value.asked_ + settings_.request_timeout_)
        {
            end_request(value);
        }
        at = is_idle ? flows_.erase(at) : std::next(at);
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
    return syn_unanswered_ &&
           now > *syn_unanswered_ + settings_.stopped_silence_;
}

void backend_observer::on_new_run()
{
    flows_.clear();
    under_way_ = 0;
    failure_share_ = 0;
    syn_unanswered_.reset();
    data_unanswered_.reset();
}

load_report backend_observer::report(time_point now)
{
    constexpr double micros = 1e6;
    smooth(now);
    load_report result;
    result.under_way_ = under_way_;
    result.mean_under_way_ = mean_under_way_;
    result.service_micros_ =
        static_cast<std::uint32_t>(std::lround(service_seconds_ * micros));
    result.failure_share_ = failure_share_;
    result.open_flows_ = static_cast<std::uint32_t>(flows_.size());
    return result;
}

} // namespace daisytrail
