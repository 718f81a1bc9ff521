// Flow ownership in an agent: decides which packets the agent delivers, which
// it forwards to another agent and when it resets an unknown flow. The code
// does no I/O; callers pass the time in and carry out the returned actions.
//
// The heads of a flow are its first-ranked member and its first-ranked member
// that takes new work. The owner of a flow notifies the heads, so that a head
// knows every flow that another member owns. An owner that is the first-ranked
// member also notifies the second-ranked member, so that another member knows
// the flows of the owner if the owner dies.
#pragma once

#include <daisytrail/flow_sync.hpp>
#include <daisytrail/forwarding.hpp>
#include <daisytrail/packet.hpp>
#include <daisytrail/record.hpp>
#include <daisytrail/tunnel.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisytrail
{

struct flow_options
{
    target_id self_ = 0;
    service_id service_ = 0;
    incarnation start_incarnation_ = 0; // when the process started
    std::uint32_t max_open_flows_ = 2'000;
    std::uint32_t max_half_open_flows_ = 256;
};

enum class flow_verdict : std::uint8_t
{
    deliver, // hand the packet to this agent's TCP stack
    forward, // send the packet to another agent
    reset,   // answer the packet with write_reset()
    drop,
    count
};

// A half-open flow that was evicted or timed out. The caller of the flow table
// frees the TCP state of the flow.
struct evicted_flow
{
    flow_key flow_;
    std::uint32_t sequence_ = 0; // next sequence number from the caller
};

struct flow_decision
{
    flow_verdict verdict_ = flow_verdict::drop;
    drop_reason drop_ = drop_reason::none; // set for drop
    tunnel_header header_;                 // set for forward
    endpoint next_hop_;                    // set for forward
};

// Actions that are due at a tick.
struct flow_output
{
    struct addressed_batch
    {
        endpoint to_;
        flow_batch batch_;
    };

    std::vector<addressed_batch> batches_;
    std::vector<flow_acknowledgement> reports_; // number of open flows
    std::vector<flow_key> probes_;              // for write_probes()
    std::vector<evicted_flow> evicted_;
};

// Writes the TCP reset that answers a packet. Returns the length of the reset
// in bytes, or 0 if the packet is itself a reset. `buffer` must hold 40 bytes.
std::size_t write_reset(std::span<std::byte> buffer, packet_info const& info);

// Writes two bare acknowledgements of 40 bytes each for a flow whose owner is
// dead. At least one of the two is outside the caller's receive window, so the
// caller answers with its exact sequence numbers.
std::array<std::array<std::byte, 40>, 2> write_probes(flow_key const& flow);

class flow_table
{
public:
    explicit flow_table(flow_options const& options);

    void set_limits(std::uint32_t max_open_flows,
                    std::uint32_t max_half_open_flows);

    // Replaces the view of the members of this agent's service.
    void set_view(std::span<target_record const> records, time_point now);

    // Decides what to do with one packet that is addressed to this agent.
    flow_decision decide(tunnel_header const& header, packet_info const& info,
                         time_point now);

    // Records that the handshake of a flow of this agent is complete.
    void on_established(flow_key const& flow, time_point now);

    // Records that a flow of this agent has ended. Late packets of the flow are
    // still delivered for a limited time.
    void on_ended(flow_key const& flow, time_point now);

    // Applies a batch from a peer and returns its acknowledgement.
    flow_acknowledgement on_batch(flow_batch const& batch, time_point now);
    void on_acknowledgement(flow_acknowledgement const& answer, time_point now);

    // Returns the actions that are due. To be called every few tens of
    // milliseconds.
    flow_output tick(time_point now);

    bool owns(flow_key const& flow) const;

    // Number of open flows, half-open flows included.
    std::size_t open_flows() const
    {
        return open_count_;
    }

    std::size_t half_open_flows() const
    {
        return half_open_count_;
    }

    std::size_t forwarding_entries() const
    {
        return forwarding_entries_.size();
    }

    // True if each live peer has reported all flows that this agent has to
    // know. In large services this is assumed some time after a view change.
    bool has_all_peer_flows(time_point now) const;

    // Tunnel endpoint of a peer; an empty endpoint if the peer is unknown.
    endpoint peer_endpoint(target_id peer) const;

private:
    enum class phase : std::uint8_t
    {
        half_open,
        established,
        ended,
        count
    };

    static constexpr std::size_t max_notified_peers = 3;

    // Peers that the owner of a flow notifies; unused elements are 0.
    using notified_peers = std::array<target_id, max_notified_peers>;

    struct owned_flow
    {
        phase phase_ = phase::half_open;
        time_point phase_since_{};   // when phase_ began
        std::uint32_t sequence_ = 0; // expected after the SYN
        notified_peers notified_peers_{};
        // Peers that an earlier view required to be notified. They keep their
        // forwarding entries for a while, since balancers may still use the
        // earlier view and the new heads may not know the flow yet.
        notified_peers retiring_peers_{};
        time_point last_retired_at_{};
    };

    // The number of open flows that a peer reported, and the number of this
    // agent at the time of the report, so that counts of the same moment are
    // compared.
    struct load_report
    {
        std::uint32_t open_count_ = 0; // plus flows placed there since
        std::uint32_t own_open_flows_ = 0;
        time_point received_at_{};
    };

    struct peer
    {
        endpoint tunnel_;
        incarnation incarnation_ = 0;
        member_state state_ = member_state::dead;
        flow_outbox outbox_;
        flow_inbox inbox_;
        std::uint32_t weight_ = 1;
        load_report load_;
        // Flows that the peer reported as its own. While the peer is live, they
        // are also in forwarding_entries_.
        std::unordered_set<flow_key, flow_hash> flows_;
    };

    // The member that is expected to open a flow whose SYN this agent denied.
    struct syn_redirect
    {
        candidate to_;
        time_point expires_{};
    };

    struct probe
    {
        flow_key flow_;
        unsigned attempt_ = 0;
        time_point due_at_{};
    };

    struct timed_flow
    {
        flow_key flow_;
        time_point since_{};
    };

    flow_decision decide_open(tunnel_header header, packet_info const& info,
                              time_point now);
    flow_decision decide_unknown(tunnel_header header, packet_info const& info,
                                 time_point now);
    flow_decision open_here_or_elsewhere(tunnel_header const& header,
                                         packet_info const& info,
                                         time_point now);
    flow_decision open_on_next_candidate(tunnel_header header,
                                         flow_key const& flow, time_point now);
    flow_decision open_on(tunnel_header header, flow_key const& flow,
                          candidate const& to, time_point now);
    candidate const* less_loaded_candidate(ranked_candidates const& value,
                                           time_point now) const;
    void record_load(peer& value, std::uint32_t open, time_point now) const;
    void report_load(time_point now, flow_output& output);
    flow_acknowledgement make_acknowledgement(target_id to,
                                              peer const& value) const;
    flow_decision forward_to(tunnel_header header, candidate const& to) const;
    bool make_room(time_point now);
    void open(packet_info const& info, time_point now);

    member_state state_of(candidate const& value) const;
    bool is_live(candidate const& value) const;
    bool is_self(candidate const& value) const;
    bool is_denied_by_all(tunnel_header const& header) const;
    bool is_denied_by_self(tunnel_header const& header) const;
    bool has_in_view(ranked_candidates const& value) const;
    void add_own_denial(tunnel_header& header) const;
    void insert_candidate(tunnel_header& header, candidate const& value) const;
    candidate const* next_undenied(tunnel_header const& header) const;
    candidate const* first_accepting(ranked_candidates const& value) const;
    candidate const* default_owner_of(tunnel_header const& header) const;
    candidate const* find(target_id target) const;
    candidate const* find_owner(flow_key const& flow) const;
    candidate const* find_syn_redirect(flow_key const& flow,
                                       time_point now) const;
    void record_syn_redirect(flow_key const& flow, candidate const& to,
                             time_point now);

    notified_peers peers_to_notify(flow_key const& flow) const;
    void push(target_id target, flow_key const& flow, bool removed);
    void notify_peers(flow_key const& flow, owned_flow& state, time_point now);
    void withdraw_flow(flow_key const& flow, owned_flow& state);
    void retire_peer(flow_key const& flow, owned_flow& state, target_id target);
    void finish_retirements(time_point now);
    void update_peers(std::span<target_record const> records, time_point now);
    void restart_outbox(target_id id, peer& value, incarnation epoch);
    void erase_forwarding_entries(target_id id, peer const& value);
    void restore_forwarding_entries(target_id id, peer const& value);
    void remove_peer_flows(target_id id, peer const& value, time_point now);
    void apply(target_id from, peer& value, flow_change const& change);
    void expire(time_point now, flow_output& output);
    void expire_half_open(time_point now, flow_output& output);
    void erase_ended_flows(time_point now);
    void collect_probes(time_point now, flow_output& output);

    flow_options options_;
    service_table table_{{}};
    std::uint32_t weight_ = 1; // weight of this agent
    time_point last_report_at_{};
    target_id last_report_to_ = 0;   // peer that got the last load report
    std::uint64_t stream_count_ = 0; // streams begun so far, to all peers
    std::uint64_t view_hash_ = 0;    // hash of the live members
    time_point view_changed_at_{};
    std::map<target_id, peer> peers_; // without the agent itself
    std::unordered_map<flow_key, owned_flow, flow_hash> flows_;
    std::size_t open_count_ = 0;      // elements of flows_ not ended
    std::size_t half_open_count_ = 0; // at most options_.max_half_open_flows_
    std::deque<timed_flow> half_open_queue_;  // oldest first; may be stale
    std::deque<timed_flow> ended_queue_;      // oldest first; may be stale
    std::deque<timed_flow> retirement_queue_; // oldest first; may be stale
    std::vector<evicted_flow> evicted_;       // evicted since the last tick
    // Owners of the flows that live peers own; each value is a key of peers_.
    std::unordered_map<flow_key, target_id, flow_hash> forwarding_entries_;
    std::unordered_map<flow_key, syn_redirect, flow_hash> syn_redirects_;
    std::deque<probe> probes_; // unordered
};

} // namespace daisytrail
