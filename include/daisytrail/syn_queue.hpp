// Queue of new flows at an agent. The agent passes a SYN to its backend server
// only while that has few requests; the other SYNs wait here. The newest leaves
// first: a caller that is served late gains nothing from being served earlier,
// and one whose attempt ends comes back as the newest.
//
// Load pattern: after a power failure all callers try again within some hundred
// milliseconds, for several times as many requests as the backend servers run.
// A full backend server refuses requests and resets flows. Each refusal uses up
// one of the caller's few attempts, and a backend server that refuses quickly
// looks fast and attracts further flows.
#pragma once

#include <daisytrail/packet_format.hpp>
#include <daisytrail/types.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

struct syn_queue_settings
{
    // SYNs are passed while there are fewer requests per slot than this. Above
    // one, so that no slot idles while a handshake takes place.
    double requests_per_slot_ = 2;
    std::size_t max_waiting_ = 1'000;
    // How long a caller still waits for an answer to the first SYN of an
    // attempt and to each of its copies.
    std::array<duration, 3> remaining_times_{std::chrono::milliseconds(1'400),
                                             std::chrono::milliseconds(1'200),
                                             std::chrono::milliseconds(800)};
    // A flow whose SYN was passed counts as a request for this long, unless its
    // request arrives or the flow ends.
    duration handshake_timeout_ = std::chrono::milliseconds(100);
};

class syn_queue
{
public:
    explicit syn_queue(syn_queue_settings settings = {}) : settings_(settings)
    {
    }

    enum class step : std::uint8_t
    {
        pass, // pass the SYN to the backend server
        wait, // keep the SYN until take_ready() returns its flow
        refuse
    };

    void set_slots(std::uint32_t slots)
    {
        slots_ = std::max(1U, slots);
    }

    // Handles a SYN or a copy of it. `in_flight` is the number of requests that
    // await an answer and are the first of their flows: the queue can't hold
    // back the others.
    step on_syn(flow_packet const& packet, std::uint32_t in_flight,
                time_point now);

    // The handshake of a flow has ended: its request arrived, or it was closed
    // or refused.
    void on_handshake_end(flow_key const& flow);

    // Removes and returns the flows whose SYNs are to be passed now, the newest
    // first.
    std::vector<flow_key> take_ready(std::uint32_t in_flight, time_point now);

    // Removes and returns the flows whose callers have given up the attempt.
    std::vector<flow_key> take_expired(time_point now);

    // Removes and returns all waiting flows.
    std::vector<flow_key> take_all();

    // Forgets the handshakes with a former run of the backend server.
    void clear_handshakes();

    bool contains(flow_key const& flow) const
    {
        return expires_at_.contains(flow);
    }

    // Flows that wait here or whose handshake takes place.
    std::size_t pending() const
    {
        return expires_at_.size() + handshakes_.size();
    }

    std::size_t waiting() const
    {
        return expires_at_.size();
    }

private:
    bool has_room(std::uint32_t in_flight) const;
    void begin_handshake(flow_key const& flow, time_point now);
    void forget_old_handshakes(time_point now);
    duration remaining_time(flow_packet const& packet) const;

    syn_queue_settings settings_;
    std::uint32_t slots_ = 1;
    std::deque<flow_key> order_; // of arrival; may hold flows that were removed
    // Waiting flows, and when the caller gives up the attempt.
    std::unordered_map<flow_key, time_point, flow_hash> expires_at_;
    // Flows whose SYN was passed, and when they count no longer.
    std::unordered_map<flow_key, time_point, flow_hash> handshakes_;
};

} // namespace daisytrail
