// How well a balancer hears others: round trips of its probes, how long other
// balancers have been silent, and whether it suspects itself.
#pragma once

#include <daisytrail/control_messages.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

class control_health
{
public:
    // A probe of this balancer went out.
    void pinged(std::uint64_t subject, time_point now);

    // Returns the round trip if the pong answers such a probe.
    std::optional<duration> answered(std::uint64_t subject, time_point now);

    // A control datagram of another balancer came.
    void heard_balancer(time_point now, std::vector<control_action>& out);

    // Most others didn't answer when a member was verified.
    void suspected_self(time_point now, std::vector<control_action>& out);

    // `has_others` is false for the only balancer that is known.
    void tick(time_point now, bool has_others,
              std::vector<control_action>& out);

    // When another balancer was last heard; before that, the first tick.
    time_point heard() const
    {
        return heard_;
    }

    bool suspects_self() const
    {
        return suspected_since_.has_value();
    }

private:
    bool started_ = false;
    time_point heard_;
    bool others_silent_ = false; // reported
    std::optional<time_point> suspected_since_;
    time_point suspected_;                                // last time
    std::unordered_map<std::uint64_t, time_point> pings_; // not answered yet
};

} // namespace daisytrail
