// HTTP/1.1 server on Boost.Beast for health checks, metrics and announcements.
#pragma once

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisytrail
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

// Returns the response to a request. Called on the event loop's thread. An
// exception of type daisytrail::error becomes a response with the status that
// error_responses defines for its kind.
using http_handler = std::function<http_response(http_request const&)>;

// Maximum body size of requests to the server and of responses to
// async_http_call().
inline constexpr std::size_t max_http_body_bytes = 2ULL << 20U;

http_response make_response(unsigned status, std::string body,
                            std::string const& type = "application/json");

class http_server
{
public:
    // Starts listening. Throws error(unavailable) if the address is in use.
    http_server(boost::asio::io_context& io, endpoint const& address);

    // Routes requests with this method and path, such as "GET" and "/metrics",
    // to the handler. The query string isn't part of the path.
    void route(std::string const& method, std::string const& path,
               http_handler handler);

    // Routes every path that starts with `prefix` and has no exact route.
    void route_prefix(std::string const& method, std::string const& prefix,
                      http_handler handler);

    void stop();

private:
    struct session;

    void accept();
    http_handler const* find_route(std::string const& method,
                                   std::string const& path) const;
    http_response answer(http_request const& request) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    // Keyed by "METHOD path".
    std::map<std::string, http_handler> routes_;
    // Keyed by "METHOD prefix".
    std::map<std::string, http_handler> prefix_routes_;
};

} // namespace daisytrail
