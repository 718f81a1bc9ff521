// Reads a streamed HTTP response line by line.
#include "store/watch_stream.hpp"

#include "net/http_buffer.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace daisytrail::detail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds connect_timeout{2};
constexpr std::size_t max_line_bytes = 4ULL << 20U;
constexpr std::size_t bytes_per_read = 64UL << 10U;

} // namespace

struct watch_stream::connection
{
    explicit connection(asio::io_context& io) : stream_(io)
    {
        parser_.body_limit(boost::none);
    }

    beast::tcp_stream stream_;
    http_request request_;
    beast::flat_buffer buffer_ = make_http_buffer(bytes_per_read);
    http::response_parser<http::buffer_body> parser_;
    std::array<char, 16'384> chunk_{};
};

watch_stream::watch_stream(asio::io_context& io,
                           std::function<void(std::string)> on_line,
                           std::function<void(std::string)> on_ended)
    : connection_(std::make_unique<connection>(io)),
      on_line_(std::move(on_line)), on_ended_(std::move(on_ended))
{
}

watch_stream::~watch_stream() = default;

void watch_stream::start(endpoint const& peer, http_request request)
{
    connection_->request_ = std::move(request);
    auto& stream = connection_->stream_;
    stream.expires_after(connect_timeout);
    auto const on_written =
        [self = shared_from_this()](beast::error_code code, std::size_t)
    {
        if (code)
        {
            self->finish(code.message());
            return;
        }
        self->connection_->stream_.expires_never();
        self->read();
    };
    stream.async_connect(
        {asio::ip::address_v4(peer.address_), peer.port_},
        [self = shared_from_this(), on_written](beast::error_code code)
        {
            if (code)
            {
                self->finish(code.message());
                return;
            }
            auto& link = *self->connection_;
            http::async_write(link.stream_, link.request_, on_written);
        });
}

void watch_stream::cancel()
{
    on_line_ = nullptr;
    on_ended_ = nullptr;
    connection_->stream_.close();
}

void watch_stream::read()
{
    auto& body = connection_->parser_.get().body();
    body.data = connection_->chunk_.data();
    body.size = connection_->chunk_.size();
    http::async_read_some(
        connection_->stream_, connection_->buffer_, connection_->parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t)
        {
            auto const& chunk = self->connection_->chunk_;
            auto const& left = self->connection_->parser_.get().body();
            if (left.data != nullptr)
            {
                self->append({chunk.data(), chunk.size() - left.size});
            }
            if (code && code != http::error::need_buffer)
            {
                self->finish(code.message());
                return;
            }
            if (self->connection_->parser_.is_done())
            {
                self->finish("the store closed the response");
                return;
            }
            if (self->on_ended_)
            {
                self->read();
            }
        });
}

void watch_stream::append(std::string_view chunk)
{
    partial_line_ += chunk;
    for (auto newline = partial_line_.find('\n'); newline != std::string::npos;
         newline = partial_line_.find('\n'))
    {
        auto text = partial_line_.substr(0, newline);
        partial_line_.erase(0, newline + 1);
        if (on_line_ && !text.empty())
        {
            on_line_(std::move(text));
        }
    }
    if (partial_line_.size() > max_line_bytes)
    {
        finish("a line of the response exceeds the size limit");
        connection_->stream_.close();
    }
}

void watch_stream::finish(std::string const& detail)
{
    on_line_ = nullptr;
    if (auto on_ended = std::exchange(on_ended_, nullptr))
    {
        on_ended(detail);
    }
}

} // namespace daisytrail::detail
