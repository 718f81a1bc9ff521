// Judges from outside, by what callers and backend servers saw, whether open
// flows stay with their own backend server.
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
    // Machines that were disturbed in this time before are not judged.
    duration recovery_time_ = std::chrono::milliseconds(5'000);
    // A flow must not be away from its own backend server for this long ...
    duration max_misrouted_time_ = std::chrono::milliseconds(2'000);
    // ... while so many of its packets reach others.
    std::size_t min_misrouted_packets_ = 3;
};

// Backend servers, their agents with them, are numbered from 1; balancers have
// negative numbers. Flows are named by the port of their caller, which is used
// once. Calls come in the order of time.
class flow_judge
{
public:
    using flow_id = std::uint16_t;

    explicit flow_judge(flow_bounds bounds = {}) : bounds_(bounds) {}

    // Its own backend server has the end of the handshake.
    void on_open(flow_id flow, int server, time_point now);

    void on_sent(flow_id flow, int balancer, time_point now);
    void on_delivered(flow_id flow, int server, time_point now);

    // The caller got a reset; `sender` is 0 for one that no backend server
    // sent.
    void on_reset(flow_id flow, int sender, time_point now);

    // The caller has given the flow up without an answer.
    void on_timeout(flow_id flow);

    // The flow's caller or its own backend server begins to close it.
    void on_end(flow_id flow);

    void on_server_end(int server);
    void on_disturbance(int machine, time_point from, time_point until);

    // Each broken rule in words.
    std::vector<std::string> const& violations() const
    {
        return violations_;
    }

    // Flows that were open.
    std::size_t judged_flow_count() const
    {
        return judged_flow_count_;
    }

    // Flows whose backend server lived when their callers gave up.
    std::size_t timed_out_flow_count() const
    {
        return timed_out_flow_count_;
    }

    // Flows whose backend server had ended: their callers gave up, ...
    std::size_t timed_out_ownerless_flow_count() const
    {
        return timed_out_ownerless_flow_count_;
    }

    // ... or were told so after that much time.
    std::vector<duration> const& ownerless_reset_delays() const
    {
        return ownerless_reset_delays_;
    }

private:
    struct misrouted_span // of packets that reached other backend servers only
    {
        time_point from_{};
        std::vector<int> servers_; // by packet
        bool is_reported_ = false;
    };

    struct open_flow
    {
        int server_ = 0;
        time_point opened_at_{};
        bool has_owner_ = true;
        std::optional<time_point>
            first_ownerless_packet_at_; // first packet without an owner
        std::map<int, time_point>
            last_sent_by_balancer_; // last packet through each
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
