// Tests of reading from the control plane's socket.
#include "net/control_link.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

common_settings make_settings(std::string const& name)
{
    using boost::asio::ip::udp;
    boost::asio::io_context io;
    udp::socket const free(
        io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    common_settings result;
    result.name_ = name;
    result.control_ = {0x7F000001, free.local_endpoint().port()};
    result.keys_ = {std::string(64, '1')};
    return result;
}

struct link_pair
{
    void send(int datagrams)
    {
        for (int i = 0; i < datagrams; ++i)
        {
            sender_.send(to_.control_, ping_message{1});
        }
    }

    boost::asio::io_context io_;
    metrics counters_;
    common_settings to_ = make_settings("receiver");
    control_link receiver_{io_, to_, 1, counters_};
    control_link sender_{io_, make_settings("sender"), 1, counters_};
    int received_ = 0;
};

} // namespace

// Guards against control datagrams being read one per turn of the event loop.
// An overloaded balancer also reads hundreds of data-path packets in each turn,
// so its control messages would be delayed.
TEST_CASE("one turn of the event loop reads many control datagrams")
{
    link_pair links;
    links.receiver_.start([&](endpoint const&, std::uint64_t,
                              control_message const&) { ++links.received_; });
    links.send(50);
    links.io_.run_one();
    CHECK(links.received_ == 50);
}

TEST_CASE("control datagrams over the limit of a turn are read in later turns")
{
    link_pair links;
    links.receiver_.start([&](endpoint const&, std::uint64_t,
                              control_message const&) { ++links.received_; });
    links.send(400);
    links.io_.run_one();
    CHECK(links.received_ < 400);
    links.io_.poll();
    CHECK(links.received_ == 400);
}

TEST_CASE("a link that is stopped by a message handler stops reading")
{
    link_pair links;
    links.receiver_.start(
        [&](endpoint const&, std::uint64_t, control_message const&)
        {
            ++links.received_;
            links.receiver_.stop();
        });
    links.send(20);
    links.io_.run();
    CHECK(links.received_ == 1);
}
