// The life of one backend server as its agent knows it from announcements:
// which run of it is the current one, and whether it takes new flows.
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
    draining, // keeps its flows, takes no new ones
    gone,     // ended
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(backend_phase::count)>
    backend_phase_names{"unknown", "ready", "draining", "gone"};

constexpr std::string_view to_string(backend_phase phase)
{
    return backend_phase_names[static_cast<std::size_t>(phase)];
}

// One announcement of a backend server.
struct backend_announcement
{
    std::string id_;      // of this run, unique in the fleet
    std::string service_; // name of its service
    std::uint64_t started_at_ms_ =
        0;                       // start of this run, milliseconds since 1970
    std::uint64_t sequence_ = 0; // grows with each announcement of a run
    std::uint32_t slots_ = 1;
    backend_phase phase_ = backend_phase::ready;
    std::chrono::milliseconds remaining_warm_up_{0}; // slow for this long

    bool operator==(backend_announcement const&) const = default;
};

enum class announcement_outcome : std::uint8_t
{
    accepted,
    older_run,      // a later run of the backend server is known
    out_of_order,   // a later announcement of this run is known
    after_draining, // a run that drains doesn't become ready again
    other_service,  // of a service that isn't this agent's
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

    // The run with this id has ended; returns false if it isn't the current.
    bool on_end(std::string const& id);

    backend_phase phase() const
    {
        return phase_;
    }

    // Runs that announced themselves.
    std::uint64_t run_count() const
    {
        return run_count_;
    }

    // Percent of its full speed; less while it warms up.
    std::uint16_t speed_percent(time_point now) const;

    backend_announcement const& last_announcement() const
    {
        return last_announcement_;
    }

private:
    std::string service_;
    backend_phase phase_ = backend_phase::unknown;
    backend_announcement
        last_announcement_; // meaningful unless phase_ is unknown
    std::uint64_t run_count_ = 0;
    time_point warmed_up_at_{};
};

} // namespace daisytrail
