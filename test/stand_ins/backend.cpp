// Stand-in for a backend server. Over HTTP/1.1 it serves orders, which it
// records in a ledger, waybill uploads, generated sheets and an unlimited feed.
// It announces itself to its agent, sheds load above its queue limit, drains on
// SIGTERM and injects the faults that POST /fault sets.
#include "backend_announcer.hpp"
#include "backend_faults.hpp"
#include "backend_options.hpp"
#include "backend_request.hpp"
#include "net/http_call.hpp"
#include "order_ledger.hpp"

#include <daisytrail/types.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using namespace daisytrail;

constexpr std::size_t read_buffer_bytes = 65'536;
constexpr std::size_t max_retained_body_bytes = 65'536;
constexpr std::chrono::milliseconds drain_poll_interval{50};

// The agent may have opened a connection just before the drain began, so the
// server stays up at least this long and refuses the requests that arrive.
constexpr std::chrono::seconds min_drain_duration{3};

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return text.data();
}

class server;

using string_response = http::response<http::string_body>;

// One HTTP connection. Pending operations own the session and keep it alive.
class session : public std::enable_shared_from_this<session>
{
public:
    session(server& owner, asio::ip::tcp::socket socket);
    ~session();

    void read();
    void run();         // starts the work once the request has a slot
    void leave_queue(); // for a request cancelled while queued

    bool cancelled() const
    {
        return cancelled_;
    }

private:
    void read_body();
    void dispatch();
    void watch_for_disconnect();
    void on_disconnect();
    void finish_work();
    void write(string_response response);
    void start_feed();
    void write_feed();
    string_response answer();
    string_response answer_control(std::string const& path);
    std::string order_id() const;

    server& owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::buffer_body>> parser_;
    std::array<char, read_buffer_bytes> chunk_{};
    std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> hash_;
    backend_request request_;
    string_response response_;
    asio::steady_timer timer_;
    std::string feed_line_;
    std::uint64_t feed_number_ = 0;
    std::uint64_t request_number_ = 0; // requests read so far
    bool running_ = false;             // holds a slot
    bool queued_ = false;              // is in the server's queue
    bool cancelled_ = false;
};

class server
{
public:
    server(asio::io_context& io, backend_options options)
        : options_(std::move(options)), ledger_(options_.ledger_file_), io_(io),
          acceptor_(io), announcer_(io, options_, faults_, draining_),
          drain_timer_(io), signals_(io, SIGTERM, SIGINT),
          random_(options_.seed_)
    {
        auto const address = parse_endpoint(options_.listen_);
        asio::ip::tcp::endpoint const local(
            asio::ip::address_v4(address.address_), address.port_);
        acceptor_.open(local.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(local);
        acceptor_.listen();
        accept();
        announcer_.start();
        signals_.async_wait(
            [this](boost::system::error_code code, int)
            {
                if (!code)
                {
                    draining_ = true;
                    earliest_exit_at_ =
                        std::chrono::steady_clock::now() + min_drain_duration;
                    announcer_.send();
                    drain();
                }
            });
    }

    // Queues the session for a slot and runs it when one is free. Returns false
    // while the server sheds load or drains, or if the queue is full.
    bool admit(std::shared_ptr<session> const& new_session)
    {
        if (faults_.shed_requests_ || draining_ ||
            queued_.size() >= options_.max_queued_)
        {
            ++shed_;
            return false;
        }
        queued_.push_back(new_session);
        run_queued();
        return true;
    }

    void release()
    {
        --running_;
        run_queued();
    }

    std::chrono::nanoseconds work_time(double work_ms)
    {
        std::uniform_real_distribution<double> spread(0.9, 1.1);
        auto const scaled = work_ms * faults_.work_time_factor_ /
                            options_.speed_ * spread(random_);
        return std::chrono::nanoseconds(
            static_cast<std::int64_t>(scaled * 1e6));
    }

    json::object report() const
    {
        return {{"service", options_.service_},
                {"target", options_.name_},
                {"requests", requests_},
                {"wrong_service", wrong_service_},
                {"shed", shed_},
                {"running", running_},
                {"most_running", peak_running_},
                {"connections", open_connections_},
                {"orders", ledger_.to_json()}};
    }

    backend_options options_;
    backend_faults faults_;
    order_ledger ledger_;
    std::uint64_t requests_ = 0;
    std::uint64_t wrong_service_ = 0;
    std::uint64_t shed_ = 0;
    std::uint32_t open_connections_ = 0;
    bool draining_ = false;

private:
    void run_queued()
    {
        while (running_ < options_.slots_ && !queued_.empty())
        {
            auto const next = queued_.front();
            queued_.pop_front();
            if (next->cancelled())
            {
                next->leave_queue();
                continue;
            }
            ++running_;
            peak_running_ = std::max(peak_running_, running_);
            next->run();
        }
    }

    void accept()
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

    // Exits the process once the minimum drain duration has passed and the
    // agent has closed every connection.
    void drain()
    {
        if (open_connections_ == 0 &&
            std::chrono::steady_clock::now() >= earliest_exit_at_)
        {
            std::exit(0);
        }
        drain_timer_.expires_after(drain_poll_interval);
        drain_timer_.async_wait([this](boost::system::error_code) { drain(); });
    }

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    backend_announcer announcer_;
    asio::steady_timer drain_timer_;
    std::chrono::steady_clock::time_point earliest_exit_at_;
    asio::signal_set signals_;
    std::mt19937_64 random_;
    std::deque<std::shared_ptr<session>> queued_;
    std::uint32_t running_ = 0;
    std::uint32_t peak_running_ = 0;
};

session::session(server& owner, asio::ip::tcp::socket socket)
    : owner_(owner), stream_(std::move(socket)),
      hash_(XXH3_createState(), &XXH3_freeState), timer_(stream_.get_executor())
{
    ++owner_.open_connections_;
}

session::~session()
{
    --owner_.open_connections_;
}

void session::read()
{
    ++request_number_;
    parser_.emplace();
    parser_->body_limit(boost::none);
    request_ = {};
    feed_number_ = 0;
    XXH3_64bits_reset(hash_.get());
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t)
        {
            if (!code)
            {
                self->request_.head_ = self->parser_->get().base();
                self->read_body();
            }
        });
}

void session::read_body()
{
    if (parser_->is_done())
    {
        request_.body_hash_ = XXH3_64bits_digest(hash_.get());
        dispatch();
        return;
    }
    parser_->get().body().data = chunk_.data();
    parser_->get().body().size = chunk_.size();
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t)
        {
            if (code && code != http::error::need_buffer)
            {
                return;
            }
            auto const received_bytes =
                self->chunk_.size() - self->parser_->get().body().size;
            XXH3_64bits_update(self->hash_.get(), self->chunk_.data(),
                               received_bytes);
            self->request_.body_size_ += received_bytes;
            auto const remaining_bytes =
                max_retained_body_bytes - self->request_.body_.size();
            self->request_.body_.append(
                self->chunk_.data(), std::min(received_bytes, remaining_bytes));
            self->read_body();
        });
}

void session::dispatch()
{
    auto const path = request_.path();
    if (path == "/ledger" || path == "/fault" || path == "/healthz")
    {
        write(answer_control(path));
        return;
    }
    ++owner_.requests_;
    auto const expected = request_.head_.find("X-Expect-Service");
    if (expected != request_.head_.end() &&
        expected->value() != owner_.options_.service_)
    {
        ++owner_.wrong_service_;
    }
    if (owner_.faults_.fail_requests_)
    {
        write(make_response(500, "failed\n", "text/plain"));
        return;
    }
    if (path == "/feed")
    {
        start_feed();
        return;
    }
    if (!owner_.admit(shared_from_this()))
    {
        auto refusal = make_response(503, "shed\n", "text/plain");
        refusal.set(http::field::retry_after, "1");
        write(std::move(refusal));
        return;
    }
    if (!running_)
    {
        queued_ = true;
        watch_for_disconnect();
    }
}

// Cancels the request if the agent closes the connection while the request is
// queued or running.
void session::watch_for_disconnect()
{
    stream_.socket().async_wait(
        asio::socket_base::wait_read,
        [self = shared_from_this(),
         number = request_number_](boost::system::error_code code)
        {
            boost::system::error_code failed;
            if (number == self->request_number_ &&
                (code || self->stream_.socket().available(failed) == 0))
            {
                self->on_disconnect();
            }
        });
}

void session::on_disconnect()
{
    if (!running_ && !queued_)
    {
        return;
    }
    cancelled_ = true;
    timer_.cancel();
}

void session::leave_queue()
{
    queued_ = false;
}

void session::run()
{
    auto const is_watching = queued_;
    queued_ = false;
    running_ = true;
    if (request_.path() == "/orders")
    {
        owner_.ledger_.record_started(order_id());
    }
    if (!is_watching)
    {
        watch_for_disconnect();
    }
    timer_.expires_after(owner_.work_time(
        request_.query_number("work_ms", owner_.options_.work_ms_)));
    timer_.async_wait([self = shared_from_this()](boost::system::error_code)
                      { self->finish_work(); });
}

void session::finish_work()
{
    running_ = false;
    owner_.release();
    bool const is_order = request_.path() == "/orders";
    if (cancelled_)
    {
        if (is_order)
        {
            owner_.ledger_.record_cancelled(order_id());
        }
        return;
    }
    if (is_order)
    {
        owner_.ledger_.record_finished(order_id());
    }
    write(answer());
}

std::string session::order_id() const
{
    boost::system::error_code code;
    auto const value = json::parse(request_.body_, code);
    auto const* object = code ? nullptr : value.if_object();
    auto const* order = object ? object->if_contains("order") : nullptr;
    if (order == nullptr)
    {
        return "?";
    }
    return order->is_string() ? std::string(order->as_string())
                              : json::serialize(*order);
}

string_response session::answer()
{
    auto const path = request_.path();
    if (path == "/orders")
    {
        return make_response(201, json::serialize(json::object{
                                      {"order", order_id()},
                                      {"service", owner_.options_.service_}}));
    }
    if (path.rfind("/waybills/", 0) == 0)
    {
        return make_response(200, json::serialize(json::object{
                                      {"id", path.substr(10)},
                                      {"service", owner_.options_.service_},
                                      {"bytes", request_.body_size_},
                                      {"xxh3", hex(request_.body_hash_)}}));
    }
    if (path.rfind("/sheets/", 0) == 0)
    {
        auto const bytes =
            static_cast<std::size_t>(request_.query_number("bytes", 4'096));
        std::string body;
        auto const line = "sheet " + path.substr(8) + " service " +
                          owner_.options_.service_ + ' ';
        while (body.size() < bytes)
        {
            body += line + std::to_string(body.size()) + '\n';
        }
        body.resize(bytes);
        auto response = make_response(200, std::move(body), "text/plain");
        response.set(
            "X-Content-XXH3",
            hex(XXH3_64bits(response.body().data(), response.body().size())));
        return response;
    }
    return make_response(404, "no such page\n", "text/plain");
}

string_response session::answer_control(std::string const& path)
{
    if (path == "/healthz")
    {
        return make_response(200, "ok\n", "text/plain");
    }
    if (path == "/ledger")
    {
        return make_response(200, json::serialize(owner_.report()));
    }
    boost::system::error_code code;
    auto const value = json::parse(request_.body_, code);
    if (code || !value.is_object())
    {
        return make_response(400, R"({"error":"no JSON object"})");
    }
    owner_.faults_.apply(value.as_object());
    return make_response(200, "{}");
}

void session::write(string_response response)
{
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(request_.head_[http::field::connection] != "close" &&
                         !cancelled_);
    response_.set("X-Service", owner_.options_.service_);
    response_.set("X-Target", owner_.options_.name_);
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

// Serves GET /feed?interval_ms=N&lines=N; without `lines` the feed never ends.
void session::start_feed()
{
    feed_line_ = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Service: " +
                 owner_.options_.service_ +
                 "\r\nX-Target: " + owner_.options_.name_ +
                 "\r\nTransfer-Encoding: chunked\r\n\r\n";
    write_feed();
}

void session::write_feed()
{
    auto const limit =
        static_cast<std::uint64_t>(request_.query_number("lines", 0));
    bool const last = limit > 0 && feed_number_ >= limit;
    if (last)
    {
        feed_line_ += "0\r\n\r\n";
    }
    else
    {
        auto const line = std::to_string(++feed_number_) + ' ' +
                          owner_.options_.service_ + '\n';
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
        feed_line_ += size.data() + line + "\r\n";
    }
    asio::async_write(
        stream_.socket(), asio::buffer(feed_line_),
        [self = shared_from_this(), last](boost::system::error_code code,
                                          std::size_t)
        {
            self->feed_line_.clear();
            if (code)
            {
                return;
            }
            if (last)
            {
                self->read();
                return;
            }
            self->timer_.expires_after(
                std::chrono::milliseconds(static_cast<std::int64_t>(
                    self->request_.query_number("interval_ms", 200))));
            self->timer_.async_wait([self](boost::system::error_code)
                                    { self->write_feed(); });
        });
}

int run_backend(int argc, char** argv)
{
    backend_options options;
    CLI::App app("Stand-in for a backend server");
    options.add_to(app);
    CLI11_PARSE(app, argc, argv);
    asio::io_context io(1);
    server const running(io, options);
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_backend(argc, argv);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "stand-in-backend: " << failure.what() << '\n';
        return 1;
    }
}
