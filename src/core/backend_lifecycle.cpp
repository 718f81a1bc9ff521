// Orders the runs and announcements of a backend server.
#include <daisytrail/backend_lifecycle.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr std::uint16_t full_speed_percent = 100;
constexpr std::uint16_t warm_up_speed_percent = 60;
constexpr std::uint32_t min_takeover_announcements = 3;
constexpr std::size_t max_remembered_runs = 16;

bool contains(auto const& runs, auto const& value)
{
    return std::ranges::find(runs, value) != runs.end();
}

// Adds the run and forgets the oldest one beyond the limit.
void add(auto& runs, auto const& value)
{
    if (contains(runs, value))
    {
        return;
    }
    runs.push_back(value);
    if (runs.size() > max_remembered_runs)
    {
        runs.pop_front();
    }
}

} // namespace

backend_lifecycle::run
backend_lifecycle::run_of(backend_announcement const& value)
{
    return {value.id_, value.started_at_ms_};
}

announcement_outcome
backend_lifecycle::on_announcement(backend_announcement const& value,
                                   time_point now)
{
    if (value.service_ != service_)
    {
        return announcement_outcome::other_service;
    }
    bool const was_announced = phase_ != backend_phase::unknown;
    if (was_announced && run_of(value) == run_of(last_announcement_))
    {
        return continue_run(value, now);
    }
    if (contains(ended_runs_, run_of(value)))
    {
        return announcement_outcome::ended;
    }
    is_end_certain_ = false;
    if (was_announced && !begins_now(value, now) && !takes_over(value, now))
    {
        return announcement_outcome::not_current;
    }
    adopt(value, now);
    return announcement_outcome::accepted;
}

announcement_outcome
backend_lifecycle::continue_run(backend_announcement const& value,
                                time_point now)
{
    if (value.sequence_ <= last_announcement_.sequence_)
    {
        return announcement_outcome::out_of_order;
    }
    if (phase_ == backend_phase::gone)
    {
        is_end_certain_ = false;
        resume_if_alive(value, now);
    }
    if (phase_ != backend_phase::gone)
    {
        last_heard_at_ = now;
        challenger_ = {};
    }
    bool const is_leaving =
        phase_ == backend_phase::draining || phase_ == backend_phase::gone;
    if (is_leaving && value.phase_ == backend_phase::ready)
    {
        return announcement_outcome::after_draining;
    }
    last_announcement_ = value;
    if (phase_ != backend_phase::gone)
    {
        phase_ = value.phase_;
    }
    warmed_up_at_ = now + value.remaining_warm_up_;
    return announcement_outcome::accepted;
}

// Makes the announced run the current one.
void backend_lifecycle::adopt(backend_announcement const& value, time_point now)
{
    if (phase_ != backend_phase::unknown)
    {
        add(phase_ == backend_phase::gone ? ended_runs_ : former_runs_,
            run_of(last_announcement_));
    }
    last_announcement_ = value;
    is_heard_from_start_ = value.sequence_ == first_announcement;
    ++run_count_;
    phase_ = value.phase_;
    warmed_up_at_ = now + value.remaining_warm_up_;
    first_heard_at_ = now;
    last_heard_at_ = now;
    challenger_ = {};
}

bool backend_lifecycle::is_well_known() const
{
    return last_heard_at_ >= first_heard_at_ + takeover_time;
}

bool backend_lifecycle::is_silent(time_point now) const
{
    return phase_ == backend_phase::gone ||
           now >= last_heard_at_ + takeover_time;
}

// True if the announcement is presumably one of a run that began after the
// current one. The first run that an agent hears of may be a former one, so a
// run that wasn't heard for long gives way to any later one.
bool backend_lifecycle::begins_now(backend_announcement const& value,
                                   time_point now) const
{
    bool const is_later =
        value.started_at_ms_ > last_announcement_.started_at_ms_ &&
        !contains(former_runs_, run_of(value));
    bool const is_in_doubt = !is_well_known() || is_silent(now);
    return is_later && (is_in_doubt || value.sequence_ == first_announcement);
}

// Records the announcement of a run that isn't current. Returns true if the run
// has announced itself regularly for long enough.
bool backend_lifecycle::takes_over(backend_announcement const& value,
                                   time_point now)
{
    bool const is_regular = now <= challenger_.last_heard_at_ + takeover_time;
    if (challenger_.run_ != run_of(value))
    {
        challenger_ = {run_of(value), 0, 0, now, now};
    }
    if (!is_regular)
    {
        challenger_ = {run_of(value), challenger_.sequence_, 0, now, now};
    }
    if (value.sequence_ <= challenger_.sequence_)
    {
        return false;
    }
    challenger_.sequence_ = value.sequence_;
    challenger_.last_heard_at_ = now;
    ++challenger_.announcements_;
    return challenger_.announcements_ >= min_takeover_announcements &&
           now >= challenger_.first_heard_at_ + takeover_time;
}

// Revokes an end that was presumably that of a former run with the same id: the
// current run hasn't drained and still announces itself regularly.
void backend_lifecycle::resume_if_alive(backend_announcement const& value,
                                        time_point now)
{
    if (was_ready_at_end_ && value.phase_ == backend_phase::ready &&
        takes_over(value, now))
    {
        phase_ = backend_phase::ready;
    }
}

bool backend_lifecycle::is_in_force(backend_announcement const& value,
                                    announcement_outcome outcome) const
{
    switch (outcome)
    {
    case announcement_outcome::accepted:
    case announcement_outcome::after_draining:
        return true;
    case announcement_outcome::out_of_order:
        return value.phase_ == backend_phase::ready ||
               phase_ != backend_phase::ready;
    case announcement_outcome::not_current:
    case announcement_outcome::ended:
    case announcement_outcome::other_service:
    case announcement_outcome::count:
        break;
    }
    return false;
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
    if (phase_ != backend_phase::gone)
    {
        was_ready_at_end_ = phase_ == backend_phase::ready;
        is_end_certain_ = phase_ == backend_phase::draining && is_well_known();
    }
    phase_ = backend_phase::gone;
    // The run lived until now, so all runs before it have ended.
    for (auto const& each : former_runs_)
    {
        add(ended_runs_, each);
    }
    former_runs_.clear();
    challenger_ = {};
    return true;
}

std::uint16_t backend_lifecycle::speed_percent(time_point now) const
{
    return now < warmed_up_at_ ? warm_up_speed_percent : full_speed_percent;
}

} // namespace daisytrail
