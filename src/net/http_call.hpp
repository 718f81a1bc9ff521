// HTTP/1.1 client that makes one request to another process, with a timeout.
#pragma once

#include "net/http_server.hpp"

#include <daisytrail/error.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisytrail
{

// Result of a call. error_ is empty if response_ is complete. A failure before
// the first byte of the request was written is `unavailable`: the request
// didn't run. A later failure is `outcome_unknown`, or `limit_exceeded` if the
// response is too long. detail_ names the phase of the call and the cause: "no
// answer for 1500 ms", "connecting: Connection refused".
struct http_outcome
{
    std::optional<error_kind> error_;
    std::string detail_;
    http_response response_;
    // From the first part of the response until it was complete.
    std::chrono::nanoseconds transfer_time_{0};
};

struct http_call_options
{
    // Limits the time to connect, the time to send the request and each wait
    // for a part of the response, so that a large response over a slow link
    // doesn't fail because of its size.
    std::chrono::milliseconds idle_timeout_{0};
    // Maximum length of the response's body. A longer response fails with
    // limit_exceeded as soon as its header tells the length.
    std::size_t max_body_bytes_ = max_http_body_bytes;
    // Called after each part of the response but the last; may be empty.
    std::function<void()> on_part_ = {};
};

// The whole call is limited to this number of idle timeouts.
inline constexpr int call_timeout_multiple = 8;

// Starts the call and returns a function that cancels it; the handler isn't
// called after a cancellation.
std::function<void()>
async_http_call(boost::asio::io_context& io, endpoint const& peer,
                http_request request, http_call_options options,
                std::function<void(http_outcome)> handler);

std::function<void()>
async_http_call(boost::asio::io_context& io, endpoint const& peer,
                http_request request, std::chrono::milliseconds idle_timeout,
                std::function<void(http_outcome)> handler);

} // namespace daisytrail
