// One caller's flow in `requests` mode: HTTP/1.1 requests in order, answers in
// the same order, keep-alive, limits on size and time.
#pragma once

#include "agent/requests_job.hpp"
#include "lwip/tcp_stack.hpp"

#include <daisytrail/organisation.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace daisytrail
{

class requests_session;

// The caller's side of a session: a flow, or a mock of one.
class session_flow
{
public:
    virtual ~session_flow() = default;

    virtual void set_handlers(tcp_handlers handlers) = 0;
    // Returns how many bytes were taken.
    virtual std::size_t write(std::span<std::byte const> bytes) = 0;
    virtual void consume(std::size_t bytes) = 0;
    virtual void shutdown() = 0;
    virtual void abort() = 0;
};

std::unique_ptr<session_flow> make_session_flow(std::shared_ptr<tcp_flow> flow);

// What a session needs of its service.
class session_owner
{
public:
    virtual ~session_owner() = default;

    virtual service_limits const& limits() const = 0;
    virtual bool is_draining() const = 0;
    // Registers a request; its outcome comes to the sink, maybe at once.
    virtual std::shared_ptr<request_job> submit(request_head head,
                                                response_sink& sink) = 0;
    // Part or all of a body has come, so that the request may start.
    virtual void on_body_received(request_job& job) = 0;
    // The caller has gone; no call to the sink follows.
    virtual void cancel(request_job& job) = 0;
    virtual void on_session_closed(requests_session& session) = 0;
};

class requests_session : public response_sink,
                         public std::enable_shared_from_this<requests_session>
{
public:
    requests_session(boost::asio::io_context& io, session_owner& owner,
                     std::unique_ptr<session_flow> flow);

    void start();

    // Closes the flow now if it is idle, else after the answer under way.
    void drain();

    // Resets the flow.
    void abort();

    void on_response_head(response_head const& head) override;
    bool on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_outcome(request_outcome outcome, duration retry_after) override;
    void on_body_drained() override;

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    enum class stage
    {
        head,     // reads a request's head
        body,     // reads its body, the answer may be under way
        response, // waits for the end of the answer
        closed
    };

    void on_data(std::span<std::byte const> bytes);
    void on_end();
    void on_closed();
    void advance();
    bool read_head();
    bool read_body();
    void append_body(std::string_view bytes, bool last);
    void on_head_parsed();
    void refuse_head(boost::system::error_code code);
    void consume(std::size_t bytes);
    void finish_response();
    void next_request();
    void refuse(request_outcome outcome);
    void send(std::string_view bytes);
    void flush();
    void close_after_flush();
    void set_timer(std::chrono::milliseconds timeout);
    void on_timeout();

    boost::asio::steady_timer timer_;
    session_owner& owner_;
    std::unique_ptr<session_flow> flow_;
    stage stage_ = stage::head;
    bool advancing_ = false;
    bool header_timer_set_ = false;
    boost::beast::flat_buffer input_; // received and not yet parsed
    std::optional<parser> parser_;
    std::array<char, 16'384> body_buffer_{};
    request_head head_;
    std::shared_ptr<request_job> job_; // null between requests
    std::uint64_t body_bytes_ = 0;
    bool body_paused_ = false;
    bool discarding_body_ = false; // refused; skips the rest of a short body
    bool response_done_ = false;
    bool response_chunked_ = false;
    bool response_paused_ = false;
    bool keep_alive_ = true;
    bool caller_closed_ = false; // the caller has sent its FIN
    bool closing_ = false;       // sends a FIN once output_ is empty
    std::string output_;         // not yet taken by the flow
    std::size_t output_offset_ = 0;
};

// The system's own answer for an outcome.
std::string write_outcome_response(request_outcome outcome,
                                   duration retry_after, bool keep_alive);

} // namespace daisytrail
