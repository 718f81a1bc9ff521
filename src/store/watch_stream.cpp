// Incremental reader of a streamed HTTP answer.
#include "store/watch_stream.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

} // namespace

struct watch_stream::connection
{
    explicit connection(asio::io_context& io) : stream_(io)
    {
        parser_.body_limit(boost::none);
    }

    beast::tcp_stream stream_;
    http_request request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, 16'384> part_{};
};

watch_stream::watch_stream(asio::io_context& io,
                           std::function<void(std::string)> line,
                           std::function<void(std::string)> ended)
    : connection_(std::make_unique<connection>(io)), line_(std::move(line)),
      ended_(std::move(ended))
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
            self->end(code.message());
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
                self->end(code.message());
                return;
            }
            auto& link = *self->connection_;
            http::async_write(link.stream_, link.request_, on_written);
        });
}

void watch_stream::cancel()
{
    line_ = nullptr;
    ended_ = nullptr;
    connection_->stream_.close();
}

void watch_stream::read()
{
    auto& body = connection_->parser_.get().body();
    body.data = connection_->part_.data();
    body.size = connection_->part_.size();
    http::async_read_some(
        connection_->stream_, connection_->buffer_, connection_->parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t)
        {
            auto const& part = self->connection_->part_;
            auto const& left = self->connection_->parser_.get().body();
            if (left.data != nullptr)
            {
                self->take({part.data(), part.size() - left.size});
            }
            if (code && code != http::error::need_buffer)
            {
                self->end(code.message());
                return;
            }
            if (self->connection_->parser_.is_done())
            {
                self->end("the answer ended");
                return;
            }
            if (self->ended_)
            {
                self->read();
            }
        });
}

void watch_stream::take(std::string_view part)
{
    pending_ += part;
    for (auto at = pending_.find('\n'); at != std::string::npos;
         at = pending_.find('\n'))
    {
        auto text = pending_.substr(0, at);
        pending_.erase(0, at + 1);
        if (line_ && !text.empty())
        {
            line_(std::move(text));
        }
    }
    if (pending_.size() > max_line_bytes)
    {
        end("a line is too long");
        connection_->stream_.close();
    }
}

void watch_stream::end(std::string const& detail)
{
    line_ = nullptr;
    if (auto ended = std::exchange(ended_, nullptr))
    {
        ended(detail);
    }
}

} // namespace daisytrail::detail
