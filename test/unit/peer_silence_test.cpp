// Tests of calls between agents over connections that stop passing bytes, on
// real sockets.
#include "agent/peer_rpc.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <optional>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr ipv4 loopback = 0x7f000001;

// Grants every offer.
class granting_agent : public peer_events
{
public:
    void on_reserve(peer_offer_request const&,
                    std::function<void(offer_reply)> reply) override
    {
        reply({offer_result::granted, 1, {}});
    }
    void on_release(target_id, request_id) override {}
    owner_record_result on_witness(target_id, std::string const&,
                                   std::uint64_t) override
    {
        return {};
    }
    void on_start(std::uint64_t, peer_request,
                  std::shared_ptr<peer_response>) override
    {
    }
};

// TCP proxy that forwards bytes in both directions. Connections that are open
// when mute() is called stay open but forward no more bytes.
class muting_proxy
{
public:
    muting_proxy(asio::io_context& io, std::uint16_t destination_port)
        : io_(io),
          acceptor_(io, tcp::endpoint(asio::ip::address_v4(loopback), 0)),
          destination_(asio::ip::address_v4(loopback), destination_port)
    {
        accept();
    }

    endpoint address() const
    {
        return {loopback, acceptor_.local_endpoint().port()};
    }

    void mute()
    {
        for (auto& entry : directions_)
        {
            entry.is_muted_ = true;
        }
    }

    std::size_t connections() const
    {
        return directions_.size() / 2;
    }

private:
    // One direction of a connection.
    struct direction
    {
        std::shared_ptr<tcp::socket> source_;
        std::shared_ptr<tcp::socket> sink_;
        std::array<char, 4'096> bytes_{};
        bool is_muted_ = false;
    };

    void accept()
    {
        auto caller = std::make_shared<tcp::socket>(io_);
        acceptor_.async_accept(*caller,
                               [this, caller](boost::system::error_code code)
                               {
                                   if (code)
                                   {
                                       return;
                                   }
                                   auto callee =
                                       std::make_shared<tcp::socket>(io_);
                                   // The peer's thread may not listen yet; the
                                   // caller connects again then.
                                   boost::system::error_code refused;
                                   callee->connect(destination_, refused);
                                   if (!refused)
                                   {
                                       add_direction(caller, callee);
                                       add_direction(callee, caller);
                                   }
                                   accept();
                               });
    }

    void add_direction(std::shared_ptr<tcp::socket> const& source,
                       std::shared_ptr<tcp::socket> const& sink)
    {
        auto& added = directions_.emplace_back();
        added.source_ = source;
        added.sink_ = sink;
        forward_bytes(added);
    }

    void forward_bytes(direction& entry)
    {
        entry.source_->async_read_some(
            asio::buffer(entry.bytes_),
            [this, &entry](boost::system::error_code code, std::size_t size)
            {
                if (code || entry.is_muted_)
                {
                    return;
                }
                boost::system::error_code ignored;
                asio::write(*entry.sink_, asio::buffer(entry.bytes_, size),
                            ignored);
                forward_bytes(entry);
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint destination_;
    std::deque<direction> directions_;
};

std::uint16_t free_port(asio::io_context& io)
{
    tcp::acceptor const probe(io,
                              tcp::endpoint(asio::ip::address_v4(loopback), 0));
    return probe.local_endpoint().port();
}

struct silence_fixture
{
    offer_result offer()
    {
        peer_offer_request request;
        request.immediate_ = true;
        request.deadline_ = milliseconds(250);
        std::optional<offer_result> result;
        caller_.reserve(proxy_.address(), request,
                        [&](offer_reply const& reply)
                        { result = reply.result_; });
        auto const give_up_at =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!result && std::chrono::steady_clock::now() < give_up_at)
        {
            io_.restart();
            io_.run_for(milliseconds(10));
        }
        REQUIRE(result);
        return *result;
    }

    // Sends offers until one is granted and returns the elapsed time.
    milliseconds time_until_granted()
    {
        auto const started_at = std::chrono::steady_clock::now();
        auto const elapsed = [started_at]
        {
            return std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - started_at);
        };
        while (offer() != offer_result::granted &&
               elapsed() < std::chrono::seconds(10))
        {
            io_.restart();
            io_.run_for(milliseconds(10));
        }
        return elapsed();
    }

    asio::io_context io_;
    granting_agent agent_;
    metrics metrics_;
    std::uint16_t port_ = free_port(io_);
    peer_rpc peer_{io_, {loopback, port_}, agent_, metrics_};
    muting_proxy proxy_{io_, port_};
    peer_rpc caller_{io_, {loopback, free_port(io_)}, agent_, metrics_};
};

} // namespace

// Regression test (issue 16, between agents; CONFIG is the same fault towards
// the store): a connection stopped passing bytes without being closed, so every
// later call to that peer timed out.
TEST_CASE_FIXTURE(silence_fixture,
                  "a peer is reachable again after its connection went silent")
{
    REQUIRE(time_until_granted() < std::chrono::seconds(5));
    proxy_.mute();
    CHECK(offer() == offer_result::unreachable);
    CHECK(time_until_granted() <= milliseconds(1'500));
    CHECK(proxy_.connections() <= 3);
}

} // namespace daisytrail
