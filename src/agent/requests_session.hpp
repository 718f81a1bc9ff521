// HTTP/1.1 server side of one caller's flow in `requests` mode: keep-alive,
// pipelining with responses in the order of the requests, limits on size and
// time.
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

// Byte stream to the caller: a TCP flow, or a mock in tests.
class session_flow
{
public:
    virtual ~session_flow() = default;

    virtual void set_handlers(tcp_handlers handlers) = 0;
    // Returns the number of bytes that were accepted for sending.
    virtual std::size_t write(std::span<std::byte const> bytes) = 0;
    virtual void consume(std::size_t bytes) = 0;
    virtual void shutdown() = 0;
    virtual void abort() = 0;
};

std::unique_ptr<session_flow> make_session_flow(std::shared_ptr<tcp_flow> flow);

// The service's interface to its sessions.
class session_owner
{
public:
    virtual ~session_owner() = default;

    virtual service_limits const& limits() const = 0;
    virtual bool is_draining() const = 0;
    // Registers a request. The sink receives its outcome, possibly before the
    // call returns.
    virtual std::shared_ptr<request_job> submit(request_head head,
                                                response_sink& sink) = 0;
    // Part or all of the body was appended to the job. The request is admitted
    // once enough of its body is buffered.
    virtual void on_body_received(request_job& job) = 0;
    // Cancels a request whose caller no longer needs the response. No call to
    // the sink follows.
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

    // Closes the flow now if it is idle, else after the current response.
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
        head,     // reading the head of a request
        body,     // reading its body; the response may have started
        response, // body received, waiting for the end of the response
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
    boost::beast::flat_buffer input_; // bytes received but not parsed yet
    std::optional<parser> parser_;
    std::array<char, 16'384> body_buffer_{};
    request_head head_;
    std::shared_ptr<request_job> job_; // null between requests
    std::uint64_t body_bytes_ = 0;
    bool body_paused_ = false;
    bool discarding_body_ = false; // skips the rest of a refused request's body
    bool response_done_ = false;
    bool response_chunked_ = false;
    bool response_paused_ = false;
    bool keep_alive_ = true;
    bool caller_closed_ = false; // the caller sent its FIN
    bool closing_ = false;       // send a FIN once output_ is empty
    std::string output_;         // to be sent from output_offset_ on
    std::size_t output_offset_ = 0;
};

// Serializes the response that the load balancer itself gives for an outcome.
std::string write_outcome_response(request_outcome outcome,
                                   duration retry_after, bool keep_alive);

} // namespace daisytrail
