// The two ends of the platform's flows, without sockets and clock: a caller
// that opens one flow and keeps it busy, and a backend server that holds flows.
#pragma once

#include "support/trial_messages.hpp"

#include <daisytrail/packet_format.hpp>

#include <map>
#include <random>
#include <set>

namespace daisytrail
{

class flow_backend
{
public:
    struct outcome
    {
        std::vector<packet_bytes> answers_;
        bool has_opened_ = false;
        bool is_handshake_ = false; // the answer may be late
    };

    // Every sequence number of its own has the server's number on top.
    explicit flow_backend(int number);

    outcome on_packet(std::span<std::byte const> bytes,
                      flow_packet const& packet, time_point now);

    // The server that sent a reset.
    static int reset_sender(flow_packet const& packet);

private:
    struct backend_flow
    {
        std::uint32_t server_sequence_ = 0; // of the SYN+ACK
        std::uint32_t sent_bytes_ = 0;      // bytes since
        std::uint32_t expected_sequence_ =
            0; // next sequence number of the caller
        bool is_open_ = false;
        time_point started_at_{};
    };

    outcome on_syn(flow_packet const& packet, time_point now);
    outcome on_ended(flow_packet const& packet) const;
    packet_bytes reset(flow_packet const& packet) const;

    std::uint32_t next_sequence_;
    std::map<flow_key, backend_flow> flows_;
    std::set<flow_key> ended_flows_;
};

enum class caller_state : std::uint8_t
{
    opening,
    open,
    closing,    // a FIN was sent
    closed,     // and answered
    reset,      // once open
    refused,    // before
    unanswered, // no answer to the SYN and its copies
    timed_out,  // no answer once open
    count
};

class flow_caller
{
public:
    flow_caller(endpoint const& source, endpoint const& vip, std::uint64_t seed,
                time_point now);

    // Packets that are due.
    std::vector<packet_bytes> tick(time_point now);

    std::vector<packet_bytes> on_packet(flow_packet const& packet,
                                        time_point now);

    caller_state state() const
    {
        return state_;
    }

    bool has_ended() const
    {
        return state_ > caller_state::closing;
    }

private:
    std::vector<packet_bytes> open(time_point now);
    std::vector<packet_bytes> retransmit(time_point now);
    std::vector<packet_bytes> unacknowledged() const;
    void schedule_retransmission(time_point now);
    packet_bytes packet(std::uint8_t flags, std::uint32_t sequence,
                        std::uint32_t data_bytes = 0) const;
    duration draw(std::chrono::milliseconds shortest,
                  std::chrono::milliseconds longest);

    endpoint source_;
    endpoint vip_;
    std::mt19937_64 random_;
    caller_state state_ = caller_state::opening;
    time_point started_at_;
    time_point
        next_action_at_;  // action, or retransmission while an answer is owed
    time_point close_at_; // when the flow has lived long enough
    duration retransmission_timeout_{};
    std::uint32_t attempts_ = 0;  // SYNs, then retransmissions in a row
    std::uint32_t sequence_ = 0;  // of the SYN
    std::uint32_t send_next_ = 0; // next sequence number
    std::uint32_t send_unacknowledged_ = 0; // by the backend server
    std::uint32_t receive_next_ = 0;        // next one of the backend server
};

} // namespace daisytrail
