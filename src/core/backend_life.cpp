// Order of a backend server's runs and announcements.
#include <daisytrail/backend_life.hpp>

namespace daisytrail
{

namespace
{

constexpr std::uint16_t full_speed = 100;
constexpr std::uint16_t warm_up_speed = 60;

} // namespace

announcement_outcome
backend_life::on_announcement(backend_announcement const& value, time_point now)
{
    if (value.service_ != service_)
    {
        return announcement_outcome::other_service;
    }
    bool const is_known = phase_ != backend_phase::unknown;
    if (is_known && value.started_ < last_.started_)
    {
        return announcement_outcome::older_run;
    }
    bool const same_run =
        is_known && value.id_ == last_.id_ && value.started_ == last_.started_;
    if (same_run && value.sequence_ <= last_.sequence_)
    {
        return announcement_outcome::out_of_order;
    }
    bool const has_left =
        phase_ == backend_phase::draining || phase_ == backend_phase::gone;
    if (same_run && has_left && value.phase_ == backend_phase::ready)
    {
        return announcement_outcome::after_draining;
    }
    last_ = value;
    run_count_ += same_run ? 0 : 1;
    if (!(same_run && phase_ == backend_phase::gone))
    {
        phase_ = value.phase_;
    }
    warm_at_ = now + value.warm_up_left_;
    return announcement_outcome::accepted;
}

bool backend_life::on_end(std::string const& id)
{
    // Only the backend server beside this process says so: before the first
    // announcement it is the one that runs.
    if (phase_ == backend_phase::unknown)
    {
        last_.id_ = id;
    }
    if (id != last_.id_)
    {
        return false;
    }
    phase_ = backend_phase::gone;
    return true;
}

std::uint16_t backend_life::speed_share(time_point now) const
{
    return now < warm_at_ ? warm_up_speed : full_speed;
}

} // namespace daisytrail
