// Reliable, ordered streams of flow changes between the agents of a service.
// An agent tells each peer which of its flows that peer has to know. A stream
// runs between two process starts (epochs); a restart on either side begins a
// new one from scratch.
#pragma once

#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace daisytrail
{

// Changes in one batch; the encoded batch fits one datagram, also if each
// change has its own VIP.
inline constexpr std::size_t max_batch_changes = 96;

// The sender owns the flow, or no longer does.
struct flow_change
{
    flow_key flow_;
    bool removed_ = false;

    bool operator==(flow_change const&) const = default;
};

// One datagram of a stream.
struct flow_batch
{
    target_id from_ = 0;
    target_id to_ = 0;
    incarnation from_epoch_ = 0;
    incarnation to_epoch_ = 0; // 0 if the sender doesn't know it yet
    std::uint64_t stream_ = 0;
    std::uint64_t sequence_ = 0;  // from 1 in each stream
    std::uint64_t view_hash_ = 0; // hash of the live membership
    // With this batch the receiver knows every flow that it has to know for
    // the view `view_hash_`.
    bool complete_ = false;
    std::vector<flow_change> changes_;
    std::uint32_t open_flows_ = 0; // of the sender
};

// Answer to a batch: everything up to sequence_ was applied. Also sent unasked,
// to report the number of open flows.
struct flow_acknowledgement
{
    target_id from_ = 0;
    target_id to_ = 0;
    incarnation from_epoch_ = 0;
    incarnation to_epoch_ = 0;
    std::uint64_t stream_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t open_flows_ = 0; // of the sender
};

// The sending end of one stream.
class flow_outbox
{
public:
    // Begins a new stream towards the given epoch of the peer.
    void restart(incarnation peer_epoch, std::uint64_t stream);

    void push(flow_change const& change);

    // Announces that all changes for the view were pushed.
    void mark_complete(std::uint64_t view);

    // What is due now, first transmissions and retransmissions. The caller
    // fills in the addressing.
    std::vector<flow_batch> due(time_point now);

    void acknowledge(std::uint64_t stream, std::uint64_t sequence);

    incarnation peer_epoch() const
    {
        return peer_epoch_;
    }

    bool is_idle() const
    {
        return queue_.empty() && in_flight_.empty() && !pending_marker_;
    }

private:
    flow_batch next_batch();
    bool is_batch_due(time_point now);

    incarnation peer_epoch_ = 0;
    std::uint64_t stream_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::deque<flow_change> queue_; // not in any batch yet
    std::optional<std::uint64_t> pending_marker_;
    std::optional<time_point> batching_since_; // first look at queue_
    std::deque<flow_batch> in_flight_; // consecutive sequences, oldest first
    time_point last_sent_at_{};        // last transmission of in_flight_
};

// The receiving end of one stream; applies batches in order.
class flow_inbox
{
public:
    // True if the batch starts a new epoch of the peer.
    bool is_new_epoch(flow_batch const& batch) const
    {
        return batch.from_epoch_ > epoch_;
    }

    void restart(incarnation peer_epoch);

    // True if the batch begins a new stream of the same epoch.
    bool is_new_stream(flow_batch const& batch) const
    {
        return batch.from_epoch_ == epoch_ && batch.stream_ > stream_ &&
               batch.sequence_ == 1;
    }

    void restart_stream(std::uint64_t stream);

    // True if the batch is the next one; advances the stream.
    bool accept(flow_batch const& batch);

    incarnation epoch() const
    {
        return epoch_;
    }

    std::uint64_t stream() const
    {
        return stream_;
    }

    std::uint64_t applied_sequence() const
    {
        return applied_sequence_;
    }

    bool is_complete_for(std::uint64_t view) const
    {
        return complete_view_ == view;
    }

private:
    incarnation epoch_ = 0; // 0: nothing was heard yet
    std::uint64_t stream_ = 0;
    std::uint64_t applied_sequence_ = 0;
    std::optional<std::uint64_t> complete_view_;
};

} // namespace daisytrail
