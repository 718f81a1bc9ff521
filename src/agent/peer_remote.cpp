// Matching of answers to requests, and backpressure, between agents.
#include "agent/peer_remote.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t most_outstanding = 8;

} // namespace

remote_exchange::remote_exchange(std::shared_ptr<peer_rpc_bridge> bridge,
                                 std::uint64_t token, request_id request,
                                 exchange_events& events)
    : bridge_(std::move(bridge)), token_(token), request_(request),
      events_(&events)
{
}

// The whole body went with the start.
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

bool remote_exchange::is_expected(request_id request, std::uint64_t sequence)
{
    if (events_ != nullptr && request == request_ && sequence == next_)
    {
        ++next_;
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

void remote_exchange::head(request_id request, std::uint64_t sequence,
                           answer_head head)
{
    if (is_expected(request, sequence))
    {
        events_->on_head(std::move(head));
    }
}

void remote_exchange::body(request_id request, std::uint64_t sequence,
                           std::string const& bytes)
{
    bool const paused =
        is_expected(request, sequence) && !events_->on_body(bytes);
    if (!paused)
    {
        acknowledge_();
    }
}

void remote_exchange::result(request_id request, std::uint64_t sequence,
                             request_outcome outcome, duration retry_after)
{
    // A gap before the result means that a part of the answer is missing.
    if (events_ == nullptr || request != request_ ||
        outcome >= request_outcome::count)
    {
        is_expected(request, ~sequence);
        return;
    }
    auto* const events = std::exchange(events_, nullptr);
    bool const whole = sequence == next_;
    if (outcome == request_outcome::answered && whole)
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

void remote_exchange::lost(bool sent)
{
    if (auto* const events = std::exchange(events_, nullptr))
    {
        events->on_failure(sent ? exchange_failure::outcome_unknown
                                : exchange_failure::not_run);
    }
}

void remote_answer::on_answer_head(answer_head const& head)
{
    send_head_(head);
}

bool remote_answer::on_answer_body(std::string_view bytes)
{
    ++outstanding_;
    send_body_(std::string(bytes));
    paused_ = outstanding_ >= most_outstanding;
    return !paused_;
}

void remote_answer::acknowledged()
{
    --outstanding_;
    if (paused_ && outstanding_ < most_outstanding)
    {
        paused_ = false;
        on_resume_();
    }
}

void remote_answer::on_answer_end()
{
    on_outcome(request_outcome::answered, {});
}

void remote_answer::on_outcome(request_outcome outcome, duration retry_after)
{
    if (!std::exchange(settled_, true))
    {
        send_result_(outcome, retry_after);
    }
}

void remote_answer::on_body_drained() {}

void remote_answer::cancelled()
{
    if (!std::exchange(settled_, true) && on_cancel_)
    {
        on_cancel_();
    }
}

} // namespace daisytrail
