// Checks from the observations of callers and backend servers that the packets
// of an open flow reach the backend server that owns the flow.
#pragma once

#include <daisytrail/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

struct flow_bounds
{
    // A machine isn't checked for this long after a disturbance.
    duration recovery_time_ = std::chrono::milliseconds(5'000);
    // A flow is misrouted if for this long no packet reaches its own backend
    // server ...
    duration max_misrouted_time_ = std::chrono::milliseconds(2'000);
    // ... while at least this many packets reach other backend servers.
    std::size_t min_misrouted_packets_ = 3;
};

// Machines have numbers: a backend server and its agent share a number from 1,
// balancers have negative numbers. A flow's identifier is its caller's port,
// which is used once. The functions must be called in order of time.
class flow_judge
{
public:
    using flow_id = std::uint16_t;

    explicit flow_judge(flow_bounds bounds = {}) : bounds_(bounds) {}

    // The backend server that owns the flow received the end of the handshake.
    void on_open(flow_id flow, int server, time_point now);

    void on_sent(flow_id flow, int balancer, time_point now);
    void on_delivered(flow_id flow, int server, time_point now);

    // The caller received a reset from the backend server `sender`, or from a
    // balancer if `sender` is 0.
    void on_reset(flow_id flow, int sender, time_point now);

    // The caller abandoned the flow because its packets weren't answered.
    void on_timeout(flow_id flow);

    // The flow's caller or backend server starts to close the flow.
    void on_end(flow_id flow);

    void on_server_end(int server);
    void on_disturbance(int machine, time_point from, time_point until);

    // Descriptions of the violated rules.
    std::vector<std::string> const& violations() const
    {
        return violations_;
    }

    // Number of flows that completed the handshake.
    std::size_t judged_flow_count() const
    {
        return judged_flow_count_;
    }

    // Number of flows that timed out although their backend server ran.
    std::size_t timed_out_flow_count() const
    {
        return timed_out_flow_count_;
    }

    // Number of flows that timed out after their backend server had ended.
    std::size_t timed_out_ownerless_flow_count() const
    {
        return timed_out_ownerless_flow_count_;
    }

    // For each flow that was reset after its backend server had ended: the time
    // from its first packet after that end to the reset.
    std::vector<duration> const& ownerless_reset_delays() const
    {
        return ownerless_reset_delays_;
    }

private:
    struct misrouted_span // since a packet last reached the flow's own server
    {
        time_point from_{};
        std::vector<int> servers_; // one entry per packet
        bool is_reported_ = false;
    };

    struct open_flow
    {
        int server_ = 0;
        time_point opened_at_{};
        bool has_owner_ = true;
        // Time of the first packet after the owner ended.
        std::optional<time_point> first_ownerless_packet_at_;
        std::map<int, time_point> last_sent_by_balancer_; // by balancer
        std::optional<misrouted_span> misrouted_;
    };

    struct disturbance
    {
        int machine_;
        time_point from_;
        time_point until_;
    };

    open_flow* find(flow_id flow);
    void check_misrouting(flow_id flow, open_flow& value, time_point now);
    bool was_disturbed(int machine, time_point from, time_point until) const;
    bool is_undisturbed(open_flow const& value, time_point from,
                        time_point now) const;

    flow_bounds bounds_;
    std::map<flow_id, open_flow> flows_;
    std::vector<disturbance> disturbances_;
    std::vector<std::string> violations_;
    std::size_t judged_flow_count_ = 0;
    std::size_t timed_out_flow_count_ = 0;
    std::size_t timed_out_ownerless_flow_count_ = 0;
    std::vector<duration> ownerless_reset_delays_;
};

} // namespace daisytrail
