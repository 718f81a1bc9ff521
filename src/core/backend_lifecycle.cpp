// Orders the runs and announcements of a backend server.
#include <daisytrail/backend_lifecycle.hpp>

namespace daisytrail
{

namespace
{

constexpr std::uint16_t full_speed_percent = 100;
constexpr std::uint16_t warm_up_speed_percent = 60;

} // namespace

announcement_outcome
backend_lifecycle::on_announcement(backend_announcement const& value,
                                   time_point now)
{
    if (value.service_ != service_)
    {
        return announcement_outcome::other_service;
    }
    bool const was_announced = phase_ != backend_phase::unknown;
    if (was_announced &&
        value.started_at_ms_ < last_announcement_.started_at_ms_)
    {
        return announcement_outcome::older_run;
    }
    bool const same_run =
        was_announced && value.id_ == last_announcement_.id_ &&
        value.started_at_ms_ == last_announcement_.started_at_ms_;
    if (same_run && value.sequence_ <= last_announcement_.sequence_)
    {
        return announcement_outcome::out_of_order;
    }
    bool const is_leaving =
        phase_ == backend_phase::draining || phase_ == backend_phase::gone;
    if (same_run && is_leaving && value.phase_ == backend_phase::ready)
    {
        return announcement_outcome::after_draining;
    }
    last_announcement_ = value;
    run_count_ += same_run ? 0 : 1;
    if (!(same_run && phase_ == backend_phase::gone))
    {
        phase_ = value.phase_;
    }
    warmed_up_at_ = now + value.remaining_warm_up_;
    return announcement_outcome::accepted;
}

bool backend_lifecycle::on_end(std::string const& id)
{
    // The end is reported only by the backend server on this agent's host, so
    // before the first announcement `id` must be the current run.
    if (phase_ == backend_phase::unknown)
    {
        last_announcement_.id_ = id;
    }
    if (id != last_announcement_.id_)
    {
        return false;
    }
    phase_ = backend_phase::gone;
    return true;
}

std::uint16_t backend_lifecycle::speed_percent(time_point now) const
{
    return now < warmed_up_at_ ? warm_up_speed_percent : full_speed_percent;
}

} // namespace daisytrail
