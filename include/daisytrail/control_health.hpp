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
    void on_probe_sent(std::uint64_t subject, time_point now);

    // Returns the round trip if the pong answers such a probe.
    std::optional<duration> on_pong(std::uint64_t subject, time_point now);

    // A control datagram of another balancer came.
    void on_balancer_message(time_point now, std::vector<control_action>& out);

    // Most others didn't answer when a member was verified.
    void on_self_suspected(time_point now, std::vector<control_action>& out);

    // `has_others` is false for the only balancer that is known.
    void tick(time_point now, bool has_others,
              std::vector<control_action>& out);

    // When another balancer was last heard; before that, the first tick.
    time_point last_received_at() const
    {
        return last_received_at_;
    }

    bool suspects_self() const
    {
        return suspected_since_.has_value();
    }

private:
    bool has_started_ = false;
    time_point last_received_at_;
    bool is_silence_reported_ = false; // reported
    std::optional<time_point> suspected_since_;
    time_point last_suspected_at_; // last time
    std::unordered_map<std::uint64_t, time_point>
        pending_probes_; // not answered yet
};

} // namespace daisytrail
