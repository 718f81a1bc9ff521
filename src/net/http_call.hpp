// One HTTP/1.1 call to another process, with a timeout.
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

// How a call ended: error_ is empty if response_ is whole. A failure before
// the first byte of the request was written is `unavailable` (not run); a later
// one is `outcome_unknown`. detail_ tells in words how far the call came and
// what ended it: "no answer for 1500 ms", "connecting: Connection refused".
struct http_outcome
{
    std::optional<error_kind> error_;
    std::string detail_;
    http_response response_;
};

// Starts the call and returns a function that cancels it; after a cancel the
// handler isn't called. `silence` is the longest pause of the peer while it is
// connected to, takes the request or sends its answer: a long answer over a
// slow link doesn't fail by its length. The whole call takes at most
// call_timeout_multiple times as long.
inline constexpr int call_timeout_multiple = 8;

std::function<void()>
async_http_call(boost::asio::io_context& io, endpoint const& peer,
                http_request request, std::chrono::milliseconds idle_timeout,
                std::function<void(http_outcome)> handler);

} // namespace daisytrail
