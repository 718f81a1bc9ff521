// Lifecycle of one backend server as announced to its agent: which run (process
// instance) is the current one and whether it takes new flows.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <chrono>
#include <cstdint>
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

enum class announcement_outcome : std::uint8_t
{
    accepted,
    older_run,      // a later run of the backend server has announced itself
    out_of_order,   // a later announcement of this run was received
    after_draining, // a draining run can't become ready again
    other_service,  // the announced service isn't this agent's
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(
                                                  announcement_outcome::count)>
    announcement_outcome_names{"accepted", "older_run", "out_of_order",
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

    // Marks the run with this id as ended. Returns false and changes nothing
    // if it isn't the current run.
    bool on_end(std::string const& id);

    backend_phase phase() const
    {
        return phase_;
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
    std::string service_;
    backend_phase phase_ = backend_phase::unknown;
    backend_announcement last_announcement_; // unset while phase_ is unknown
    std::uint64_t run_count_ = 0;
    time_point warmed_up_at_{};
};

} // namespace daisytrail
