// Tests of flow_judge: it reports foreign resets and misrouted flows, and
// excludes flows of disturbed machines.
#include "support/flow_judge.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

constexpr flow_judge::flow_id flow = 1'024;
constexpr int owner = 1;
constexpr int other = 2;
constexpr int balancer = -1;

time_point at(int ms)
{
    return time_point{} + std::chrono::milliseconds(ms);
}

// The flow is open with `owner` and was sent through `balancer`.
flow_judge make_judge()
{
    flow_judge judge;
    judge.on_open(flow, owner, at(10'000));
    judge.on_sent(flow, balancer, at(20'000));
    return judge;
}

// Returns a judge of a flow whose packets reached another server at these
// times.
flow_judge misrouted_at(std::initializer_list<int> times)
{
    auto judge = make_judge();
    for (auto const time : times)
    {
        judge.on_delivered(flow, other, at(time));
    }
    return judge;
}

} // namespace

TEST_CASE("a reset that the flow's own server didn't send is a violation")
{
    auto judge = make_judge();
    SUBCASE("by a balancer")
    {
        judge.on_reset(flow, 0, at(20'001));
        CHECK(judge.violations().size() == 1);
    }
    SUBCASE("by another server")
    {
        judge.on_reset(flow, other, at(20'001));
        CHECK(judge.violations().size() == 1);
    }
    SUBCASE("but not by its own")
    {
        judge.on_reset(flow, owner, at(20'001));
        CHECK(judge.violations().empty());
    }
    SUBCASE("and not of a flow that has ended or never opened")
    {
        judge.on_end(flow);
        judge.on_reset(flow, 0, at(20'001));
        judge.on_reset(flow + 1, 0, at(20'001));
        CHECK(judge.violations().empty());
    }
}

TEST_CASE("a reset isn't judged while a machine of the flow was disturbed")
{
    auto judge = make_judge();
    auto const disturbed_until = [&](int machine, int ms)
    {
        judge.on_disturbance(machine, at(ms - 500), at(ms));
    };
    SUBCASE("the flow's server")
    {
        disturbed_until(owner, 15'001);
        judge.on_reset(flow, 0, at(20'001));
        CHECK(judge.violations().empty());
    }
    SUBCASE("the balancer of the flow's packets")
    {
        disturbed_until(balancer, 15'001);
        judge.on_reset(flow, 0, at(20'001));
        CHECK(judge.violations().empty());
    }
    SUBCASE("the sender of the reset")
    {
        disturbed_until(other, 15'001);
        judge.on_reset(flow, other, at(20'001));
        CHECK(judge.violations().empty());
    }
    SUBCASE("but is judged after the recovery time")
    {
        disturbed_until(owner, 15'000);
        disturbed_until(balancer - 1, 20'000);
        judge.on_reset(flow, 0, at(20'001));
        CHECK(judge.violations().size() == 1);
    }
}

TEST_CASE("a flow misrouted for two seconds and three packets is one violation")
{
    auto judge = misrouted_at({20'000, 20'500, 21'999});
    CHECK(judge.violations().empty());
    SUBCASE("found at the next misrouted packet")
    {
        judge.on_delivered(flow, other, at(22'000));
        judge.on_delivered(flow, other, at(23'000));
        CHECK(judge.violations().size() == 1);
    }
    SUBCASE("found at the next packet that reaches its own server")
    {
        judge.on_delivered(flow, owner, at(22'000));
        CHECK(judge.violations().size() == 1);
    }
    SUBCASE("but not if a packet reaches its own server in time")
    {
        judge.on_delivered(flow, owner, at(21'999));
        judge.on_delivered(flow, other, at(22'500));
        CHECK(judge.violations().empty());
    }
    SUBCASE("but not while its server is paused")
    {
        judge.on_disturbance(owner, at(21'000), at(21'300));
        judge.on_delivered(flow, other, at(22'000));
        CHECK(judge.violations().empty());
    }
}

TEST_CASE("two misrouted packets are no violation")
{
    auto judge = misrouted_at({20'000, 23'000});
    judge.on_delivered(flow, owner, at(24'000));
    CHECK(judge.violations().empty());
}

TEST_CASE("flows whose server has ended are counted as reset or timed out")
{
    auto judge = make_judge();
    judge.on_open(flow + 1, owner, at(10'000));
    judge.on_open(flow + 2, other, at(10'000));
    judge.on_server_end(owner);
    judge.on_sent(flow, balancer, at(21'000));
    judge.on_sent(flow, balancer, at(21'200));
    judge.on_reset(flow, 0, at(21'300));
    judge.on_timeout(flow + 1);
    judge.on_timeout(flow + 2);
    CHECK(judge.violations().empty());
    REQUIRE(judge.ownerless_reset_delays().size() == 1);
    CHECK(judge.ownerless_reset_delays().front() ==
          std::chrono::milliseconds(300));
    CHECK(judge.timed_out_ownerless_flow_count() == 1);
    CHECK(judge.timed_out_flow_count() == 1);
    CHECK(judge.judged_flow_count() == 3);
}

} // namespace daisytrail
