// What the backend server tells its agent, and how a new target's share of
// work grows.
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
    draining, // takes no new work, ends what it has
    left,     // stopped
    count
};

inline constexpr std::array<std::string_view, 3> backend_state_names{
    "ready", "draining", "left"};

// Body of POST /v1/announce.
struct announcement
{
    endpoint address_;
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    backend_state state_ = backend_state::ready;
};

// Parses {"address":"127.0.0.1:9001","slots":4,"connections":2000,
// "state":"ready"}; throws error(invalid_argument).
announcement parse_announcement(std::string_view text);

// Follows one backend server by its heartbeats, on virtual time.
class backend_monitor
{
public:
    void on_announcement(announcement const& value, time_point now);

    // Status for the flow service.
    backend_status status(time_point now) const;

    // What the fleet is told; draining while there is no backend server or
    // `stopping` is set.
    target_status make_target_status(time_point now, bool stopping) const;

private:
    bool is_fresh(time_point now) const;
    std::uint32_t ramp_step(time_point now) const;

    std::optional<announcement> last_announcement_;
    time_point last_received_at_{};
    time_point ready_since_{}; // start of the ramp
};

} // namespace daisytrail
