// Tests of HTTP calls to a peer that is slow, silent or not listening.
#include "net/http_call.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds idle_timeout{100};

// Sends a response in parts with a pause before each part. After `parts_sent`
// parts it sends nothing more but keeps the connection open.
class slow_server
{
public:
    slow_server(asio::io_context& io, std::size_t parts, std::size_t parts_sent,
                milliseconds pause)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          socket_(io), timer_(io), parts_sent_(parts_sent), pause_(pause)
    {
        body_bytes_ = parts * part_.size();
        accept();
    }

    // Waits for the next connection, which ends the current one.
    void accept()
    {
        parts_left_ = parts_sent_;
        socket_ = tcp::socket(acceptor_.get_executor());
        acceptor_.async_accept(socket_,
                               [this](boost::system::error_code code)
                               {
                                   if (!code)
                                   {
                                       send_head();
                                   }
                               });
    }

    endpoint address() const
    {
        return {acceptor_.local_endpoint().address().to_v4().to_uint(),
                acceptor_.local_endpoint().port()};
    }

private:
    void send_head()
    {
        head_ = "HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body_bytes_) + "\r\n\r\n";
        asio::async_write(socket_, asio::buffer(head_),
                          [this](boost::system::error_code code, std::size_t)
                          { code ? void() : send_part(); });
    }

    void send_part()
    {
        if (parts_left_ == 0)
        {
            return;
        }
        --parts_left_;
        timer_.expires_after(pause_);
        timer_.async_wait(
            [this](boost::system::error_code)
            {
                asio::async_write(
                    socket_, asio::buffer(part_),
                    [this](boost::system::error_code code, std::size_t)
                    { code ? void() : send_part(); });
            });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::string const part_ = std::string(1'000, 'x');
    std::string head_;
    std::size_t body_bytes_ = 0;
    std::size_t parts_sent_;
    std::size_t parts_left_ = 0;
    milliseconds pause_;
};

// Sends the whole response at once and then keeps the connection open.
class fast_server
{
public:
    fast_server(asio::io_context& io, std::size_t body_bytes)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          socket_(io), response_("HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(body_bytes) + "\r\n\r\n" +
                                 std::string(body_bytes, 'x'))
    {
        acceptor_.async_accept(
            socket_,
            [this](boost::system::error_code)
            {
                asio::async_write(
                    socket_, asio::buffer(response_),
                    [](boost::system::error_code, std::size_t) {});
            });
    }

    endpoint address() const
    {
        return {acceptor_.local_endpoint().address().to_v4().to_uint(),
                acceptor_.local_endpoint().port()};
    }

private:
    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::string response_;
};

// Keeps an event loop busy: one of its handlers takes part in each turn of the
// loop, as the packets of callers do. Counts the turns.
class busy_loop
{
public:
    explicit busy_loop(asio::io_context& io) : io_(io)
    {
        work();
    }

    int turns() const
    {
        return turns_;
    }

private:
    void work()
    {
        ++turns_;
        std::this_thread::sleep_for(milliseconds(1));
        asio::post(io_, [this] { work(); });
    }

    asio::io_context& io_;
    int turns_ = 0;
};

http_outcome call(asio::io_context& io, endpoint const& peer,
                  http_call_options options = {idle_timeout})
{
    std::optional<http_outcome> result;
    http_request request{boost::beast::http::verb::get, "/", 11};
    io.restart();
    async_http_call(io, peer, std::move(request), std::move(options),
                    [&](http_outcome outcome)
                    {
                        result = std::move(outcome);
                        io.stop();
                    });
    io.run_for(std::chrono::seconds(10));
    REQUIRE(result);
    return std::move(*result);
}

} // namespace

// Guards against a timeout for the whole response: a large configuration could
// then never be read over a slow link.
TEST_CASE("a response that takes longer than the idle timeout is complete")
{
    asio::io_context io;
    slow_server server(io, 10, 10, milliseconds(30));
    auto const outcome = call(io, server.address());
    CHECK_FALSE(outcome.error_);
    CHECK(outcome.response_.body().size() == 10'000);
    CHECK(outcome.transfer_time_ >= milliseconds(9 * 30));
}

TEST_CASE("a call fails if the peer stops sending within its response")
{
    asio::io_context io;
    slow_server server(io, 10, 5, milliseconds(10));
    auto const outcome = call(io, server.address());
    REQUIRE(outcome.error_);
    CHECK(*outcome.error_ == error_kind::outcome_unknown);
    CHECK(outcome.detail_ == "no answer for 100 ms");
}

TEST_CASE("a call fails if the response exceeds the total time limit")
{
    asio::io_context io;
    slow_server server(io, 1'000, 1'000, milliseconds(60));
    auto const outcome = call(io, server.address());
    REQUIRE(outcome.error_);
    CHECK(outcome.detail_ == "the response took too long");
}

// CONFIG: a response was read in parts of 512 bytes, one for each turn of the
// event loop, so that a starved balancer received a long template for seconds.
TEST_CASE("a change is late in force at a starved balancer: a long response "
          "takes hundreds of turns of the event loop")
{
    // A template of 650 routes in the store's encoding.
    constexpr std::size_t body_bytes = 130'000;
    // A starved process needs up to 50 ms for a turn, and a quarter of the
    // shortest time to apply a change, 3 s, remains for the response.
    constexpr int max_turns = 15;
    asio::io_context io;
    asio::io_context server_io;
    fast_server server(server_io, body_bytes);
    std::jthread const peer([&server_io]
                            { server_io.run_for(std::chrono::seconds(10)); });
    std::optional<http_outcome> result;
    http_request request{boost::beast::http::verb::get, "/", 11};
    async_http_call(io, server.address(), std::move(request),
                    std::chrono::seconds(5),
                    [&](http_outcome outcome) { result = std::move(outcome); });
    busy_loop const packets(io);
    while (!result)
    {
        io.run_one();
    }
    server_io.stop();
    CHECK(result->response_.body().size() == body_bytes);
    CHECK(packets.turns() <= max_turns);
}

TEST_CASE("a refused connection is reported as unavailable")
{
    asio::io_context io;
    endpoint closed;
    {
        slow_server const server(io, 1, 1, milliseconds(0));
        closed = server.address();
    }
    io.poll();
    io.restart();
    auto const outcome = call(io, closed);
    REQUIRE(outcome.error_);
    CHECK(*outcome.error_ == error_kind::unavailable);
    CHECK(outcome.detail_ == "connecting: Connection refused");
}

// CONFIG: the limit of a response was below what the store may send, and the
// call took until its end to fail.
TEST_CASE("a response that is longer than its limit fails after its last part")
{
    asio::io_context io;
    slow_server server(io, 10, 10, milliseconds(1));
    CHECK_FALSE(call(io, server.address(), {idle_timeout, 10'000}).error_);
    server.accept();
    auto const outcome = call(io, server.address(), {idle_timeout, 9'999});
    REQUIRE(outcome.error_);
    CHECK(*outcome.error_ == error_kind::limit_exceeded);
    CHECK(outcome.detail_ == "the response has more than 9999 bytes");
    CHECK(outcome.transfer_time_ == milliseconds(0));
}

// A watch whose answer takes longer to arrive than a watch may be silent was
// abandoned, and the document was fetched once more.
TEST_CASE("nothing tells that a long response is on its way")
{
    asio::io_context io;
    slow_server server(io, 5, 5, milliseconds(20));
    int parts = 0;
    http_call_options options{idle_timeout};
    options.on_part_ = [&parts]
    {
        ++parts;
    };
    CHECK_FALSE(call(io, server.address(), options).error_);
    CHECK(parts >= 4);
}

} // namespace daisytrail
