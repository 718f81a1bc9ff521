// Helpers of trials with real processes: delayed tasks, tasks at the end of a
// process, HTTP calls, and log lines with a time.
#pragma once

#include "support/child_process.hpp"

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace daisytrail
{

class trial_timeline
{
public:
    explicit trial_timeline(boost::asio::io_context& io) : io_(io) {}

    void run_after(std::chrono::milliseconds time, std::function<void()> task);

    // Runs the task once the process has ended and min_delay has passed.
    void when_ended(child_process& process, std::chrono::milliseconds min_delay,
                    std::function<void()> task);

    // Makes an HTTP call. The argument of `on_end` is whether the status of the
    // answer was 200.
    void call(endpoint const& peer, boost::beast::http::verb method,
              std::string const& path, std::string const& body,
              std::chrono::milliseconds timeout,
              std::function<void(bool done)> on_end);

private:
    boost::asio::io_context& io_;
};

// Prints a line with the time.
void log_line(std::string const& text);

} // namespace daisytrail
