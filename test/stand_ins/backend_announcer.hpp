// Announces the stand-in backend server's address, capacity and state to its
// agent once a second.
#pragma once

#include "backend_faults.hpp"
#include "backend_options.hpp"
#include "net/http_call.hpp"

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <utility>

namespace daisytrail
{

class backend_announcer
{
public:
    // All references must outlive the announcer.
    backend_announcer(boost::asio::io_context& io,
                      backend_options const& options,
                      backend_faults const& faults, bool const& draining)
        : io_(io), options_(options), faults_(faults), draining_(draining),
          timer_(io)
    {
    }

    void start()
    {
        if (faults_.announcements_enabled_)
        {
            send();
        }
        timer_.expires_after(interval);
        timer_.async_wait(
            [this](boost::system::error_code code)
            {
                if (!code)
                {
                    start();
                }
            });
    }

    // Ignores the agent's answer: the next announcement repeats all fields, so
    // a lost announcement needs no retry.
    void send()
    {
        if (options_.agent_.empty())
        {
            return;
        }
        boost::json::object const body{
            {"address", options_.listen_},
            {"slots", options_.slots_},
            {"connections", options_.max_connections_},
            {"state", draining_ ? "draining" : "ready"}};
        http_request request;
        request.method(boost::beast::http::verb::post);
        request.target("/v1/announce");
        request.set(boost::beast::http::field::content_type,
                    "application/json");
        request.body() = boost::json::serialize(body);
        request.prepare_payload();
        async_http_call(io_, parse_endpoint(options_.agent_),
                        std::move(request), timeout,
                        [](http_outcome const&) {});
    }

private:
    static constexpr std::chrono::seconds interval{1};
    static constexpr std::chrono::milliseconds timeout{800};

    boost::asio::io_context& io_;
    backend_options const& options_;
    backend_faults const& faults_;
    bool const& draining_;
    boost::asio::steady_timer timer_;
};

} // namespace daisytrail
