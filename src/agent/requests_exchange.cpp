// HTTP/1.1 client for one exchange with the backend server, on Boost.Beast.
#include "agent/requests_exchange.hpp"

#include "net/http_buffer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <optional>
#include <utility>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds connect_timeout{2};
constexpr std::size_t body_buffer_bytes = 16'384;
// An agent may have thousands of exchanges with long responses.
constexpr std::size_t bytes_per_read = 8'192;
constexpr std::size_t max_unsent_bytes = 262'144;
constexpr std::uint32_t max_response_header_bytes = 65'536;

class backend_exchange : public exchange,
                         public std::enable_shared_from_this<backend_exchange>
{
public:
    backend_exchange(asio::io_context& io, request_head const& head,
                     exchange_events& events)
        : stream_(io), events_(&events), chunked_(head.chunked_),
          is_head_request_(head.method_ == "HEAD")
    {
        unsent_ = write_request_head(head);
    }

    void start(endpoint const& backend, std::string_view body, bool complete)
    {
        queue_body(body, complete);
        stream_.expires_after(connect_timeout);
        stream_.async_connect(
            asio::ip::tcp::endpoint(asio::ip::address_v4(backend.address_),
                                    backend.port_),
            [self = shared_from_this()](beast::error_code code)
            {
                self->stream_.expires_never();
                if (code)
                {
                    self->fail(exchange_failure::not_run);
                    return;
                }
                self->connected_ = true;
                self->write();
                self->read_head();
            });
    }

    bool send_body(std::string_view bytes, bool last) override
    {
        queue_body(bytes, last);
        write();
        return unsent_.size() < max_unsent_bytes;
    }

    void resume() override
    {
        if (std::exchange(paused_, false))
        {
            read_body();
        }
    }

    void cancel() override
    {
        events_ = nullptr;
        stream_.close();
    }

private:
    void queue_body(std::string_view bytes, bool last)
    {
        if (!chunked_)
        {
            unsent_.append(bytes);
            return;
        }
        if (!bytes.empty())
        {
            unsent_ += write_chunk(bytes);
        }
        if (last)
        {
            unsent_ += write_chunk({});
        }
    }

    void write()
    {
        if (!connected_ || !sending_.empty() || unsent_.empty())
        {
            return;
        }
        sending_.swap(unsent_);
        asio::async_write(
            stream_, asio::buffer(sending_),
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                self->sending_.clear();
                // A write error isn't reported: the backend server may respond
                // early and stop reading, so the read side decides how the
                // exchange ends.
                if (code || self->events_ == nullptr)
                {
                    return;
                }
                self->write();
                if (self->unsent_.size() < max_unsent_bytes)
                {
                    self->events_->on_send_buffer_drained();
                }
            });
    }

    void read_head()
    {
        parser_.emplace();
        parser_->header_limit(max_response_header_bytes);
        parser_->body_limit(boost::none);
        parser_->skip(is_head_request_);
        http::async_read_header(
            stream_, parse_buffer_, *parser_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (code)
                {
                    self->fail(exchange_failure::outcome_unknown);
                    return;
                }
                self->finish_head();
            });
    }

    void finish_head()
    {
        if (parser_->get().result_int() < 200)
        {
            read_head(); // skips an interim response
            return;
        }
        if (events_ != nullptr)
        {
            events_->on_head(
                read_response_head(parser_->get().base(), is_head_request_));
        }
        read_body();
    }

    void read_body()
    {
        if (events_ == nullptr)
        {
            return;
        }
        if (parser_->is_done())
        {
            auto* const events = std::exchange(events_, nullptr);
            stream_.close();
            events->on_end();
            return;
        }
        parser_->get().body().data = body_buffer_.data();
        parser_->get().body().size = body_buffer_.size();
        parser_->get().body().more = true;
        http::async_read_some(
            stream_, parse_buffer_, *parser_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (code && code != http::error::need_buffer)
                {
                    self->fail(exchange_failure::outcome_unknown);
                    return;
                }
                self->deliver_body();
            });
    }

    void deliver_body()
    {
        auto const size = body_buffer_.size() - parser_->get().body().size;
        if (size > 0 && events_ != nullptr)
        {
            paused_ = !events_->on_body({body_buffer_.data(), size});
        }
        if (!paused_)
        {
            read_body();
        }
    }

    void fail(exchange_failure failure)
    {
        auto* const events = std::exchange(events_, nullptr);
        stream_.close();
        if (events != nullptr)
        {
            events->on_failure(failure);
        }
    }

    beast::tcp_stream stream_;
    exchange_events* events_; // null after the last event
    bool const chunked_;
    bool const is_head_request_;
    bool connected_ = false;
    bool paused_ = false; // waits for resume()
    std::string sending_; // in an asynchronous write
    std::string unsent_;
    beast::flat_buffer parse_buffer_ = make_http_buffer(bytes_per_read);
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, body_buffer_bytes> body_buffer_{};
};

} // namespace

std::shared_ptr<exchange>
start_exchange(asio::io_context& io, endpoint const& backend,
               request_head const& head, std::string_view body,
               bool body_complete, exchange_events& events)
{
    auto started = std::make_shared<backend_exchange>(io, head, events);
    started->start(backend, body, body_complete);
    return started;
}

} // namespace daisytrail
