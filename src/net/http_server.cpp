// Accept loop, sessions and routing of the HTTP server.
#include "net/http_server.hpp"

#include <daisytrail/error.hpp>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds session_timeout{30};

} // namespace

http_response make_response(unsigned status, std::string body,
                            std::string const& type)
{
    http_response response;
    response.result(status);
    response.set(http::field::content_type, type);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

// One connection. The object lives as long as an operation on it is pending.
// The server must outlive the run of the event loop.
struct http_server::session : std::enable_shared_from_this<session>
{
    session(http_server const& server, asio::ip::tcp::socket socket)
        : server_(server), stream_(std::move(socket))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_http_body_bytes);
        stream_.expires_after(session_timeout);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (!code)
                {
                    self->write();
                }
            });
    }

    void write()
    {
        auto const& request = parser_->get();
        response_ = server_.answer(request);
        response_.version(request.version());
        response_.keep_alive(request.keep_alive());
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (!code && self->response_.keep_alive())
                {
                    self->read();
                }
            });
    }

    http_server const& server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_response response_;
};

http_server::http_server(asio::io_context& io, endpoint const& address)
    : acceptor_(io)
{
    asio::ip::tcp::endpoint const local(asio::ip::address_v4(address.address_),
                                        address.port_);
    try
    {
        acceptor_.open(local.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(local);
        acceptor_.listen();
    }
    catch (boost::system::system_error const& failure)
    {
        throw error(error_kind::unavailable, "can't listen on " +
                                                 to_string(address) + ": " +
                                                 failure.what());
    }
    accept();
}

void http_server::route(std::string const& method, std::string const& path,
                        http_handler handler)
{
    routes_[method + ' ' + path] = std::move(handler);
}

void http_server::route_prefix(std::string const& method,
                               std::string const& prefix, http_handler handler)
{
    prefix_routes_[method + ' ' + prefix] = std::move(handler);
}

http_handler const* http_server::find_route(std::string const& method,
                                            std::string const& path) const
{
    auto const key = method + ' ' + path;
    if (auto const route = routes_.find(key); route != routes_.end())
    {
        return &route->second;
    }
    for (auto const& [prefix, handler] : prefix_routes_)
    {
        if (key.starts_with(prefix))
        {
            return &handler;
        }
    }
    return nullptr;
}

void http_server::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void http_server::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code code, asio::ip::tcp::socket socket)
        {
            if (code == asio::error::operation_aborted)
            {
                return;
            }
            if (!code)
            {
                std::make_shared<session>(*this, std::move(socket))->read();
            }
            accept();
        });
}

http_response http_server::answer(http_request const& request) const
{
    std::string const target(request.target());
    std::string const method(request.method_string());
    auto const* route = find_route(method, target.substr(0, target.find('?')));
    if (route == nullptr)
    {
        return make_response(404, R"({"error":"not_found"})");
    }
    try
    {
        return (*route)(request);
    }
    catch (error const& failure)
    {
        auto const& answer = response_for(failure.kind());
        boost::json::object const body{{"error", answer.name_},
                                       {"text", failure.what()}};
        return make_response(static_cast<unsigned>(answer.http_status_),
                             boost::json::serialize(body));
    }
}

} // namespace daisytrail
