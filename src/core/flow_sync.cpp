// Streams of flow changes between agents: batching, retransmission and
// ordering.
#include <daisytrail/flow_sync.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr std::size_t max_batches_in_flight = 8;
constexpr auto retransmission_timeout = std::chrono::milliseconds(200);

// Time for which changes wait for further changes, so that one datagram and its
// acknowledgement cover several. Markers of a view change aren't delayed.
constexpr auto batching_delay = std::chrono::milliseconds(500);

} // namespace

void flow_outbox::restart(incarnation peer_epoch, std::uint64_t stream)
{
    *this = {};
    peer_epoch_ = peer_epoch;
    stream_ = stream;
}

void flow_outbox::push(flow_change const& change)
{
    if (!change.removed_)
    {
        queue_.push_back(change);
        return;
    }
    // A flow that began and ended within the batching delay isn't reported.
    auto const start = std::find(queue_.rbegin(), queue_.rend(),
                                 flow_change{change.flow_, false});
    if (start == queue_.rend())
    {
        queue_.push_back(change);
        return;
    }
    queue_.erase(std::next(start).base());
}

void flow_outbox::mark_complete(std::uint64_t view)
{
    pending_marker_ = view;
}

flow_batch flow_outbox::next_batch()
{
    flow_batch batch;
    batch.stream_ = stream_;
    batch.sequence_ = ++last_sequence_;
    auto const count = std::min(queue_.size(), max_batch_changes);
    auto const end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    batch.changes_.assign(queue_.begin(), end);
    queue_.erase(queue_.begin(), end);
    if (queue_.empty() && pending_marker_)
    {
        batch.complete_ = true;
        batch.view_hash_ = *pending_marker_;
        pending_marker_.reset();
    }
    return batch;
}

bool flow_outbox::is_batch_due(time_point now)
{
    if (pending_marker_ || queue_.size() >= max_batch_changes)
    {
        return true;
    }
    if (queue_.empty())
    {
        batching_since_.reset();
        return false;
    }
    if (!batching_since_)
    {
        batching_since_ = now;
    }
    return now - *batching_since_ >= batching_delay;
}

std::vector<flow_batch> flow_outbox::due(time_point now)
{
    std::vector<flow_batch> result;
    if (!in_flight_.empty() && now - last_sent_at_ >= retransmission_timeout)
    {
        result.assign(in_flight_.begin(), in_flight_.end());
        last_sent_at_ = now;
    }
    while (is_batch_due(now) && in_flight_.size() < max_batches_in_flight)
    {
        if (in_flight_.empty())
        {
            last_sent_at_ = now;
        }
        in_flight_.push_back(next_batch());
        result.push_back(in_flight_.back());
    }
    return result;
}

void flow_outbox::acknowledge(std::uint64_t stream, std::uint64_t sequence)
{
    if (stream != stream_)
    {
        return;
    }
    while (!in_flight_.empty() && in_flight_.front().sequence_ <= sequence)
    {
        in_flight_.pop_front();
    }
}

void flow_inbox::restart(incarnation peer_epoch)
{
    *this = {};
    sender_epoch_ = peer_epoch;
}

void flow_inbox::restart_stream(std::uint64_t stream)
{
    auto const sender_epoch = sender_epoch_;
    restart(sender_epoch);
    stream_ = stream;
}

bool flow_inbox::accept(flow_batch const& batch)
{
    if (batch.from_epoch_ != sender_epoch_ || batch.stream_ != stream_ ||
        batch.sequence_ != applied_sequence_ + 1)
    {
        return false;
    }
    applied_sequence_ = batch.sequence_;
    if (batch.complete_)
    {
        complete_view_ = batch.view_hash_;
    }
    return true;
}

} // namespace daisytrail
