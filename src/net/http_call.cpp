// HTTP client on Boost.Beast that makes one request per connection.
#include "net/http_call.hpp"

#include "net/http_buffer.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <string_view>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t bytes_per_read = 64UL << 10U;

// Phase of a call.
enum class call_phase
{
    connecting,
    sending,
    waiting, // for the response
    count
};

struct phase_text
{
    std::string_view name_;
    std::string_view timeout_text_;
};

constexpr std::array<phase_text, static_cast<std::size_t>(call_phase::count)>
    phase_texts{{{"connecting", "no connection"},
                 {"sending", "the request couldn't be sent"},
                 {"waiting for the response", "no answer"}}};

// One call. The object lives as long as an operation on it is pending.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    http_call(asio::io_context& io, http_request request,
              http_call_options options,
              std::function<void(http_outcome)> handler)
        : stream_(io), options_(std::move(options)),
          request_(std::move(request)), handler_(std::move(handler))
    {
        parser_.body_limit(options_.max_body_bytes_);
    }

    void start(endpoint const& peer)
    {
        if (!request_.has_content_length())
        {
            request_.prepare_payload();
        }
        if (request_.count(http::field::host) == 0)
        {
            request_.set(http::field::host, to_string(peer));
        }
        deadline_ = std::chrono::steady_clock::now() +
                    call_timeout_multiple * options_.idle_timeout_;
        stream_.expires_after(options_.idle_timeout_);
        stream_.async_connect(
            asio::ip::tcp::endpoint(asio::ip::address_v4(peer.address_),
                                    peer.port_),
            [self = shared_from_this()](beast::error_code code)
            {
                if (code)
                {
                    self->fail(error_kind::unavailable, code);
                    return;
                }
                self->write();
            });
    }

    void cancel()
    {
        handler_ = nullptr;
        stream_.close();
    }

private:
    void write()
    {
        phase_ = call_phase::sending;
        stream_.expires_after(options_.idle_timeout_);
        http::async_write(stream_, request_,
                          [self = shared_from_this()](beast::error_code code,
                                                      std::size_t written)
                          {
                              if (code)
                              {
                                  self->fail(written == 0
                                                 ? error_kind::unavailable
                                                 : error_kind::outcome_unknown,
                                             code);
                                  return;
                              }
                              self->read();
                          });
    }

    void read()
    {
        phase_ = call_phase::waiting;
        stream_.expires_after(options_.idle_timeout_);
        http::async_read_some(
            stream_, buffer_, parser_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                auto const now = std::chrono::steady_clock::now();
                self->response_began_at_ =
                    self->response_began_at_.value_or(now);
                if (code == http::error::body_limit)
                {
                    self->stream_.close();
                    self->fail_too_long();
                }
                else if (code)
                {
                    self->fail(error_kind::outcome_unknown, code);
                }
                else if (self->parser_.is_done())
                {
                    self->finish({std::nullopt,
                                  {},
                                  self->parser_.release(),
                                  now - *self->response_began_at_});
                }
                else if (now >= self->deadline_)
                {
                    self->stream_.close();
                    self->finish({error_kind::outcome_unknown,
                                  "the response took too long",
                                  {}});
                }
                else
                {
                    self->on_part();
                }
            });
    }

    void on_part()
    {
        if (options_.on_part_ && handler_)
        {
            options_.on_part_();
        }
        read();
    }

    void fail_too_long()
    {
        finish({error_kind::limit_exceeded,
                "the response has more than " +
                    std::to_string(options_.max_body_bytes_) + " bytes",
                {}});
    }

    void fail(error_kind kind, beast::error_code code)
    {
        finish({kind, describe(code), {}});
    }

    std::string describe(beast::error_code code) const
    {
        auto const& text = phase_texts[static_cast<std::size_t>(phase_)];
        if (code == beast::error::timeout)
        {
            return std::string(text.timeout_text_) + " for " +
                   std::to_string(options_.idle_timeout_.count()) + " ms";
        }
        return std::string(text.name_) + ": " + code.message();
    }

    void finish(http_outcome outcome)
    {
        if (auto handler = std::exchange(handler_, nullptr))
        {
            handler(std::move(outcome));
        }
    }

    beast::tcp_stream stream_;
    http_call_options options_;
    std::chrono::steady_clock::time_point deadline_;
    std::optional<std::chrono::steady_clock::time_point> response_began_at_;
    call_phase phase_ = call_phase::connecting;
    http_request request_;
    std::function<void(http_outcome)> handler_; // empty after its only call
    beast::flat_buffer buffer_ = make_http_buffer(bytes_per_read);
    http::response_parser<http::string_body> parser_;
};

} // namespace

std::function<void()> async_http_call(asio::io_context& io,
                                      endpoint const& peer,
                                      http_request request,
                                      std::chrono::milliseconds idle_timeout,
                                      std::function<void(http_outcome)> handler)
{
    return async_http_call(io, peer, std::move(request),
                           http_call_options{idle_timeout}, std::move(handler));
}

std::function<void()> async_http_call(asio::io_context& io,
                                      endpoint const& peer,
                                      http_request request,
                                      http_call_options options,
                                      std::function<void(http_outcome)> handler)
{
    auto call = std::make_shared<http_call>(
        io, std::move(request), std::move(options), std::move(handler));
    call->start(peer);
    return [weak = std::weak_ptr(call)]
    {
        if (auto const alive = weak.lock())
        {
            alive->cancel();
        }
    };
}

} // namespace daisytrail
