// Tests of the checks that confirm that a backend server holds a flow.
#include <daisytrail/ownership_checks.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint balancer{1, 1};

flow_key flow(std::uint16_t port)
{
    return {{2, port}, {3, 443}};
}

struct checks_fixture
{
    // Sends a packet to the backend server and then empties its socket.
    void offer(std::uint16_t port)
    {
        checks_.add(flow(port), balancer);
        checks_.on_packets_sent(now_);
        checks_.on_socket_emptied(now_);
    }

    void advance_time(duration time)
    {
        now_ += time;
    }

    time_point now_{1h};
    ownership_checks checks_;
};

} // namespace

TEST_CASE_FIXTURE(checks_fixture,
                  "a running backend server that doesn't return the packet "
                  "holds the flow")
{
    offer(1);
    advance_time(1ms);
    checks_.on_datagram_read(now_);
    advance_time(29ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().empty());
    advance_time(1ms);
    checks_.on_socket_emptied(now_);
    auto const held = checks_.take_confirmed();
    REQUIRE(held.size() == 1);
    CHECK(held[0].flow_ == flow(1));
    CHECK(held[0].balancer_ == balancer);
    CHECK(checks_.empty());
}

// Guards against a wrong confirmation by a slow agent: it reads datagrams that
// the backend server sent before it got the packet.
TEST_CASE_FIXTURE(checks_fixture,
                  "datagrams sent before the packet was offered prove nothing")
{
    checks_.on_socket_emptied(now_);
    checks_.add(flow(1), balancer);
    checks_.on_packets_sent(now_ + 100ms);
    advance_time(200ms);
    checks_.on_datagram_read(now_);
    advance_time(100ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().empty());
    checks_.on_datagram_read(now_);
    advance_time(30ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().size() == 1);
}

// Guards against a wrong confirmation by an agent that was suspended: the
// returned packet is still in the socket.
TEST_CASE_FIXTURE(checks_fixture,
                  "no flow is confirmed while the socket may hold datagrams")
{
    offer(1);
    checks_.on_datagram_read(now_ + 1ms);
    advance_time(500ms);
    CHECK(checks_.take_confirmed().empty());
    CHECK(checks_.take(flow(1)) == balancer);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().empty());
}

TEST_CASE_FIXTURE(checks_fixture, "a silent backend server confirms nothing")
{
    offer(1);
    for (int i = 0; i < 20; ++i)
    {
        advance_time(50ms);
        checks_.on_socket_emptied(now_);
    }
    CHECK(checks_.take_confirmed().empty());
}

TEST_CASE_FIXTURE(checks_fixture,
                  "a check starts over if the packet is offered again")
{
    offer(1);
    checks_.on_datagram_read(now_);
    advance_time(20ms);
    offer(1);
    offer(2);
    advance_time(15ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().empty());
    checks_.on_datagram_read(now_);
    advance_time(30ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().size() == 2);
}

TEST_CASE_FIXTURE(checks_fixture,
                  "one datagram read after the last packet is enough")
{
    offer(1);
    checks_.on_datagram_read(now_);
    advance_time(5ms);
    checks_.on_socket_emptied(now_);
    checks_.on_datagram_read(now_);
    advance_time(5ms);
    offer(2);
    checks_.on_datagram_read(now_);
    advance_time(30ms);
    checks_.on_socket_emptied(now_);
    CHECK(checks_.take_confirmed().size() == 2);
}

// Guards against a fault by which all checks were dropped once there were
// 10,000 of them.
TEST_CASE("the oldest check is dropped for a new one")
{
    ownership_checks checks({.max_checks_ = 2});
    for (std::uint16_t port = 1; port < 4; ++port)
    {
        checks.add(flow(port), balancer);
    }
    CHECK_FALSE(checks.contains(flow(1)));
    CHECK(checks.contains(flow(2)));
    CHECK(checks.contains(flow(3)));
}

TEST_CASE_FIXTURE(checks_fixture, "checks that aren't confirmed time out")
{
    offer(1);
    advance_time(6s);
    checks_.tick(now_);
    CHECK(checks_.empty());
}
