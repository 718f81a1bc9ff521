// Tests of membership and of the dissemination of templates in virtual time.
#include "../support/control_fleet.hpp"

#include <daisytrail/flow_forwarder.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

constexpr double heavy_loss = 0.05;

std::string name(char kind, int index)
{
    return kind + std::to_string(index);
}

} // namespace

TEST_CASE("all processes discover each other from three seeds despite loss")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 14);
        for (int i = 0; i < 14; ++i)
        {
            CHECK(fleet.all_balancers_hold(name('t', i), member_state::ready));
            CHECK(fleet.at(name('t', i)).member_view_.size() == 13);
        }
        for (int i = 0; i < 4; ++i)
        {
            CHECK(fleet.at(name('b', i))
                      .balancer_->members()
                      .balancers()
                      .size() == 4);
        }
    }
}

TEST_CASE("a join is known to every balancer within 2 s")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 10);
        fleet.add_agent("late", 7);
        CHECK(fleet.run_until(
                  [&] {
                      return fleet.all_balancers_hold("late",
                                                      member_state::ready);
                  },
                  seconds(5)) <= seconds(2));
    }
}

TEST_CASE("a draining target is known to every balancer within 2 s")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 10);
        fleet.publish(fleet.at("t3"), member_state::draining);
        CHECK(fleet.run_until(
                  [&] {
                      return fleet.all_balancers_hold("t3",
                                                      member_state::draining);
                  },
                  seconds(5)) <= seconds(2));
    }
}

TEST_CASE("the death of a target is known everywhere within 5 s")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 10);
        fleet.at("t3").is_alive_ = false;
        CHECK(fleet.run_until(
                  [&] {
                      return fleet.all_balancers_hold("t3", member_state::dead);
                  },
                  seconds(10)) <= seconds(5));
        fleet.run_for(seconds(2));
        for (int i = 0; i < 10; ++i)
        {
            auto& agent = fleet.at(name('t', i));
            CHECK((i == 3 || agent.member_view_.at(hash_name("t3")).state_ ==
                                 member_state::dead));
        }
    }
}

TEST_CASE("the death of a balancer is known everywhere within 5 s")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 10);
        fleet.at("b1").is_alive_ = false;
        CHECK(fleet.run_until(
                  [&] {
                      return fleet.all_balancers_hold("b1", member_state::dead);
                  },
                  seconds(10)) <= seconds(5));
    }
}

TEST_CASE("no live member is declared dead within 10 minutes despite loss")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 21);
        fleet.run_for(std::chrono::minutes(10));
        CHECK(fleet.reports(report_kind::member_dead) == 0);
        CHECK(fleet.reports(report_kind::declared_dead) == 0);
    }
}

TEST_CASE("members that pause repeatedly don't get other targets declared dead")
{
    control_fleet fleet(4, heavy_loss);
    build_fleet(fleet, 4, 12);
    for (int round = 0; round < 20; ++round)
    {
        auto& balancer = fleet.at(name('b', round % 4));
        balancer.is_paused_ = true;
        fleet.at("t0").is_paused_ = true;
        fleet.run_for(seconds(6));
        balancer.is_paused_ = false;
        fleet.at("t0").is_paused_ = false;
        fleet.run_for(seconds(6));
    }
    for (int i = 1; i < 12; ++i)
    {
        CHECK(fleet.at(name('t', i)).reports_[report_kind::declared_dead] == 0);
    }
}

TEST_CASE("a paused target comes back under a higher incarnation")
{
    control_fleet fleet(5, heavy_loss);
    build_fleet(fleet, 3, 6);
    auto& agent = fleet.at("t2");
    agent.is_paused_ = true;
    fleet.run_for(seconds(8));
    REQUIRE(fleet.all_balancers_hold("t2", member_state::dead));
    agent.is_paused_ = false;
    CHECK(fleet.run_until(
              [&]
              { return fleet.all_balancers_hold("t2", member_state::ready); },
              seconds(10)) <= seconds(5));
    CHECK(agent.self().version_.incarnation_ > 1);
}

TEST_CASE("a paused balancer declares nobody dead when it resumes")
{
    control_fleet fleet(6, heavy_loss);
    build_fleet(fleet, 4, 10);
    auto& balancer = fleet.at("b2");
    balancer.is_paused_ = true;
    fleet.run_for(seconds(30));
    balancer.is_paused_ = false;
    fleet.run_for(seconds(10));
    CHECK(balancer.reports_[report_kind::member_dead] == 0);
    CHECK(balancer.reports_[report_kind::paused] == 1);
    CHECK(fleet.all_balancers_hold("b2", member_state::ready));
}

TEST_CASE("an isolated balancer keeps its last view")
{
    control_fleet fleet(7, heavy_loss);
    build_fleet(fleet, 4, 10);
    auto& isolated = fleet.at("b0");
    isolated.partition_ = 1;
    fleet.run_for(seconds(30));
    CHECK(isolated.reports_[report_kind::member_dead] == 0);
    CHECK(isolated.reports_[report_kind::self_suspected] > 0);
    CHECK(isolated.balancer_->members().balancers().size() == 4);
    isolated.partition_ = 0;
    CHECK(fleet.run_until(
              [&]
              { return fleet.all_balancers_hold("b0", member_state::ready); },
              seconds(30)) < seconds(30));
}

void check_smaller_side(std::uint64_t seed)
{
    CAPTURE(seed);
    control_fleet fleet(seed, heavy_loss);
    build_fleet(fleet, 6, 9);
    for (auto const* small : {"b0", "b1", "t0", "t1", "t2"})
    {
        fleet.at(small).partition_ = 1;
    }
    fleet.run_for(seconds(40));
    CHECK(fleet.at("b0").reports_[report_kind::member_dead] == 0);
    CHECK(fleet.at("b1").reports_[report_kind::member_dead] == 0);
    CHECK(fleet.at("b5").balancer_->members().balancers().size() == 4);
    for (auto const* small : {"b0", "b1", "t0", "t1", "t2"})
    {
        fleet.at(small).partition_ = 0;
    }
    fleet.run_for(seconds(30));
    for (int i = 0; i < 9; ++i)
    {
        CHECK(fleet.all_balancers_hold(name('t', i), member_state::ready));
    }
}

TEST_CASE("the smaller side of a partition declares nobody dead")
{
    for (std::uint64_t seed = 14; seed < 34; ++seed)
    {
        check_smaller_side(seed);
    }
}

TEST_CASE("the two sides of a healed partition agree again")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 10);
        for (auto const* half : {"b0", "b1", "t0", "t1", "t2", "t3", "t4"})
        {
            fleet.at(half).partition_ = 1;
        }
        fleet.run_for(seconds(60));
        fleet.offer(fleet.at("b0"), 9, "new");
        fleet.run_for(seconds(3));
        CHECK(fleet.at("t0").templates_["org"] == 9);
        CHECK(fleet.at("t9").templates_["org"] == 0);
        for (auto const* half : {"b0", "b1", "t0", "t1", "t2", "t3", "t4"})
        {
            fleet.at(half).partition_ = 0;
        }
        fleet.run_for(seconds(15));
        CHECK(fleet.at("t9").templates_["org"] == 9);
        for (int i = 0; i < 10; ++i)
        {
            CHECK(fleet.all_balancers_hold(name('t', i), member_state::ready));
        }
        for (int i = 0; i < 4; ++i)
        {
            CHECK(fleet.all_balancers_hold(name('b', i), member_state::ready));
        }
    }
}

TEST_CASE("the only balancer declares a death without confirmation")
{
    control_fleet fleet(8);
    build_fleet(fleet, 1, 4);
    fleet.at("t1").is_alive_ = false;
    CHECK(fleet.run_until(
              [&]
              { return fleet.all_balancers_hold("t1", member_state::dead); },
              seconds(10)) <= seconds(5));
}

TEST_CASE("targets stay alive while all balancers but one fail")
{
    control_fleet fleet(9, heavy_loss);
    build_fleet(fleet, 3, 9);
    fleet.at("b0").is_alive_ = false;
    fleet.at("b1").is_alive_ = false;
    fleet.run_for(seconds(30));
    CHECK(fleet.reports(report_kind::declared_dead) == 0);
    fleet.publish(fleet.at("t5"), member_state::draining);
    CHECK(fleet.run_until(
              [&] {
                  return fleet.all_balancers_hold("t5", member_state::draining);
              },
              seconds(5)) <= seconds(2));
}

TEST_CASE("a template is adopted everywhere within 5 s and never reverted")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 12);
        fleet.offer(fleet.at("b0"), 5, std::string(4'500, 'x'));
        auto const adopted = [&](template_version expected)
        {
            return fleet.all_of([expected](process& each)
                                { return each.templates_["org"] == expected; });
        };
        CHECK(fleet.run_until([&] { return adopted(5); }, seconds(10)) <=
              seconds(5));
        fleet.offer(fleet.at("b3"), 4, "older");
        fleet.run_for(seconds(5));
        CHECK(adopted(5));
        CHECK(fleet.reports(report_kind::refused_older) == 1);
    }
}

// CONFIG after a restoration: balancers that know different histories of the
// store, cut off or just started, bring an older template back by gossip.
TEST_CASE("an older template comes back by gossip after a restoration")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        control_fleet fleet(seed, heavy_loss);
        build_fleet(fleet, 4, 8);
        auto const runs_everywhere = [&](template_version expected)
        {
            return fleet.all_of([expected](process& each)
                                { return each.templates_["org"] == expected; });
        };
        fleet.offer(fleet.at("b0"), 9, "in the copy");
        fleet.run_for(seconds(5));
        fleet.at("b3").partition_ = 1; // holds version 9 from now on
        fleet.offer(fleet.at("b0"), 12, "lost by the store");
        fleet.run_for(seconds(5));
        // The restored store shows the copy to a balancer that runs 12.
        fleet.offer(fleet.at("b1"), 9, "in the copy");
        fleet.at("b3").partition_ = 0;
        // One that has just started reads the copy before it meets the others.
        auto& young = fleet.add_balancer("young");
        fleet.offer(young, 9, "in the copy");
        fleet.run_for(seconds(8));
        CHECK(runs_everywhere(12));
        fleet.offer(young, 15, "after the restoration");
        CHECK(fleet.run_until([&] { return runs_everywhere(15); },
                              seconds(10)) <= seconds(5));
    }
}

TEST_CASE("a process that starts late receives templates from its peers")
{
    control_fleet fleet(11, heavy_loss);
    build_fleet(fleet, 3, 4);
    fleet.offer(fleet.at("b0"), 5, std::string(2'500, 'x'));
    fleet.run_for(seconds(3));
    auto& balancer = fleet.add_balancer("late");
    auto& agent = fleet.add_agent("young", 7);
    fleet.run_for(seconds(6));
    CHECK(balancer.templates_["org"] == 5);
    CHECK(agent.templates_["org"] == 5);
}

TEST_CASE(
    "balancers that are all replaced at once learn the view from the agents")
{
    control_fleet fleet(12, heavy_loss);
    build_fleet(fleet, 3, 8);
    fleet.offer(fleet.at("b0"), 5, "x");
    fleet.run_for(seconds(3));
    for (int i = 0; i < 3; ++i)
    {
        fleet.restart_balancer(name('b', i));
    }
    fleet.run_for(seconds(12));
    for (int i = 0; i < 8; ++i)
    {
        CHECK(fleet.all_balancers_hold(name('t', i), member_state::ready));
    }
    CHECK(fleet.at("b1").templates_["org"] == 5);
}

TEST_CASE("the traffic of an idle process doesn't grow with the fleet")
{
    auto const rate = [](int balancers, int agents)
    {
        control_fleet fleet(13);
        build_fleet(fleet, balancers, agents);
        fleet.run_for(seconds(20));
        auto const before = fleet.messages();
        fleet.run_for(seconds(20));
        return static_cast<double>(fleet.messages() - before) /
               (20.0 * (balancers + agents));
    };
    CHECK(rate(40, 80) <= 1.2 * rate(10, 20));
}

// Load pattern: a rolling release replaces all backend servers one after the
// other, in a fleet whose processes may send 9 KB/s each.
TEST_CASE("a rolling release is known everywhere within 2 s on the byte budget")
{
    control_fleet fleet(17);
    fleet.limit_control_bytes(9'000);
    constexpr int agents = 56;
    build_fleet(fleet, 21, agents, "");
    auto const at_start = fleet.dropped_over_budget();
    for (int i = 0; i < agents; ++i)
    {
        auto const replaced = name('t', i);
        auto const replacement = name('n', i);
        fleet.publish(fleet.at(replaced), member_state::draining);
        fleet.add_agent(replacement, 7, "");
        auto const took = fleet.run_until(
            [&]
            {
                return fleet.all_balancers_hold(replacement,
                                                member_state::ready) &&
                       fleet.all_balancers_hold(replaced,
                                                member_state::draining);
            },
            seconds(4));
        CHECK_MESSAGE(took <= seconds(2), "replacement " << i);
        fleet.publish(fleet.at(replaced), member_state::left);
        fleet.run_for(milliseconds(300));
        fleet.at(replaced).is_alive_ = false;
    }
    CHECK(fleet.dropped_over_budget() == at_start);
}

// Load pattern: all processes restart at once after a loss of power.
TEST_CASE("after a loss of power 21 balancers discover 56 targets within their "
          "learning time")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.01);
        fleet.limit_control_bytes(9'000);
        for (int i = 0; i < 21; ++i)
        {
            fleet.add_balancer(name('b', i));
        }
        for (int i = 0; i < 56; ++i)
        {
            fleet.add_agent(name('t', i), 7, "");
        }
        auto const has_all = [](process& each)
        {
            return !each.balancer_ ||
                   each.balancer_->members().all().size() == 21 + 56;
        };
        auto const took =
            fleet.run_until([&] { return fleet.all_of(has_all); }, seconds(10));
        CHECK(took <= flow_forwarder_settings{}.discovery_timeout_);
    }
}

// A balancer refuses no flow until it has discovered all targets or its
// learning time has passed.
TEST_CASE("a new balancer discovers 56 targets within its learning time")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 21, 56, "");
        fleet.add_balancer("late");
        auto const took = fleet.run_until(
            [&]
            {
                auto const& all = fleet.at("late").balancer_->members().all();
                return all.size() == 21 + 56 + 1;
            },
            seconds(10));
        CHECK(took <= flow_forwarder_settings{}.discovery_timeout_);
    }
}

// Load pattern: all processes of a large fleet restart at once, and their
// messages about members use up their byte budgets.
// Regression (issue 16): the notice of a template change was dropped over
// budget.
TEST_CASE("a template change is known everywhere while a large fleet starts")
{
    constexpr int balancers = 75;
    control_fleet fleet(31);
    fleet.limit_control_bytes(9'000);
    for (int i = 0; i < balancers; ++i)
    {
        fleet.add_balancer(name('b', i));
    }
    for (int i = 0; i < 150; ++i)
    {
        fleet.add_agent(name('t', i), 7, "");
    }
    for (template_version change = 1; change <= 8; ++change)
    {
        CAPTURE(change);
        fleet.run_for(seconds(2));
        fleet.offer(fleet.at("b0"), change, std::string(400, 'x'));
        auto const is_notified = [&](process& each)
        {
            return !each.balancer_ || each.templates_["org"] == change ||
                   each.balancer_->templates().is_overdue({}, fleet.now());
        };
        CHECK(fleet.run_until([&] { return fleet.all_of(is_notified); },
                              seconds(10)) <= seconds(2));
    }
    CHECK(fleet.dropped_over_budget() > 0);
}
