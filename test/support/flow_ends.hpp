// The two ends of a flow on the platform, without sockets or a clock: a caller
// that opens one flow and sends data in it, and a backend server that accepts
// flows and answers.
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
        bool is_handshake_ = false; // a SYN+ACK, which a trial may delay
    };

    // The top byte of the server's sequence numbers is `number`, so that
    // reset_sender() can identify the server.
    explicit flow_backend(int number);

    outcome on_packet(std::span<std::byte const> bytes,
                      flow_packet const& packet, time_point now);

    // Returns the number of the server that sent a reset.
    static int reset_sender(flow_packet const& packet);

private:
    struct backend_flow
    {
        std::uint32_t server_sequence_ = 0; // of the SYN+ACK
        std::uint32_t sent_bytes_ = 0;      // after the SYN+ACK
        // Next sequence number of the caller.
        std::uint32_t expected_sequence_ = 0;
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
    closed,     // the FIN was answered
    reset,      // reset after the handshake
    refused,    // reset before the handshake completed
    unanswered, // no answer to any SYN
    timed_out,  // no answer to the retransmissions
    count
};

class flow_caller
{
public:
    flow_caller(endpoint const& source, endpoint const& vip, std::uint64_t seed,
                time_point now);

    // Returns the packets to send now.
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
    // Next action, or next retransmission while packets are unacknowledged.
    time_point next_action_at_;
    time_point close_at_; // the caller sends its FIN
    duration retransmission_timeout_{};
    std::uint32_t attempts_ = 0;  // SYNs, then consecutive retransmissions
    std::uint32_t sequence_ = 0;  // of the SYN
    std::uint32_t send_next_ = 0; // sequence number of the next byte
    std::uint32_t send_unacknowledged_ = 0; // oldest unacknowledged byte
    std::uint32_t receive_next_ = 0; // next sequence number of the server
};

} // namespace daisytrail
