// Matches messages of a response to their request, and limits the parts of a
// response in flight (backpressure).
#include "agent/peer_remote.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t max_unacknowledged = 8;

} // namespace

remote_exchange::remote_exchange(std::shared_ptr<peer_rpc_bridge> bridge,
                                 std::uint64_t token, request_id request,
                                 exchange_events& events)
    : bridge_(std::move(bridge)), token_(token), request_(request),
      events_(&events)
{
}

// The start message already carried the complete body.
bool remote_exchange::send_body(std::string_view /*bytes*/, bool /*last*/)
{
    return true;
}

void remote_exchange::resume()
{
    if (events_ != nullptr)
    {
        acknowledge_();
    }
}

void remote_exchange::cancel()
{
    events_ = nullptr;
    abandon_();
}

bool remote_exchange::accept_call(request_id request, std::uint64_t sequence)
{
    if (events_ != nullptr && request == request_ && sequence == next_sequence_)
    {
        ++next_sequence_;
        return true;
    }
    char const* const kind = events_ == nullptr    ? "late"
                             : request != request_ ? "crossed"
                                                   : "duplicate";
    ++bridge_->metrics_->counter(
        "daisytrail_peer_dropped_answers_total{kind=\"" + std::string(kind) +
        "\"}");
    return false;
}

void remote_exchange::receive_head(request_id request, std::uint64_t sequence,
                                   response_head head)
{
    if (accept_call(request, sequence))
    {
        events_->on_head(std::move(head));
    }
}

void remote_exchange::receive_body(request_id request, std::uint64_t sequence,
                                   std::string const& bytes)
{
    bool const paused =
        accept_call(request, sequence) && !events_->on_body(bytes);
    if (!paused)
    {
        acknowledge_();
    }
}

void remote_exchange::receive_result(request_id request, std::uint64_t sequence,
                                     request_outcome outcome,
                                     duration retry_after)
{
    // ~sequence isn't the expected number, so accept_call() only counts the
    // dropped message.
    if (events_ == nullptr || request != request_ ||
        outcome >= request_outcome::count)
    {
        accept_call(request, ~sequence);
        return;
    }
    auto* const events = std::exchange(events_, nullptr);
    // A gap in the sequence numbers means that a part of the response is
    // missing.
    bool const is_complete = sequence == next_sequence_;
    if (outcome == request_outcome::answered && is_complete)
    {
        events->on_end();
    }
    else if (outcome == request_outcome::answered ||
             outcome == request_outcome::truncated ||
             outcome == request_outcome::cancelled)
    {
        events->on_failure(exchange_failure::outcome_unknown);
    }
    else
    {
        events->on_refusal(outcome, retry_after);
    }
}

void remote_exchange::on_connection_lost(bool was_sent)
{
    if (auto* const events = std::exchange(events_, nullptr))
    {
        events->on_failure(was_sent ? exchange_failure::outcome_unknown
                                    : exchange_failure::not_run);
    }
}

void remote_response::on_response_head(response_head const& head)
{
    send_head_(head);
}

bool remote_response::on_response_body(std::string_view bytes)
{
    ++unacknowledged_;
    send_body_(std::string(bytes));
    paused_ = unacknowledged_ >= max_unacknowledged;
    return !paused_;
}

void remote_response::on_acknowledged()
{
    --unacknowledged_;
    if (paused_ && unacknowledged_ < max_unacknowledged)
    {
        paused_ = false;
        on_resume_();
    }
}

void remote_response::on_response_end()
{
    on_outcome(request_outcome::answered, {});
}

void remote_response::on_outcome(request_outcome outcome, duration retry_after)
{
    if (!std::exchange(is_settled_, true))
    {
        send_result_(outcome, retry_after);
    }
}

void remote_response::on_body_drained() {}

void remote_response::on_cancelled()
{
    if (!std::exchange(is_settled_, true) && on_cancel_)
    {
        on_cancel_();
    }
}

} // namespace daisytrail
