// Ownership of flows in an agent: which packets it takes, which it passes on
// and to whom, and when an unknown flow is reset. No input or output; time
// comes in as an argument and typed actions come out.
//
// The heads of a flow are its first-ranked member and the first one that takes
// new work. An owner tells the heads of its flows, and the second-ranked member
// if it is a head itself, so that a head knows every flow that is owned
// elsewhere and a survivor knows the flows of a dead owner.
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
    incarnation epoch_ = 0; // incarnation at the start of the process
    std::uint32_t max_open_flows_ = 2'000;
    std::uint32_t max_half_open_flows_ = 256;
};

enum class flow_verdict : std::uint8_t
{
    deliver, // to the own TCP stack
    pass,    // to another agent
    reset,   // answer with write_reset()
    drop,
    count
};

// A half-open flow whose place was given away; its TCP state is to be freed.
struct evicted_flow
{
    flow_key flow_;
    std::uint32_t sequence_ = 0; // next one expected from the caller
};

struct flow_decision
{
    flow_verdict verdict_ = flow_verdict::drop;
    drop_reason drop_ = drop_reason::none; // only for drop
    tunnel_header header_;                 // only for pass
    endpoint next_hop_;                    // only for pass
};

// Datagrams, probes and evictions that are due.
struct flow_output
{
    struct addressed_batch
    {
        endpoint to_;
        flow_batch batch_;
    };

    std::vector<addressed_batch> batches_;
    std::vector<flow_acknowledgement> reports_; // of the open flows
    std::vector<flow_key> probes_;              // see write_probes()
    std::vector<evicted_flow> evicted_;
};

// Writes the reset that answers a packet; returns its bytes, or 0 if the packet
// is a reset itself. `buffer` must hold 40 bytes.
std::size_t write_reset(std::span<std::byte> buffer, packet_info const& info);

// Writes bare acknowledgements for a dead owner's flow: at least one of them is
// out of the caller's window, so that the caller answers with its exact
// sequence numbers. Each packet has 40 bytes.
std::array<std::array<std::byte, 40>, 2> write_probes(flow_key const& flow);

class flow_table
{
public:
    explicit flow_table(flow_options const& options);

    void set_limits(std::uint32_t max_open_flows,
                    std::uint32_t max_half_open_flows);

    // Takes over the records of the own service.
    void set_view(std::span<target_record const> records, time_point now);

    // Decides on one packet addressed to this agent.
    flow_decision decide(tunnel_header const& header, packet_info const& info,
                         time_point now);

    // The handshake of an own flow has ended.
    void on_established(flow_key const& flow, time_point now);

    // An own flow has ended; late packets of it are still delivered for a
    // while.
    void on_ended(flow_key const& flow, time_point now);

    // Applies a batch from a peer and returns the answer to it.
    flow_acknowledgement on_batch(flow_batch const& batch, time_point now);
    void on_acknowledgement(flow_acknowledgement const& answer, time_point now);

    // Due every few tens of milliseconds.
    flow_output tick(time_point now);

    bool owns(flow_key const& flow) const;

    // Flows open or half open.
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

    // True if every live peer has said that its flows are known here.
    bool has_all_peer_flows(time_point now) const;

    // Tunnel endpoint of a peer, or an empty one.
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

    // Members that have to know a flow; unused places are 0.
    using notified_peers = std::array<target_id, max_notified_peers>;

    struct owned_flow
    {
        phase phase_ = phase::half_open;
        time_point phase_since_{};   // start of the phase
        std::uint32_t sequence_ = 0; // next one expected after the SYN
        notified_peers notified_peers_{};
        // Heads of a former view, told for a while longer, since balancers may
        // still hold that view and the new heads may not know the flow yet.
        notified_peers retiring_peers_{};
        time_point last_retired_at_{};
    };

    // What a peer said of its open flows, and what this agent had then, so that
    // counts of the same moment are compared.
    struct load_report
    {
        std::uint32_t open_count_ = 0; // with the flows placed there since
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
        // Owned by the peer as it has told; forwarding_entries_ has those of
        // live ones.
        std::unordered_set<flow_key, flow_hash> flows_;
    };

    // Where a SYN was sent that this agent has denied.
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
    flow_decision pass_to(tunnel_header header, candidate const& to) const;
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
    std::uint32_t weight_ = 1; // of the agent itself
    time_point last_report_at_{};
    target_id last_report_to_ = 0;   // last peer; the next one follows it
    std::uint64_t stream_count_ = 0; // begun so far, to any peer
    std::uint64_t view_hash_ = 0;    // hash of the live members
    time_point view_changed_at_{};
    std::map<target_id, peer> peers_; // never holds the agent itself
    std::unordered_map<flow_key, owned_flow, flow_hash> flows_;
    std::size_t open_count_ = 0;      // flows_ that haven't ended
    std::size_t half_open_count_ = 0; // at most options_.max_half_open_flows_
    std::deque<timed_flow> half_open_queue_;  // oldest first; may be outdated
    std::deque<timed_flow> ended_queue_;      // oldest first; may be outdated
    std::deque<timed_flow> retirement_queue_; // oldest first; may be outdated
    std::vector<evicted_flow> evicted_;       // since the last tick
    // Owner of flows of peers; each value is a key of peers_.
    std::unordered_map<flow_key, target_id, flow_hash> forwarding_entries_;
    std::unordered_map<flow_key, syn_redirect, flow_hash> syn_redirects_;
    std::deque<probe> probes_; // in no order
};

} // namespace daisytrail
