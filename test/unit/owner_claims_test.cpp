// Tests of what shows that a backend server holds a flow.
#include <daisytrail/owner_claims.hpp>

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

struct claims_fixture
{
    // A packet goes to the backend server, whose socket is empty then.
    void offer(std::uint16_t port)
    {
        claims_.add(flow(port), balancer);
        claims_.on_sent(now_);
        claims_.on_emptied(now_);
    }

    void pass(duration time)
    {
        now_ += time;
    }

    time_point now_{1h};
    owner_claims claims_;
};

} // namespace

TEST_CASE_FIXTURE(claims_fixture,
                  "a backend server that runs and returns nothing holds the "
                  "flow")
{
    offer(1);
    pass(1ms);
    claims_.on_heard(now_);
    pass(29ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().empty());
    pass(1ms);
    claims_.on_emptied(now_);
    auto const held = claims_.take_held();
    REQUIRE(held.size() == 1);
    CHECK(held[0].flow_ == flow(1));
    CHECK(held[0].balancer_ == balancer);
    CHECK(claims_.empty());
}

// A slow agent read datagrams that the backend server had sent before it got
// the packet, and told that it holds the flow.
TEST_CASE_FIXTURE(claims_fixture,
                  "what was sent before the offer shows nothing")
{
    claims_.on_emptied(now_);
    claims_.add(flow(1), balancer);
    claims_.on_sent(now_ + 100ms);
    pass(200ms);
    claims_.on_heard(now_);
    pass(100ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().empty());
    claims_.on_heard(now_);
    pass(30ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().size() == 1);
}

// The returned packet waited in the socket while the agent stood still.
TEST_CASE_FIXTURE(claims_fixture,
                  "no flow is held while there may be more to read")
{
    offer(1);
    claims_.on_heard(now_ + 1ms);
    pass(500ms);
    CHECK(claims_.take_held().empty());
    CHECK(claims_.take(flow(1)) == balancer);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().empty());
}

TEST_CASE_FIXTURE(claims_fixture, "a silent backend server shows nothing")
{
    offer(1);
    for (int i = 0; i < 20; ++i)
    {
        pass(50ms);
        claims_.on_emptied(now_);
    }
    CHECK(claims_.take_held().empty());
}

TEST_CASE_FIXTURE(claims_fixture,
                  "a packet that was offered again counts from then on")
{
    offer(1);
    claims_.on_heard(now_);
    pass(20ms);
    offer(1);
    offer(2);
    pass(15ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().empty());
    claims_.on_heard(now_);
    pass(30ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().size() == 2);
}

TEST_CASE_FIXTURE(claims_fixture, "one sign of life after the last is enough")
{
    offer(1);
    claims_.on_heard(now_);
    pass(5ms);
    claims_.on_emptied(now_);
    claims_.on_heard(now_);
    pass(5ms);
    offer(2);
    claims_.on_heard(now_);
    pass(30ms);
    claims_.on_emptied(now_);
    CHECK(claims_.take_held().size() == 2);
}

// All questions were dropped together once there were 10,000.
TEST_CASE("the oldest claim makes room for the newest")
{
    owner_claims claims({.max_claims_ = 2});
    for (std::uint16_t port = 1; port < 4; ++port)
    {
        claims.add(flow(port), balancer);
    }
    CHECK_FALSE(claims.contains(flow(1)));
    CHECK(claims.contains(flow(2)));
    CHECK(claims.contains(flow(3)));
}

TEST_CASE_FIXTURE(claims_fixture, "claims that nothing shows are forgotten")
{
    offer(1);
    pass(6s);
    claims_.tick(now_);
    CHECK(claims_.empty());
}
