// What an agent learns of its backend server from the heads of the packets
// that it passes: requests under way, time to answer, and whether it answers
// at all. Never from the packets' data.
#pragma once

#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

struct backend_observer_settings
{
    std::size_t max_flows_ = 20'000; // more are passed but not observed
    // Longer than an idle flow is kept by either end.
    duration flow_idle_timeout_ = std::chrono::seconds(310);
    // Until the backend server has the end of a flow that both ends closed.
    duration closed_flow_retention_ = std::chrono::seconds(5);
    duration request_timeout_ = std::chrono::seconds(10); // no longer counted
    duration smoothing_time_ = std::chrono::seconds(1); // of requests under way
    // A request without an answer for this long counts as failed.
    duration hang_timeout_ = std::chrono::seconds(2);
    duration failure_decay_time_ = std::chrono::seconds(4);
    // A SYN is answered at once by a backend server that runs.
    duration syn_timeout_ = std::chrono::milliseconds(150);
    // A SYN's copy that brings no SYN+ACK for this long was for an open flow.
    duration syn_ack_timeout_ = std::chrono::seconds(1);
    duration data_timeout_ = std::chrono::seconds(1);
    // After this long and this many SYNs without any packet from it, it holds
    // no flows that anyone waits for.
    std::uint32_t min_stopped_syns_ = 3;
    duration stopped_timeout_ = std::chrono::milliseconds(1'200);
};

class backend_observer
{
public:
    explicit backend_observer(backend_observer_settings settings = {});

    // Requests that the backend server runs at the same time.
    void set_slots(std::uint32_t slots)
    {
        slots_ = std::max(1U, slots);
    }

    // True if the caller's packet belongs to a flow that it opened with another
    // backend server: what it acknowledges isn't a SYN+ACK from here.
    bool is_opened_elsewhere(flow_packet const& packet) const;

    // True if an earlier process of the agent may have passed the SYN+ACK that
    // the packet acknowledges: the backend server soon repeats it.
    bool is_ownership_undetermined(flow_packet const& packet,
                                   time_point now) const;

    // True if the backend server has been offered the flow and the caller
    // hasn't acknowledged that here.
    bool is_half_open(flow_key const& key) const
    {
        return find_half_open(key) != nullptr;
    }

    // Whether the backend server holds the flow, as far as packets have shown.
    flow_ownership ownership(flow_key const& key) const;

    // A packet was passed to the backend server.
    void on_caller_packet(flow_packet const& packet, time_point now);

    // The backend server sent a packet to a caller; returns the time to answer
    // if this is the first of an answer.
    std::optional<duration> on_backend_packet(flow_packet const& packet,
                                              time_point now);

    // The backend server returned a packet.
    void on_returned(flow_packet const& packet, time_point now);

    void tick(time_point now);

    // True if it doesn't answer, so that new flows should go elsewhere.
    bool is_unresponsive(time_point now) const;

    // True if it has not answered SYNs for so long that it must have stopped.
    bool is_presumed_stopped(time_point now) const;

    // Another run of the backend server has begun; it holds no flows of before.
    // With `saw_all_packets`, all that it holds has come by here.
    void on_new_run(bool saw_all_packets);

    // The same, but since its start it may have taken flows that came by here.
    void on_restart();

    std::uint32_t in_flight() const
    {
        return in_flight_;
    }

    std::size_t open_flows() const
    {
        return open_flows_;
    }

    // Sets all but speed_percent_ and accepts_.
    backend_load report(time_point now);

private:
    enum class flow_state : std::uint8_t
    {
        unknown,   // first seen in its midst
        half_open, // from its SYN on; not acknowledged by the caller
        open       // acknowledged by the caller, or served
    };

    struct flow
    {
        flow_state state_ = flow_state::unknown;
        // An earlier process may have passed a SYN+ACK of a half-open flow.
        bool may_predate_agent_ = false;
        // Sequence numbers of the SYN+ACKs of a half-open flow.
        std::vector<std::uint32_t> syn_ack_sequences_;
        time_point opened_at_{}; // when the first SYN was passed
        std::optional<std::uint32_t> syn_sequence_; // empty if not seen
        // Both ends closed the flow or the caller reset it, but the backend
        // server may not have heard of it.
        bool has_ended_ = false;
        std::uint32_t next_sequence_ = 0; // after the caller's last data
        bool has_data_ = false;
        bool awaits_answer_ = false;
        bool caller_finished_ = false; // sent a FIN
        bool backend_finished_ = false;
        bool is_counted_as_failed_ = false; // counted as failed already
        time_point requested_at_{};         // meaningful while awaits_answer_
        // Requests for each slot when this one came, itself among them.
        double requests_per_slot_ = 1;
        time_point last_seen_at_{};
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_hash>;

    static bool acknowledges_syn_ack(flow_packet const& packet,
                                     flow const& value);
    flow const* find_half_open(flow_key const& key) const;
    void begin_half_open(flow& value, bool may_predate_agent, time_point now);
    void record_syn(flow& value, flow_packet const& packet, time_point now);
    void close_flow(flow& value);
    void record_syn_ack(flow_packet const& packet, time_point now);
    void record_acknowledgement(flow& value, flow_packet const& packet);
    flow_map::iterator find_or_add(flow_packet const& packet, time_point now);
    flow_map::iterator add(flow_key const& key);
    flow_map::iterator erase(flow_map::iterator at);
    void reset_unanswered();
    void update_flow_knowledge(time_point now);
    void reset_load();
    void end_request(flow& value);
    void update_averages(time_point now);
    void record_answer(flow& value, double answer_time);
    void record_outcome(flow& value, bool failed);

    backend_observer_settings settings_;
    flow_map flows_;
    // flows_ has all that the backend server may hold.
    bool knows_all_flows_ = false;
    // Since when all of its packets were noted; empty until the next tick.
    std::optional<time_point> tracking_since_;
    std::uint32_t open_flows_ = 0; // flows with data
    std::uint32_t slots_ = 1;
    std::uint32_t in_flight_ = 0; // flows that await an answer
    double mean_in_flight_ = 0;
    double failure_ratio_ = 0;   // of the latest requests; fades with time
    double service_seconds_ = 0; // smoothed; 0 before the first answer
    time_point averaged_at_{};
    time_point swept_at_{};
    // First SYN or data since the backend server last sent anything.
    std::optional<time_point> unanswered_syn_at_;
    std::uint32_t unanswered_syn_count_ = 0;
    std::optional<time_point> unanswered_data_at_;
};

} // namespace daisytrail
