// Announcements that a backend server sends to its agent as heartbeats, and the
// ramp by which the weight of a new target grows.
#pragma once

#include "agent/flow_service.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/types.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace daisytrail
{

enum class backend_state : std::uint8_t
{
    ready,
    draining, // takes no new work, finishes the work in progress
    left,     // has stopped
    count
};

inline constexpr std::array<std::string_view, 3> backend_state_names{
    "ready", "draining", "left"};

// Body of a POST /v1/announce request.
struct announcement
{
    endpoint address_;
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    backend_state state_ = backend_state::ready;
};

// Parses {"address":"127.0.0.1:9001","slots":4,"connections":2000,
// "state":"ready"}; throws error(invalid_argument) if a field is missing or out
// of range.
announcement parse_announcement(std::string_view text);

// Tracks the state of one backend server from its announcements. The caller
// passes the current time, so that tests can use virtual time.
class backend_monitor
{
public:
    void on_announcement(announcement const& value, time_point now);

    // Status of the backend server for the flow service.
    backend_status status(time_point now) const;

    // Status that the agent publishes to the other members. The state is
    // draining while no ready backend server is known or `stopping` is set.
    target_status make_target_status(time_point now, bool stopping) const;

private:
    bool is_fresh(time_point now) const;
    std::uint32_t ramp_step(time_point now) const;

    std::optional<announcement> last_announcement_;
    time_point last_received_at_{};
    time_point ready_since_{}; // start of the weight ramp
};

} // namespace daisytrail
