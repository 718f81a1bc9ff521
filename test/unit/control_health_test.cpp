// Tests of the detection and reporting of silent balancers and of
// self-suspicion.
#include "../support/control_fleet.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

TEST_CASE("an isolated balancer reports the start and the end of its isolation")
{
    control_fleet fleet(41);
    build_fleet(fleet, 6, 9);
    auto& alone = fleet.at("b0");
    alone.partition_ = 1;
    CHECK(fleet.run_until(
              [&] { return alone.reports_[report_kind::balancers_silent] > 0; },
              seconds(5)) <= seconds(2));
    fleet.run_for(seconds(20));
    CHECK(alone.balancer_->health().suspects_self());
    CHECK(fleet.now() - alone.balancer_->health().last_received_at() >=
          seconds(20));
    alone.partition_ = 0;
    fleet.run_for(seconds(10));
    CHECK(!alone.balancer_->health().suspects_self());
    CHECK(alone.reports_[report_kind::balancers_silent] == 1);
    CHECK(alone.reports_[report_kind::balancers_reachable] == 1);
    CHECK(alone.reports_[report_kind::self_suspected] == 1);
    CHECK(alone.reports_[report_kind::self_suspicion_ended] == 1);
}

TEST_CASE("balancers that reach each other report no silence")
{
    for (int const balancers : {1, 2, 3, 18})
    {
        CAPTURE(balancers);
        control_fleet fleet(42);
        build_fleet(fleet, balancers, 4);
        fleet.run_for(seconds(30));
        CHECK(fleet.reports(report_kind::balancers_silent) == 0);
        CHECK(fleet.reports(report_kind::self_suspected) == 0);
    }
}

TEST_CASE("the round-trip time of a probe is measured once")
{
    time_point const start{seconds(5)};
    control_health health;
    CHECK(!health.on_pong(1, start));
    health.on_probe_sent(1, start);
    CHECK(health.on_pong(1, start + milliseconds(700)) == milliseconds(700));
    CHECK(!health.on_pong(1, start + milliseconds(701)));
}
