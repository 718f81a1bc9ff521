// Tests of placement: single decisions, and simulated load patterns.
#include "support/placement_model.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

struct placement_fixture
{
    forward_target& add(std::string const& name, std::string const& domain)
    {
        auto& target =
            targets_.emplace_back(std::make_unique<forward_target>());
        target->record_.name_ = name;
        target->record_.target_ = hash_name(name);
        target->record_.failure_domain_ = domain;
        target->record_.slots_ = 4;
        target->record_.state_ = member_state::ready;
        target->has_report_ = true;
        target->load_.accepts_ = true;
        target->load_.service_micros_ = 30'000;
        members_.push_back(target.get());
        return *target;
    }

    std::string place(std::uint64_t flow = 1, double kilobytes = 0.1,
                      bool is_long = false)
    {
        placement_request request;
        request.flow_hash_ = flow;
        request.own_domain_ = "a";
        request.kilobytes_ = kilobytes;
        request.is_long_ = is_long;
        request.now_ = time_point{std::chrono::hours(1)};
        auto const* target = place_flow(members_, request, {});
        return target == nullptr ? "" : target->record_.name_;
    }

    std::vector<std::unique_ptr<forward_target>> targets_;
    forward_directory::target_list members_;
};

placement_scenario uneven_service()
{
    placement_scenario scenario;
    scenario.speeds_ = {0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2};
    scenario.domains_ = {"a", "a", "a", "b", "b", "c", "c"};
    return scenario;
}

} // namespace

TEST_CASE_FIXTURE(placement_fixture, "the own failure domain is preferred")
{
    add("near", "a");
    add("far", "b");
    for (std::uint64_t flow = 1; flow < 50; ++flow)
    {
        CHECK(place(flow) == "near");
    }
}

TEST_CASE_FIXTURE(placement_fixture,
                  "small flows leave the domain if queueing costs more")
{
    add("near", "a").load_.in_flight_ = 12;
    add("far", "b");
    CHECK(place(1, 0.1) == "far");
    CHECK(place(1, 40) == "near");
}

TEST_CASE_FIXTURE(placement_fixture,
                  "a faster backend server gets more flows than a slower one")
{
    auto& fast = add("fast", "a");
    auto& slow = add("slow", "a");
    slow.load_.service_micros_ = 60'000;
    fast.load_.in_flight_ = 6;
    slow.load_.in_flight_ = 4;
    CHECK(place() == "fast");
}

TEST_CASE_FIXTURE(placement_fixture,
                  "long flows are placed by the number of open flows")
{
    auto& crowded = add("crowded", "a");
    auto& empty = add("empty", "a");
    crowded.load_.open_flows_ = 60;
    crowded.load_.mean_in_flight_ = 2;
    // Its load was higher a moment ago.
    empty.load_.open_flows_ = 20;
    empty.load_.mean_in_flight_ = 2.2;
    empty.load_.in_flight_ = 3;
    CHECK(place(1, 0.1, true) == "empty");
}

TEST_CASE_FIXTURE(placement_fixture,
                  "a backend server that fails at once attracts no flows")
{
    auto& failing = add("failing", "a");
    auto& healthy = add("sound", "a");
    failing.load_.service_micros_ = 500;
    failing.load_.failure_ratio_ = 0.4;
    healthy.load_.in_flight_ = 3;
    CHECK(place() == "sound");
}

TEST_CASE_FIXTURE(placement_fixture, "failures alone never exclude all targets")
{
    add("one", "a").load_.failure_ratio_ = 1;
    add("two", "a").load_.failure_ratio_ = 1;
    CHECK(place() != "");
}

TEST_CASE_FIXTURE(placement_fixture,
                  "targets that can't accept a flow aren't chosen")
{
    add("draining", "a").record_.state_ = member_state::draining;
    add("refusing", "a").load_.accepts_ = false;
    add("silent", "a").unanswered_since_ = time_point{};
    CHECK(place() == "");
    add("sound", "b");
    CHECK(place() == "sound");
}

TEST_CASE("new flows follow the weights of a route's shares")
{
    route_template route{"r", {1, 1}, {{1, 90}, {2, 10}}};
    int second = 0;
    for (std::uint64_t flow = 0; flow < 10'000; ++flow)
    {
        second += choose_service(route, flow * 0x9e3779b97f4a7c15ULL) == 2;
    }
    CHECK(second > 900);
    CHECK(second < 1'100);
}

TEST_CASE("load pattern: backend servers of unequal speed at a steady load")
{
    auto scenario = uneven_service();
    scenario.arrivals_per_ms_ = 0.55;
    auto const actual = run_placement(scenario, by_place_flow());
    MESSAGE("product p99 " << actual.p99_ms_ << " late " << actual.late_share_);
    CHECK(actual.p99_ms_ < run_placement(scenario, by_hash()).p99_ms_);
    CHECK(actual.p99_ms_ <
          run_placement(scenario, by_least_requests()).p99_ms_);
    CHECK(actual.late_share_ <
          run_placement(scenario, by_two_choices()).late_share_ + 0.01);
    CHECK(actual.late_share_ < 0.01);
}

TEST_CASE("load pattern: the peak of a swing comes close to the capacity")
{
    auto scenario = uneven_service();
    scenario.arrivals_per_ms_ = 0.5;
    scenario.peak_ = 1.55;
    for (scenario.seed_ = 1; scenario.seed_ < 4; ++scenario.seed_)
    {
        auto const actual = run_placement(scenario, by_place_flow());
        MESSAGE("product p99 " << actual.p99_ms_ << " late "
                               << actual.late_share_);
        CHECK(actual.late_share_ <
              run_placement(scenario, by_hash()).late_share_);
        CHECK(actual.late_share_ <
              run_placement(scenario, by_least_requests()).late_share_);
    }
}
