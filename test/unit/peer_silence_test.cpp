// Calls between agents over connections that fall silent, on real sockets.
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
                  std::shared_ptr<peer_answer>) override
    {
    }
};

// Passes bytes on both ways; connections that were open at silence() stay open
// and pass on nothing more.
class silencing_proxy
{
public:
    silencing_proxy(asio::io_context& io, std::uint16_t to)
        : io_(io),
          acceptor_(io, tcp::endpoint(asio::ip::address_v4(loopback), 0)),
          to_(asio::ip::address_v4(loopback), to)
    {
        accept();
    }

    endpoint address() const
    {
        return {loopback, acceptor_.local_endpoint().port()};
    }

    void silence()
    {
        for (auto& each : ways_)
        {
            each.is_silent_ = true;
        }
    }

    std::size_t connections() const
    {
        return ways_.size() / 2;
    }

private:
    // Bytes of one connection in one direction.
    struct way
    {
        std::shared_ptr<tcp::socket> source_;
        std::shared_ptr<tcp::socket> sink_;
        std::array<char, 4'096> bytes_{};
        bool is_silent_ = false;
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
                                   // The peer's thread may not listen yet; then
                                   // the caller comes again.
                                   boost::system::error_code refused;
                                   callee->connect(to_, refused);
                                   if (!refused)
                                   {
                                       add_way(caller, callee);
                                       add_way(callee, caller);
                                   }
                                   accept();
                               });
    }

    void add_way(std::shared_ptr<tcp::socket> const& source,
                 std::shared_ptr<tcp::socket> const& sink)
    {
        auto& added = ways_.emplace_back();
        added.source_ = source;
        added.sink_ = sink;
        pass_on(added);
    }

    void pass_on(way& each)
    {
        each.source_->async_read_some(
            asio::buffer(each.bytes_),
            [this, &each](boost::system::error_code code, std::size_t size)
            {
                if (code || each.is_silent_)
                {
                    return;
                }
                boost::system::error_code ignored;
                asio::write(*each.sink_, asio::buffer(each.bytes_, size),
                            ignored);
                pass_on(each);
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint to_;
    std::deque<way> ways_;
};

std::uint16_t free_port(asio::io_context& io)
{
    tcp::acceptor const any(io,
                            tcp::endpoint(asio::ip::address_v4(loopback), 0));
    return any.local_endpoint().port();
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
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!result && std::chrono::steady_clock::now() < end)
        {
            io_.restart();
            io_.run_for(milliseconds(10));
        }
        REQUIRE(result);
        return *result;
    }

    // Offers until one is granted; returns the time that it took.
    milliseconds time_to_granted()
    {
        auto const begin = std::chrono::steady_clock::now();
        auto const passed = [begin]
        {
            return std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - begin);
        };
        while (offer() != offer_result::granted &&
               passed() < std::chrono::seconds(10))
        {
            io_.restart();
            io_.run_for(milliseconds(10));
        }
        return passed();
    }

    asio::io_context io_;
    granting_agent agent_;
    metrics numbers_;
    std::uint16_t port_ = free_port(io_);
    peer_rpc peer_{io_, {loopback, port_}, agent_, numbers_};
    silencing_proxy proxy_{io_, port_};
    peer_rpc caller_{io_, {loopback, free_port(io_)}, agent_, numbers_};
};

} // namespace

// Found beside the CONFIG incident (issue 16): the same class between agents.
TEST_CASE_FIXTURE(silence_fixture,
                  "a peer is reached again after its connection fell silent")
{
    REQUIRE(time_to_granted() < std::chrono::seconds(5));
    proxy_.silence();
    CHECK(offer() == offer_result::unreachable);
    CHECK(time_to_granted() <= milliseconds(1'500));
    CHECK(proxy_.connections() <= 3);
}

} // namespace daisytrail
