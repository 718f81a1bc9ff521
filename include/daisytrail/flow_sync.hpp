// Reliable, ordered streams of flow changes between the agents of a service.
// An agent reports to each peer those of its own flows that the peer has to
// know. An epoch is one run of a process, identified by the incarnation with
// which the process started. A stream belongs to one epoch of the sender and
// one of the receiver; a restart of either process begins a new, empty stream.
#pragma once

#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace daisytrail
{

// Maximum number of changes in one batch. An encoded batch fits into one
// datagram even if every change has a different VIP.
inline constexpr std::size_t max_batch_changes = 96;

// Reports that the sender owns a flow or, if `removed_`, no longer owns it.
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
    incarnation to_epoch_ = 0; // 0 while unknown to the sender
    std::uint64_t stream_ = 0;
    std::uint64_t sequence_ = 0;  // starts at 1 in each stream
    std::uint64_t view_hash_ = 0; // hash of the live membership
    // True if the batch completes the flows that the receiver has to know in
    // the view `view_hash_`.
    bool complete_ = false;
    std::vector<flow_change> changes_;
    std::uint32_t open_flows_ = 0; // open flows of the sender
};

// Acknowledges all batches of the stream up to `sequence_`. Also sent without a
// batch, to report the number of open flows.
struct flow_acknowledgement
{
    target_id from_ = 0;
    target_id to_ = 0;
    incarnation from_epoch_ = 0;
    incarnation to_epoch_ = 0;
    std::uint64_t stream_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t open_flows_ = 0; // open flows of the sender
};

// Sending end of one stream.
class flow_outbox
{
public:
    // Begins a new stream to the given epoch of the peer.
    void restart(incarnation peer_epoch, std::uint64_t stream);

    void push(flow_change const& change);

    // Queues a marker for the view: the batch that empties the queue reports
    // that the receiver then knows all flows that it has to know in the view.
    void mark_complete(std::uint64_t view);

    // Returns the batches that are due: first transmissions and
    // retransmissions. The caller fills in the addresses and epochs.
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
    std::deque<flow_change> queue_; // not yet in a batch
    std::optional<std::uint64_t> pending_marker_;
    std::optional<time_point> batching_since_; // when due() first saw changes
    std::deque<flow_batch> in_flight_; // consecutive sequences, oldest first
    time_point last_sent_at_{};        // last transmission of in_flight_
};

// Receiving end of one stream; accepts batches in order.
class flow_inbox
{
public:
    // True if the batch comes from a newer epoch of the peer.
    bool is_new_epoch(flow_batch const& batch) const
    {
        return batch.from_epoch_ > sender_epoch_;
    }

    void restart(incarnation peer_epoch);

    // True if the batch is the first of a newer stream of the same epoch.
    bool is_new_stream(flow_batch const& batch) const
    {
        return batch.from_epoch_ == sender_epoch_ && batch.stream_ > stream_ &&
               batch.sequence_ == 1;
    }

    void restart_stream(std::uint64_t stream);

    // Advances the stream and returns true if the batch is the next in order.
    bool accept(flow_batch const& batch);

    incarnation sender_epoch() const
    {
        return sender_epoch_;
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
    incarnation sender_epoch_ = 0; // 0 until the peer's first batch
    std::uint64_t stream_ = 0;
    std::uint64_t applied_sequence_ = 0;
    std::optional<std::uint64_t> complete_view_;
};

} // namespace daisytrail
