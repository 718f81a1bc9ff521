// Lifecycle of one backend server as announced to its agent: which run (process
// instance) is the current one and whether it takes new flows.
//
// Announcements of former runs may arrive late, and a run's start time is that
// of the backend server's clock, which may go back. Only one run lives at a
// time, and it announces itself regularly. Therefore:
// - A run with a later start time than the current one becomes current at once,
//   unless the current run is well known, was heard lately, and the other run
//   doesn't say that it has just started.
// - Any other run becomes current once it has announced itself regularly for
//   takeover_time while nothing was heard from the current run.
// - A run that was reported as ended, or that lived before such a run, never
//   becomes current again. The exception is a run that never drained and that
//   goes on to announce itself for takeover_time: the end was that of a former
//   run with the same id.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace daisytrail
{

enum class backend_phase : std::uint8_t
{
    unknown,  // not announced since this agent started
    ready,    // takes new flows
    draining, // serves its open flows, takes no new ones
    gone,     // the current run has ended
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(backend_phase::count)>
    backend_phase_names{"unknown", "ready", "draining", "gone"};

constexpr std::string_view to_string(backend_phase phase)
{
    return backend_phase_names[static_cast<std::size_t>(phase)];
}

// One announcement by a run of a backend server.
struct backend_announcement
{
    std::string id_; // of this run, unique in the fleet
    std::string service_;
    std::uint64_t started_at_ms_ = 0; // Unix time at which the run started
    std::uint64_t sequence_ = 0; // increases with each announcement of a run
    std::uint32_t slots_ = 1;
    backend_phase phase_ = backend_phase::ready;
    // The backend server runs at reduced speed for this long.
    std::chrono::milliseconds remaining_warm_up_{0};

    bool operator==(backend_announcement const&) const = default;
};

// Sequence number of the first announcement of each run.
inline constexpr std::uint64_t first_announcement = 1;

// Time after which a run is believed that announces itself while the current
// run is silent. Longer than two announcement intervals of a backend server,
// and shorter than the time within which an announcement must be acknowledged,
// by more than an interval.
inline constexpr std::chrono::milliseconds takeover_time{3'000};

enum class announcement_outcome : std::uint8_t
{
    accepted,
    not_current,    // another run is the current one
    ended,          // the run has ended
    out_of_order,   // a later announcement of this run was received
    after_draining, // a draining run can't become ready again
    other_service,  // the announced service isn't this agent's
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(
                                                  announcement_outcome::count)>
    announcement_outcome_names{"accepted",       "not_current",
                               "ended",          "out_of_order",
                               "after_draining", "other_service"};

constexpr std::string_view to_string(announcement_outcome outcome)
{
    return announcement_outcome_names[static_cast<std::size_t>(outcome)];
}

class backend_lifecycle
{
public:
    explicit backend_lifecycle(std::string service)
        : service_(std::move(service))
    {
    }

    announcement_outcome on_announcement(backend_announcement const& value,
                                         time_point now);

    // True if the agent acts on what the announcement with this outcome says,
    // so that the backend server may rely on it.
    bool is_in_force(backend_announcement const& value,
                     announcement_outcome outcome) const;

    // Marks the run with this id as ended. Returns false and changes nothing
    // if it isn't the current run.
    bool on_end(std::string const& id);

    backend_phase phase() const
    {
        return phase_;
    }

    // True if it is certain that the backend server doesn't run, so that it
    // holds no flows. An end names its run by the id alone, which a later run
    // may have too, and may arrive late. It is certain only of a run that this
    // agent had heard for takeover_time and that drained, and until a run
    // announces itself.
    bool has_certainly_ended() const
    {
        return phase_ == backend_phase::gone && is_end_certain_;
    }

    // True if the first announcement that was heard of the current run is the
    // first one that it sent. The run has then probably started after this
    // agent or at the same time, which is no proof.
    bool is_heard_from_start() const
    {
        return phase_ != backend_phase::unknown && is_heard_from_start_;
    }

    // Number of runs that announced themselves.
    std::uint64_t run_count() const
    {
        return run_count_;
    }

    // Percentage of full speed; below 100 during warm-up.
    std::uint16_t speed_percent(time_point now) const;

    backend_announcement const& last_announcement() const
    {
        return last_announcement_;
    }

private:
    struct run
    {
        std::string id_;
        std::uint64_t started_at_ms_ = 0;

        bool operator==(run const&) const = default;
    };

    // A run that announces itself and isn't current.
    struct challenger
    {
        run run_;
        std::uint64_t sequence_ = 0; // highest one heard
        std::uint32_t announcements_ = 0;
        time_point first_heard_at_{};
        time_point last_heard_at_{};
    };

    static run run_of(backend_announcement const& value);
    announcement_outcome continue_run(backend_announcement const& value,
                                      time_point now);
    void adopt(backend_announcement const& value, time_point now);
    bool begins_now(backend_announcement const& value, time_point now) const;
    bool takes_over(backend_announcement const& value, time_point now);
    void resume_if_alive(backend_announcement const& value, time_point now);
    bool is_well_known() const;
    bool is_silent(time_point now) const;

    std::string service_;
    backend_phase phase_ = backend_phase::unknown;
    bool is_heard_from_start_ = false;
    // Meaningful while phase_ is gone.
    bool is_end_certain_ = false;
    bool was_ready_at_end_ = false;
    backend_announcement last_announcement_; // unset while phase_ is unknown
    std::uint64_t run_count_ = 0;
    // First and last announcement of the current run that were in order.
    time_point first_heard_at_{};
    time_point last_heard_at_{};
    challenger challenger_;
    std::deque<run> former_runs_; // were current, the latest last; bounded
    std::deque<run> ended_runs_;  // known to have ended; bounded
    time_point warmed_up_at_{};
};

} // namespace daisytrail
