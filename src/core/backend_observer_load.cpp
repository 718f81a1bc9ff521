// The load of a backend server as its agent sees it: requests in flight, times
// to answer and failures.
#include <daisytrail/backend_observer.hpp>

#include <cmath>
#include <utility>

namespace daisytrail
{

namespace
{

// Weights of the newest sample in the moving averages of the failure ratio and
// of the time to answer.
constexpr double outcome_weight = 0.05;
constexpr double answer_time_weight = 0.1;
// Weight of an answer that was queued: lower, since its queueing time is only
// estimated.
constexpr double queued_answer_time_weight = 0.02;
// An answer within this fraction of the average time to answer wasn't queued.
constexpr double max_refusal_time_ratio = 0.3;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void backend_observer::end_request(flow& value)
{
    if (value.awaits_answer_)
    {
        value.awaits_answer_ = false;
        --in_flight_;
        end_opening(value);
    }
}

void backend_observer::begin_opening(flow& value, flow_key const& key,
                                     time_point now)
{
    if (!value.has_answer_)
    {
        value.is_opening_request_ = true;
        ++opening_requests_;
        opening_starts_.push_back({key, now});
    }
}

void backend_observer::end_opening(flow& value)
{
    if (std::exchange(value.is_opening_request_, false))
    {
        --opening_requests_;
    }
}

std::uint32_t backend_observer::opening_requests(time_point now)
{
    while (!opening_starts_.empty() &&
           now > opening_starts_.front().at_ + settings_.overdue_time_)
    {
        auto const start = opening_starts_.front();
        opening_starts_.pop_front();
        auto const found = flows_.find(start.flow_);
        bool const is_overdue =
            found != flows_.end() && found->second.requested_at_ == start.at_;
        if (is_overdue)
        {
            end_opening(found->second);
        }
    }
    return opening_requests_;
}

// An answer that arrives too early to have been queued is a refusal by a full
// backend server and counts as a failure.
void backend_observer::record_answer(flow& value, duration answer_time)
{
    auto const seconds = to_seconds(answer_time);
    bool const was_queued = value.requests_per_slot_ > 1;
    if (was_queued && seconds < max_refusal_time_ratio * service_seconds_)
    {
        record_outcome(value, true);
        return;
    }
    record_outcome(value, false);
    auto const sample = seconds / value.requests_per_slot_;
    auto const weight =
        was_queued ? queued_answer_time_weight : answer_time_weight;
    service_seconds_ =
        service_seconds_ == 0
            ? sample
            : service_seconds_ + weight * (sample - service_seconds_);
}

void backend_observer::record_outcome(flow& value, bool failed)
{
    if (!value.is_counted_as_failed_)
    {
        value.is_counted_as_failed_ = failed;
        failure_ratio_ +=
            outcome_weight * ((failed ? 1.0 : 0.0) - failure_ratio_);
    }
}

void backend_observer::update_averages(time_point now)
{
    auto const elapsed = to_seconds(now - averaged_at_);
    failure_ratio_ *=
        std::exp(-elapsed / to_seconds(settings_.failure_decay_time_));
    auto const decay =
        std::exp(-elapsed / to_seconds(settings_.smoothing_time_));
    mean_in_flight_ = in_flight_ + (mean_in_flight_ - in_flight_) * decay;
    averaged_at_ = now;
}

void backend_observer::reset_load()
{
    open_flows_ = 0;
    in_flight_ = 0;
    opening_requests_ = 0;
    opening_starts_.clear();
    failure_ratio_ = 0;
    unanswered_syn_at_.reset();
    unanswered_syn_count_ = 0;
    unanswered_data_at_.reset();
}

backend_load backend_observer::report(time_point now)
{
    constexpr double micros = 1e6;
    update_averages(now);
    backend_load result;
    result.in_flight_ = in_flight_;
    result.mean_in_flight_ = mean_in_flight_;
    result.service_micros_ =
        static_cast<std::uint32_t>(std::lround(service_seconds_ * micros));
    result.failure_ratio_ = failure_ratio_;
    result.open_flows_ = open_flows_;
    return result;
}

} // namespace daisytrail
