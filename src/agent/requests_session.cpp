// Parses the requests of a flow and writes the responses.
#include "agent/requests_session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t max_unsent_bytes = 262'144;
constexpr std::uint64_t max_discarded_bytes = 65'536;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

class tcp_session_flow : public session_flow
{
public:
    explicit tcp_session_flow(std::shared_ptr<tcp_flow> flow)
        : flow_(std::move(flow))
    {
    }

    void set_handlers(tcp_handlers handlers) override
    {
        flow_->set_handlers(std::move(handlers));
    }

    std::size_t write(std::span<std::byte const> bytes) override
    {
        return flow_->write(bytes);
    }

    void consume(std::size_t bytes) override
    {
        flow_->consume(bytes);
    }

    void shutdown() override
    {
        flow_->shutdown();
    }

    void abort() override
    {
        flow_->abort();
    }

private:
    std::shared_ptr<tcp_flow> flow_;
};

std::int64_t ceil_seconds(duration value)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(value);
    return std::max<std::int64_t>(1, seconds.count());
}

} // namespace

std::string write_outcome_response(request_outcome outcome,
                                   duration retry_after, bool keep_alive)
{
    auto const& agent_response = response_for(outcome);
    bool const retry_later = agent_response.advice_ == retry_advice::later;
    boost::json::object body{{"outcome", to_string(agent_response.verdict_)},
                             {"reason", agent_response.name_},
                             {"retry", to_string(agent_response.advice_)}};
    response_head head;
    head.status_ = agent_response.status_;
    head.reason_ = agent_response.reason_phrase_;
    head.fields_ = {
        {"Content-Type", "application/json"},
        {"Daisytrail-Outcome", std::string(to_string(agent_response.verdict_))},
        {"Daisytrail-Reason", std::string(agent_response.name_)},
        {"Daisytrail-Retry", std::string(to_string(agent_response.advice_))}};
    if (retry_later)
    {
        body["retry_after_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
        head.fields_.push_back(
            {"Retry-After", std::to_string(ceil_seconds(retry_after))});
    }
    auto const text = boost::json::serialize(body) + '\n';
    head.length_ = text.size();
    return write_response_head(head, keep_alive, false) + text;
}

std::unique_ptr<session_flow> make_session_flow(std::shared_ptr<tcp_flow> flow)
{
    return std::make_unique<tcp_session_flow>(std::move(flow));
}

requests_session::requests_session(asio::io_context& io, session_owner& owner,
                                   std::unique_ptr<session_flow> flow)
    : timer_(io), owner_(owner), flow_(std::move(flow))
{
}

void requests_session::start()
{
    auto const self = shared_from_this();
    tcp_handlers handlers;
    handlers.on_data_ = [self](std::span<std::byte const> bytes)
    {
        self->on_data(bytes);
    };
    handlers.on_end_ = [self]
    {
        self->on_end();
    };
    handlers.on_writable_ = [self]
    {
        self->flush();
    };
    handlers.on_closed_ = [self](bool)
    {
        self->on_closed();
    };
    flow_->set_handlers(std::move(handlers));
    next_request();
}

void requests_session::drain()
{
    if (stage_ == stage::head && !job_ && input_.size() == 0)
    {
        close_after_flush();
        return;
    }
    keep_alive_ = false;
}

void requests_session::abort()
{
    flow_->abort();
    on_closed();
}

void requests_session::on_data(std::span<std::byte const> bytes)
{
    if (stage_ == stage::closed || closing_)
    {
        flow_->consume(bytes.size());
        return;
    }
    auto const room = input_.prepare(bytes.size());
    asio::buffer_copy(room, asio::buffer(bytes.data(), bytes.size()));
    input_.commit(bytes.size());
    advance();
}

// After its FIN the caller may still wait for a response.
void requests_session::on_end()
{
    caller_closed_ = true;
    if (stage_ == stage::head)
    {
        close_after_flush();
    }
    else if (stage_ == stage::body)
    {
        // The rest of the body will never arrive.
        abort();
    }
}

void requests_session::on_closed()
{
    if (std::exchange(stage_, stage::closed) == stage::closed)
    {
        return;
    }
    timer_.cancel();
    if (auto const job = std::exchange(job_, nullptr))
    {
        owner_.cancel(*job);
    }
    // Deferred, since one of the handlers may be on the call stack.
    asio::post(timer_.get_executor(),
               [self = shared_from_this()] { self->flow_->set_handlers({}); });
    owner_.on_session_closed(*this);
}

// Parses input until more bytes are needed or the current response has to end
// first.
void requests_session::advance()
{
    if (std::exchange(advancing_, true))
    {
        return;
    }
    bool progress = true;
    while (progress && !closing_)
    {
        progress = (stage_ == stage::head && read_head()) ||
                   (stage_ == stage::body && read_body());
    }
    advancing_ = false;
}

bool requests_session::read_head()
{
    if (input_.size() == 0)
    {
        return false;
    }
    if (!header_timer_set_)
    {
        header_timer_set_ = true;
        set_timer(owner_.limits().header_timeout_);
    }
    boost::system::error_code code;
    auto const used = parser_->put(input_.data(), code);
    consume(used);
    if (code && code != http::error::need_more)
    {
        refuse_head(code);
        return false;
    }
    if (!parser_->is_header_done())
    {
        return false;
    }
    on_head_parsed();
    return true;
}

void requests_session::refuse_head(boost::system::error_code code)
{
    refuse(code == http::error::header_limit ? request_outcome::header_too_large
                                             : request_outcome::malformed);
}

void requests_session::on_head_parsed()
{
    head_ = read_request_head(parser_->get().base());
    keep_alive_ = head_.keep_alive_ && !owner_.is_draining();
    stage_ = stage::body;
    body_bytes_ = 0;
    if (head_.length_.value_or(0) > owner_.limits().body_bytes_)
    {
        refuse(request_outcome::body_too_large);
        return;
    }
    set_timer(owner_.limits().header_timeout_);
    auto job = owner_.submit(head_, *this);
    if (stage_ != stage::body || response_done_ || discarding_body_)
    {
        return; // submit() already delivered the outcome
    }
    job_ = std::move(job);
    if (head_.expects_continue_ && head_.has_body())
    {
        send(continue_response);
    }
    if (parser_->is_done())
    {
        timer_.cancel();
        stage_ = stage::response;
        job_->body_complete_ = true;
        owner_.on_body_received(*job_);
    }
}

bool requests_session::read_body()
{
    if (body_paused_ || input_.size() == 0)
    {
        return false;
    }
    parser_->get().body().data = body_buffer_.data();
    parser_->get().body().size = body_buffer_.size();
    boost::system::error_code code;
    auto const used = parser_->put(input_.data(), code);
    consume(used);
    if (code && code != http::error::need_buffer &&
        code != http::error::need_more)
    {
        refuse(request_outcome::malformed);
        return false;
    }
    auto const size = body_buffer_.size() - parser_->get().body().size;
    body_bytes_ += size;
    if (body_bytes_ > owner_.limits().body_bytes_)
    {
        refuse(request_outcome::body_too_large);
        return false;
    }
    bool const done = parser_->is_done();
    if (size == 0 && !done)
    {
        return used > 0;
    }
    if (discarding_body_)
    {
        if (done)
        {
            next_request();
        }
        return true;
    }
    append_body({body_buffer_.data(), size}, done);
    return true;
}

void requests_session::append_body(std::string_view bytes, bool last)
{
    body_paused_ = !job_->send_body(bytes, last) && !last;
    if (last)
    {
        stage_ = stage::response;
    }
    if (last || body_paused_)
    {
        timer_.cancel();
    }
    else
    {
        set_timer(owner_.limits().header_timeout_);
    }
    owner_.on_body_received(*job_);
}

void requests_session::consume(std::size_t bytes)
{
    input_.consume(bytes);
    flow_->consume(bytes);
}

void requests_session::on_body_drained()
{
    if (std::exchange(body_paused_, false))
    {
        set_timer(owner_.limits().header_timeout_);
        advance();
    }
}

void requests_session::on_response_head(response_head const& head)
{
    timer_.cancel();
    if (stage_ == stage::body && !parser_->is_done())
    {
        keep_alive_ = false; // the rest of the body isn't read
    }
    response_chunked_ = head.has_body_ && !head.length_ && !head_.is_http_1_0_;
    if (head.has_body_ && !head.length_ && head_.is_http_1_0_)
    {
        keep_alive_ = false;
    }
    if (owner_.is_draining())
    {
        keep_alive_ = false;
    }
    send(write_response_head(head, keep_alive_, head_.is_http_1_0_));
}

bool requests_session::on_response_body(std::string_view bytes)
{
    if (response_chunked_)
    {
        send(write_chunk(bytes));
    }
    else
    {
        send(bytes);
    }
    response_paused_ = output_.size() - output_offset_ > max_unsent_bytes;
    return !response_paused_;
}

void requests_session::on_response_end()
{
    if (response_chunked_)
    {
        send(write_chunk({}));
    }
    finish_response();
}

void requests_session::on_outcome(request_outcome outcome, duration retry_after)
{
    auto const& agent_response = response_for(outcome);
    if (agent_response.status_ == 0)
    {
        job_ = nullptr;
        abort();
        return;
    }
    bool const body_follows = stage_ == stage::body && !parser_->is_done();
    bool const can_discard_rest =
        head_.length_.value_or(max_unsent_bytes) <= max_discarded_bytes;
    keep_alive_ = keep_alive_ && !agent_response.closes_connection_ &&
                  (!body_follows || can_discard_rest);
    send(write_outcome_response(outcome, retry_after, keep_alive_));
    if (body_follows && keep_alive_)
    {
        // The response was sent. The next request follows the rest of this
        // request's body, which is skipped.
        job_ = nullptr;
        discarding_body_ = true;
        body_paused_ = false;
        return;
    }
    finish_response();
}

// Refuses the current request because of its input: malformed, too large or too
// slow.
void requests_session::refuse(request_outcome outcome)
{
    keep_alive_ = false;
    if (auto const job = std::exchange(job_, nullptr))
    {
        outcome = job->state_.phase() == request_phase::started
                      ? request_outcome::lost
                      : outcome;
        owner_.cancel(*job);
    }
    send(write_outcome_response(outcome, {}, false));
    finish_response();
}

void requests_session::finish_response()
{
    response_done_ = true;
    job_ = nullptr;
    timer_.cancel();
    if (!keep_alive_ || caller_closed_)
    {
        close_after_flush();
        return;
    }
    next_request();
    advance();
}

void requests_session::next_request()
{
    stage_ = stage::head;
    header_timer_set_ = false;
    response_done_ = false;
    discarding_body_ = false;
    body_paused_ = false;
    response_paused_ = false;
    keep_alive_ = true;
    parser_.emplace();
    parser_->header_limit(owner_.limits().header_bytes_);
    parser_->body_limit(boost::none);
    set_timer(owner_.limits().idle_timeout_);
    if (owner_.is_draining() && input_.size() == 0)
    {
        close_after_flush();
    }
}

void requests_session::send(std::string_view bytes)
{
    output_.append(bytes);
    flush();
}

void requests_session::flush()
{
    if (stage_ == stage::closed)
    {
        return;
    }
    auto const rest = std::as_bytes(std::span(output_)).subspan(output_offset_);
    output_offset_ += flow_->write(rest);
    if (output_offset_ == output_.size())
    {
        output_.clear();
        output_offset_ = 0;
        if (closing_)
        {
            flow_->shutdown();
        }
    }
    else if (output_offset_ > max_unsent_bytes)
    {
        output_.erase(0, output_offset_);
        output_offset_ = 0;
    }
    if (response_paused_ && job_ &&
        output_.size() - output_offset_ <= max_unsent_bytes)
    {
        response_paused_ = false;
        job_->resume();
    }
}

void requests_session::close_after_flush()
{
    if (std::exchange(closing_, true))
    {
        return;
    }
    flow_->consume(input_.size());
    input_.clear();
    // Bounds the wait for the caller's FIN.
    set_timer(owner_.limits().idle_timeout_);
    flush();
}

void requests_session::set_timer(std::chrono::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code code)
        {
            // An earlier expiry may be queued when the timer is set again.
            if (!code &&
                self->timer_.expiry() <= std::chrono::steady_clock::now())
            {
                self->on_timeout();
            }
        });
}

void requests_session::on_timeout()
{
    if (closing_)
    {
        abort();
    }
    else if (stage_ == stage::head && !header_timer_set_)
    {
        close_after_flush(); // idle timeout
    }
    else if (stage_ == stage::head || stage_ == stage::body)
    {
        refuse(request_outcome::slow_sender);
    }
}

} // namespace daisytrail
