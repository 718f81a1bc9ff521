// A small HTTP/1.1 server for health, metrics and announcements (Boost.Beast).
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

// Answers one request; called on the event loop's thread. An exception of type
// daisytrail::error becomes the status that error_responses gives for its kind.
using http_handler = std::function<http_response(http_request const&)>;

// Largest request body that is read.
inline constexpr std::size_t max_http_body_bytes = 2ULL << 20U;

http_response make_response(unsigned status, std::string body,
                            std::string const& type = "application/json");

class http_server
{
public:
    // Listens at once; throws error(unavailable) if the address is taken.
    http_server(boost::asio::io_context& io, endpoint const& address);

    // Routes "GET", "/metrics" to a handler. The query string isn't matched.
    void route(std::string const& method, std::string const& path,
               http_handler handler);

    // Routes every path that starts with `prefix` and has no route of its own.
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
