// Tests of control datagrams on an event loop that also handles data packets,
// with loopback sockets.
#include "forward/datagram_port.hpp"
#include "net/control_link.hpp"

#include <doctest/doctest.h>

#include <unistd.h>
#include <vector>

using namespace daisytrail;

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::uint64_t session = 1;

endpoint free_endpoint()
{
    asio::io_context io;
    udp::socket const socket(
        io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {asio::ip::address_v4::loopback().to_uint(),
            socket.local_endpoint().port()};
}

udp::endpoint to_udp(endpoint const& value)
{
    return {asio::ip::address_v4(value.address_), value.port_};
}

common_settings make_settings(std::string const& name)
{
    common_settings result;
    result.name_ = name;
    result.control_ = free_endpoint();
    result.keys_ = {std::string(64, 'a')};
    result.control_bytes_per_second_ = 1'000'000;
    return result;
}

} // namespace

// Guards against an event loop that handles hundreds of packets per control
// message. Balancers with little CPU time then received control messages
// seconds late and were declared dead while they were running.
TEST_CASE("control messages don't wait behind a backlog of packets")
{
    constexpr int messages = 200;
    constexpr int sent_packets = 400;
    asio::io_context io;
    metrics counters;
    auto const settings = make_settings("receiver");
    control_link sender(io, make_settings("sender"), session, counters);
    control_link receiver(io, settings, session, counters);
    auto const data_address = free_endpoint();
    datagram_port data(io, data_address);
    udp::socket caller_socket(io, udp::v4());
    std::array<std::byte, 8> const packet{};
    for (int i = 0; i < sent_packets; ++i)
    {
        caller_socket.send_to(asio::buffer(packet), to_udp(data_address));
    }
    for (int i = 0; i < messages; ++i)
    {
        sender.send(settings.control_, ping_message{});
    }
    int handled = 0;
    std::size_t packets = 0;
    std::size_t packets_before_last_message = 0;
    data.start([&](std::span<std::byte>, endpoint const&) { ++packets; },
               [] {});
    receiver.start(
        [&](endpoint const&, std::uint64_t, control_message const&)
        {
            ++handled;
            packets_before_last_message = packets;
        });
    while (io.poll_one() > 0)
    {
    }
    CHECK(packets == sent_packets);
    CHECK(handled == messages);
    CHECK(packets_before_last_message <= 2 * batch_size);
}

TEST_CASE("datagrams that the kernel drops are counted")
{
    auto const address = free_endpoint();
    int const full_socket = open_udp_socket(address);
    asio::io_context io;
    udp::socket sender(io, udp::v4());
    std::vector<std::byte> const datagram(max_datagram_bytes);
    CHECK(receive_drops(full_socket) == 0);
    // Exceeds the size of the receive buffer.
    for (int i = 0; i < 2 * socket_buffer_bytes / 1'024; ++i)
    {
        sender.send_to(asio::buffer(datagram), to_udp(address));
    }
    CHECK(receive_drops(full_socket) > 0);
    ::close(full_socket);
}
