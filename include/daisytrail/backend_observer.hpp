// Passive monitoring of a backend server by its agent: derives the open flows,
// the requests in flight, the time to answer and the responsiveness from the
// headers of the packets that pass. Never reads the packets' payload.
#pragma once

#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

struct backend_observer_settings
{
    // Packets of flows beyond this limit are passed but not observed.
    std::size_t max_flows_ = 20'000;
    // An idle flow is forgotten after this time, which is longer than caller
    // and backend server keep one.
    duration flow_idle_timeout_ = max_flow_idle_time;
    // Caller and backend server don't rely on an older flow that has been idle
    // since the agent's start.
    duration flow_lifetime_ = max_flow_idle_time;
    // Longer than a caller goes on trying to open a flow. All SYNs of a later
    // attempt pass through this process.
    duration opening_time_ = std::chrono::seconds(3);
    // A lost packet of a flow is retransmitted within this time.
    duration retransmission_time_ = std::chrono::seconds(2);
    // A longer gap between two ticks means that this process was paused.
    duration pause_threshold_ = std::chrono::seconds(1);
    // How long a flow that both ends closed is remembered: retransmissions of
    // its last packets may still have to reach the backend server.
    duration closed_flow_retention_ = std::chrono::seconds(5);
    // An unanswered request is no longer counted as in flight after this time.
    duration request_timeout_ = std::chrono::seconds(10);
    // An opening request that has been unanswered for longer isn't counted: its
    // answer was lost or its caller has given up, or it waits for its body.
    duration overdue_time_ = std::chrono::seconds(1);
    // Time constant of the moving average of requests in flight.
    duration smoothing_time_ = std::chrono::seconds(1);
    // An unanswered request counts as failed after this time.
    duration hang_timeout_ = std::chrono::seconds(2);
    // Time constant with which the failure ratio decays.
    duration failure_decay_time_ = std::chrono::seconds(4);
    // The backend server is unresponsive if a SYN is unanswered for this long;
    // a running backend server answers a SYN at once.
    duration syn_timeout_ = std::chrono::milliseconds(150);
    // A retransmitted SYN that causes no SYN+ACK within this time belongs to a
    // flow that the backend server has already opened.
    duration syn_ack_timeout_ = std::chrono::seconds(1);
    // The backend server is unresponsive if it sends no packet at all for this
    // long after it got data.
    duration data_timeout_ = std::chrono::seconds(1);
    // The backend server is presumed stopped if it sent no packet for
    // stopped_timeout_ since the first of at least min_stopped_syns_ SYNs: by
    // then no caller waits for a flow that it holds.
    std::uint32_t min_stopped_syns_ = 3;
    duration stopped_timeout_ = std::chrono::milliseconds(1'200);
};

class backend_observer
{
public:
    explicit backend_observer(backend_observer_settings settings = {});

    // Sets the number of requests that the backend server runs concurrently.
    void set_slots(std::uint32_t slots)
    {
        slots_ = std::max(1U, slots);
    }

    // True if the caller opened the packet's flow with another backend server:
    // the packet acknowledges a SYN+ACK that this backend server didn't send.
    bool is_opened_elsewhere(flow_packet const& packet) const;

    // True if an earlier process of the agent may have passed the SYN+ACK that
    // the packet acknowledges. The backend server soon retransmits that
    // SYN+ACK, which then decides the question.
    bool is_ownership_undetermined(flow_packet const& packet,
                                   time_point now) const;

    // True if a SYN or SYN+ACK of the flow was passed and the caller hasn't
    // acknowledged a SYN+ACK through this agent.
    bool is_half_open(flow_key const& key) const
    {
        return find_half_open(key) != nullptr;
    }

    // Whether the backend server holds the flow, as far as the packets prove.
    flow_ownership ownership(flow_key const& key) const;

    // The same if flows that have been idle for longer than `idle_limit` may be
    // denied; 0: idle flows may not.
    flow_ownership ownership(flow_key const& key, duration idle_limit,
                             time_point now) const;

    // True if packets of the flow were observed and aren't forgotten.
    bool has_observed(flow_key const& key) const
    {
        return flows_.contains(key);
    }

    // Packets of the backend server's flows may have been lost before they
    // reached this process.
    void on_interruption(time_point now)
    {
        observing_since_ = now;
    }

    // Records a caller's packet that was passed to the backend server.
    void on_caller_packet(flow_packet const& packet, time_point now);

    // Records a packet from the backend server to a caller. Returns the time to
    // answer if the packet is the first one of an answer.
    std::optional<duration> on_backend_packet(flow_packet const& packet,
                                              time_point now);

    // Records a packet that the backend server returned because it doesn't hold
    // the packet's flow.
    void on_returned(flow_packet const& packet, time_point now);

    void tick(time_point now);

    // True if the backend server doesn't answer, so that new flows should be
    // placed on other targets.
    bool is_unresponsive(time_point now) const;

    // True if the backend server left so many SYNs unanswered for so long that
    // it has presumably stopped.
    bool is_presumed_stopped(time_point now) const;

    // A new run of the backend server has announced itself. It holds no flows
    // of the previous run, but may have opened some of the observed flows
    // before its first announcement.
    void on_new_run();

    // True if every flow that the backend server may hold has been observed.
    // Only the time for which this process has observed all packets shows that.
    // An announcement doesn't: it doesn't tell which flows its run took before,
    // through an earlier process of the agent.
    bool knows_all_flows() const
    {
        return knows_all_flows_;
    }

    std::uint32_t in_flight() const
    {
        return in_flight_;
    }

    // Requests in flight that are the first of their flows and aren't overdue.
    std::uint32_t opening_requests(time_point now);

    std::size_t open_flows() const
    {
        return open_flows_;
    }

    // Fills in all members but speed_percent_ and accepts_.
    backend_load report(time_point now);

private:
    enum class flow_state : std::uint8_t
    {
        unknown,   // first seen midstream, or its SYNs and ACKs don't match
        half_open, // SYN seen, no acknowledgement by the caller yet
        open       // acknowledged by the caller or served by the backend server
    };

    struct flow
    {
        flow_state state_ = flow_state::unknown;
        // An earlier process of the agent may have passed a SYN+ACK of the
        // half-open flow.
        bool may_predate_agent_ = false;
        // Sequence numbers of all SYN+ACKs of the half-open flow.
        std::vector<std::uint32_t> syn_ack_sequences_;
        time_point opened_at_{}; // when the first SYN was passed
        std::optional<std::uint32_t> syn_sequence_; // empty if no SYN was seen
        // Both ends closed the flow or the caller reset it. The packet that
        // ends the flow may not have reached the backend server.
        bool has_ended_ = false;
        std::uint32_t next_sequence_ = 0; // follows the caller's last data
        bool has_data_ = false;
        bool awaits_answer_ = false;
        bool caller_finished_ = false; // the caller sent a FIN
        bool backend_finished_ = false;
        bool is_counted_as_failed_ = false;
        time_point requested_at_{}; // meaningful while awaits_answer_
        bool has_answer_ = false;   // an answer was seen on the flow
        // The request in flight is counted in opening_requests_.
        bool is_opening_request_ = false;
        // Requests in flight per slot when the current request arrived,
        // including that request; at least 1.
        double requests_per_slot_ = 1;
        time_point last_seen_at_{};
    };

    struct request_start
    {
        flow_key flow_;
        time_point at_{};
    };

    using flow_map = std::unordered_map<flow_key, flow, flow_hash>;

    static bool acknowledges_syn_ack(flow_packet const& packet,
                                     flow const& value);
    flow const* find_half_open(flow_key const& key) const;
    void begin_half_open(flow& value, bool may_predate_agent, time_point now);
    bool may_follow_earlier_syn(time_point now) const;
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
    void begin_opening(flow& value, flow_key const& key, time_point now);
    void end_opening(flow& value);
    void update_averages(time_point now);
    void record_answer(flow& value, duration answer_time);
    void record_outcome(flow& value, bool failed);

    backend_observer_settings settings_;
    flow_map flows_;
    // True if flows_ contains every flow that the backend server may hold.
    bool knows_all_flows_ = false;
    // Start of the period in which all packets of the backend server were
    // recorded, whichever of its runs they went to; empty until the next tick.
    std::optional<time_point> tracking_since_;
    // Start of the period without a pause or an interruption; empty until the
    // next tick.
    std::optional<time_point> observing_since_;
    time_point ticked_at_{};
    std::uint32_t open_flows_ = 0; // flows in which the caller sent data
    std::uint32_t slots_ = 1;
    std::uint32_t in_flight_ = 0; // flows that await an answer
    std::uint32_t opening_requests_ = 0;
    // Starts of opening requests, the oldest first; may hold answered ones.
    std::deque<request_start> opening_starts_;
    double mean_in_flight_ = 0;
    double failure_ratio_ = 0;   // of recent requests; decays over time
    double service_seconds_ = 0; // moving average; 0 before the first answer
    time_point averaged_at_{};
    time_point swept_at_{};
    // Time of the first SYN and the first data since the last packet from the
    // backend server; empty if none has been passed since.
    std::optional<time_point> unanswered_syn_at_;
    std::uint32_t unanswered_syn_count_ = 0;
    std::optional<time_point> unanswered_data_at_;
};

} // namespace daisytrail
