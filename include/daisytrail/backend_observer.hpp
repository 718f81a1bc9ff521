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
    duration flow_idle_ = std::chrono::seconds(310);
    // Until the backend server has the end of a flow that both ends closed.
    duration ended_memory_ = std::chrono::seconds(5);
    duration request_timeout_ = std::chrono::seconds(10); // no longer counted
    duration smoothing_ = std::chrono::seconds(1); // of requests under way
    // A request without an answer for this long counts as failed.
    duration hang_time_ = std::chrono::seconds(2);
    duration failure_memory_ = std::chrono::seconds(4);
    // A SYN is answered at once by a backend server that runs.
    duration syn_silence_ = std::chrono::milliseconds(150);
    // A SYN's copy that brings no SYN+ACK for this long was for an open flow.
    duration syn_answer_time_ = std::chrono::seconds(1);
    duration data_silence_ = std::chrono::seconds(1);
    // After this long and this many SYNs without any packet from it, it holds
    // no flows that anyone waits for.
    std::uint32_t stopped_syns_ = 3;
    duration stopped_silence_ = std::chrono::milliseconds(1'200);
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
    bool is_undecided(flow_packet const& packet, time_point now) const;

    // True if the backend server has been offered the flow and the caller
    // hasn't acknowledged that here.
    bool is_half_open(flow_key const& key) const
    {
        return find_half_open(key) != nullptr;
    }

    // Whether the backend server holds the flow, as far as packets have shown.
    flow_holding holding(flow_key const& key) const;

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
    bool is_dark(time_point now) const;

    // True if it has not answered SYNs for so long that it must have stopped.
    bool is_stopped(time_point now) const;

    // Another run of the backend server has begun; it holds no flows of before.
    // With `is_complete`, all that it holds has come by here.
    void on_new_run(bool is_complete);

    // The same, but since its start it may have taken flows that came by here.
    void on_restart();

    std::uint32_t under_way() const
    {
        return under_way_;
    }

    std::size_t open_flows() const
    {
        return open_flows_;
    }

    // Sets all but share_ and accepts_.
    backend_load report(time_point now);

private:
    enum class flow_state : std::uint8_t
    {
        unclear,   // first seen in its midst
        half_open, // from its SYN on; not acknowledged by the caller
        open       // acknowledged by the caller, or served
    };

    struct flow
    {
        flow_state state_ = flow_state::unclear;
        // An earlier process may have passed a SYN+ACK of a half-open flow.
        bool may_be_older_ = false;
        // Sequence numbers of the SYN+ACKs of a half-open flow.
        std::vector<std::uint32_t> offered_;
        time_point opened_{}; // when the first SYN was passed
        std::optional<std::uint32_t> syn_sequence_; // empty if not seen
        // Both ends closed the flow or the caller reset it, but the backend
        // server may not have heard of it.
        bool has_ended_ = false;
        std::uint32_t next_sequence_ = 0; // after the caller's last data
        bool has_data_ = false;
        bool awaits_answer_ = false;
        bool caller_finished_ = false; // sent a FIN
        bool backend_finished_ = false;
        bool has_failed_ = false; // counted as failed already
        time_point asked_{};      // meaningful while awaits_answer_
        // Requests for each slot when this one came, itself among them.
        double crowding_ = 1;
        time_point seen_{};
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_hash>;

    static bool acknowledges(flow_packet const& packet, flow const& value);
    flow const* find_half_open(flow_key const& key) const;
    void begin(flow& value, bool may_be_older, time_point now);
    void note_syn(flow& value, flow_packet const& packet, time_point now);
    void close(flow& value);
    void note_offer(flow_packet const& packet, time_point now);
    void note_acknowledgement(flow& value, flow_packet const& packet);
    flow_map::iterator find_or_add(flow_packet const& packet, time_point now);
    flow_map::iterator add(flow_key const& key);
    flow_map::iterator erase(flow_map::iterator at);
    void answered();
    void watch(time_point now);
    void forget_load();
    void end_request(flow& value);
    void smooth(time_point now);
    void note_answer(flow& value, double took);
    void note_outcome(flow& value, bool failed);

    backend_observer_settings settings_;
    flow_map flows_;
    // flows_ has all that the backend server may hold.
    bool is_complete_ = false;
    // Since when all of its packets were noted; empty until the next tick.
    std::optional<time_point> watched_since_;
    std::uint32_t open_flows_ = 0; // flows with data
    std::uint32_t slots_ = 1;
    std::uint32_t under_way_ = 0; // flows that await an answer
    double mean_under_way_ = 0;
    double failure_share_ = 0;   // of the latest requests; fades with time
    double service_seconds_ = 0; // smoothed; 0 before the first answer
    time_point smoothed_{};
    time_point swept_{};
    // First SYN or data since the backend server last sent anything.
    std::optional<time_point> syn_unanswered_;
    std::uint32_t syns_unanswered_ = 0;
    std::optional<time_point> data_unanswered_;
};

} // namespace daisytrail
