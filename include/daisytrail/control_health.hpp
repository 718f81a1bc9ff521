// Monitors whether a balancer can reach other balancers: round-trip times of
// its probes, the time since it last received a message from another balancer,
// and whether it suspects that it is isolated itself.
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
    // This balancer sent a ping to `subject`.
    void on_probe_sent(std::uint64_t subject, time_point now);

    // Handles a pong from `subject`. Returns the round-trip time if the pong
    // answers a pending probe.
    std::optional<duration> on_pong(std::uint64_t subject, time_point now);

    // Handles the arrival of a control message from another balancer.
    void on_balancer_message(time_point now, std::vector<control_action>& out);

    // Most other members didn't answer while the failure detector verified a
    // suspect, so this balancer may itself be isolated.
    void on_self_suspected(time_point now, std::vector<control_action>& out);

    // Reports silence of all other balancers and the end of self-suspicion.
    // `has_others` is false if no other balancer is known.
    void tick(time_point now, bool has_others,
              std::vector<control_action>& out);

    // Time of the last message from another balancer, or of the first tick if
    // there was none yet.
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
    bool is_silence_reported_ = false;
    std::optional<time_point> suspected_since_; // set while self-suspected
    time_point last_suspected_at_;
    // Send times of unanswered probes, by subject.
    std::unordered_map<std::uint64_t, time_point> pending_probes_;
};

} // namespace daisytrail
