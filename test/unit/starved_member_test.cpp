// Tests of membership with a balancer that gets too little CPU time or is
// partitioned for a while.
#include "../support/control_fleet.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

std::string name(char kind, int index)
{
    return kind + std::to_string(index);
}

} // namespace

TEST_CASE("a starved balancer declares nobody dead and isn't declared dead")
{
    for (int const turn : {200, 400, 600, 900})
    {
        CAPTURE(turn);
        control_fleet fleet(71, 0.01);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 18, 60, "");
        auto& starved = fleet.at("b0");
        starved.turn_interval_ = milliseconds(turn);
        auto const before = fleet.dropped_over_budget();
        fleet.run_for(seconds(60));
        CHECK(fleet.reports(report_kind::member_dead) == 0);
        CHECK(fleet.reports(report_kind::declared_dead) == 0);
        CHECK(fleet.reports(report_kind::self_suspected) == 0);
        CHECK(fleet.dropped_over_budget() == before);
    }
}

TEST_CASE("a starved balancer learns of joins in time")
{
    for (int const turn : {200, 400, 600, 900})
    {
        CAPTURE(turn);
        control_fleet fleet(72, 0.01);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 18, 60, "");
        fleet.at("b0").turn_interval_ = milliseconds(turn);
        fleet.run_for(seconds(10));
        for (int i = 0; i < 20; ++i)
        {
            auto const joined = name('n', i);
            fleet.add_agent(joined, 7, "");
            auto const took = fleet.run_until(
                [&] {
                    return fleet.all_balancers_hold(joined,
                                                    member_state::ready);
                },
                seconds(10));
            CHECK(took <= seconds(2) + 3 * milliseconds(turn));
            fleet.run_for(milliseconds(300));
        }
    }
}

TEST_CASE("an isolated balancer keeps bytes in its budget to learn of changes")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.01);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 18, 60, "");
        fleet.run_for(seconds(20));
        auto& isolated = fleet.at("b0");
        auto const before = isolated.dropped_over_budget_;
        isolated.partition_ = 1;
        fleet.run_for(seconds(30));
        CHECK(isolated.dropped_over_budget_ == before);
        for (int i = 0; i < 10; ++i)
        {
            fleet.add_agent(name('n', i), 7, "");
        }
        fleet.run_for(seconds(3));
        isolated.partition_ = 0;
        auto const has_all_members = [&]
        {
            return isolated.balancer_->members().all().size() >= 18 + 60 + 10;
        };
        CHECK(fleet.run_until(has_all_members, seconds(20)) <= seconds(2));
        CHECK(
            fleet.run_until(
                [&]
                { return fleet.all_balancers_hold("b0", member_state::ready); },
                seconds(20)) <= seconds(2));
    }
}

TEST_CASE("a balancer that was declared dead is notified within 400 ms")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.01);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 18, 60, "");
        fleet.run_for(seconds(30)); // until reconnection attempts are rare
        auto& cut = fleet.at("b0");
        cut.partition_ = 1;
        fleet.run_for(seconds(10) + seed * milliseconds(100));
        REQUIRE(fleet.at("b1").balancer_->members().balancers().size() == 17);
        cut.partition_ = 0;
        CHECK(fleet.run_until(
                  [&] { return cut.reports_[report_kind::declared_dead] > 0; },
                  seconds(20)) <= milliseconds(400));
    }
}
