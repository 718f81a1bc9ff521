// Tests of SYNs whose route changes while they are retransmitted. CONFIG broke
// when copies of SYNs that waited at agents of a route's former service still
// went there: the target that was chosen for the first SYN was kept without
// regard to the version adopted since.
#include "forwarding_fixture.hpp"

#include <daisytrail/placement.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view next_service = "org/orders-next";

// A route of one service, with targets of another one besides.
struct reroute_fixture : forwarding_fixture
{
    reroute_fixture()
    {
        add_target("one");
        add_target("two");
    }

    void add_next_target(std::string const& name)
    {
        auto record = target_record{};
        record.name_ = name;
        record.target_ = hash_name(name);
        record.service_ = hash_name(next_service);
        record.failure_domain_ = "a";
        record.slots_ = 4;
        record.state_ = member_state::ready;
        record.version_ = {1, ++sequence_};
        directory_.apply(record);
        report(name, {});
    }

    // Puts a version in force with these shares of the route; none: the route
    // is dropped.
    void route_to(std::vector<route_share> const& shares)
    {
        organisation_template organisation{"org", {}, {}};
        if (!shares.empty())
        {
            organisation.routes_.push_back({"main", vip, shares});
        }
        directory_.apply(organisation, ++version_);
    }

    void route_to(std::string_view service)
    {
        route_to({{hash_name(service), 1}});
    }

    // Opens a flow whose SYN waits at its target's agent.
    forward_target* open_waiting(std::uint16_t port)
    {
        auto* const target = send(syn(port)).target_;
        forwarder_->on_syn_waits(syn(port).flow_from_caller(),
                                 target->record_.target_);
        return target;
    }

    // Sends a copy of the SYN as late as a caller does.
    forward_action send_copy(std::uint16_t port, std::uint8_t copy)
    {
        now_ += copy == 1 ? 200ms : 400ms;
        for (auto const* name : {"one", "two", "next"})
        {
            directory_.mark_responsive(hash_name(name));
        }
        return send(syn(port, copy));
    }

    static bool serves(forward_action const& action, std::string_view service)
    {
        return action.step_ == forward_step::send &&
               action.target_->record_.service_ == hash_name(service);
    }

    template_version version_ = 1;
};

} // namespace

TEST_CASE_FIXTURE(reroute_fixture,
                  "a copy of a waiting SYN goes to the service that the route "
                  "leads to now")
{
    add_next_target("next");
    add_next_target("another");
    open_waiting(1);
    route_to(next_service);
    auto const copy = send_copy(1, 1);
    CHECK(serves(copy, next_service));
    CHECK(copy.cause_ == forward_cause::rerouted);
    CHECK(serves(send_copy(1, 2), next_service));
}

TEST_CASE_FIXTURE(reroute_fixture,
                  "a copy within the SYN timeout goes to the service that the "
                  "route leads to now")
{
    add_next_target("next");
    send(syn(1));
    route_to(next_service);
    now_ += 100ms;
    CHECK(serves(send(syn(1, 1)), next_service));
}

// The first SYN comes back after a copy moved the flow, and would go on to the
// target of that copy.
TEST_CASE_FIXTURE(reroute_fixture,
                  "a returned SYN goes to the service that the route leads to "
                  "now")
{
    add_next_target("next");
    auto* const first = send(syn(1)).target_;
    now_ += 200ms;
    auto const moved = send(syn(1, 1));
    REQUIRE(moved.cause_ == forward_cause::moved);
    REQUIRE(moved.target_ != first);
    route_to(next_service);
    auto const returned =
        return_packet(syn(1), first, return_reason::not_accepting);
    CHECK(serves(returned, next_service));
}

TEST_CASE_FIXTURE(reroute_fixture,
                  "a route that is dropped and added again for another service "
                  "leads copies there")
{
    add_next_target("next");
    open_waiting(1);
    route_to(std::vector<route_share>{});
    route_to(next_service);
    CHECK(serves(send_copy(1, 1), next_service));
}

TEST_CASE_FIXTURE(reroute_fixture,
                  "changed weights move only the copies of flows that they "
                  "move")
{
    add_next_target("next");
    constexpr std::uint16_t flows = 200;
    std::vector<forward_target*> before;
    for (std::uint16_t port = 0; port < flows; ++port)
    {
        before.push_back(open_waiting(port));
    }
    std::vector<route_share> const shares{{hash_name(service_name), 1},
                                          {hash_name(next_service), 1}};
    route_to(shares);
    int moved = 0;
    now_ += 200ms;
    for (std::uint16_t port = 0; port < flows; ++port)
    {
        directory_.mark_responsive(hash_name("one"));
        directory_.mark_responsive(hash_name("two"));
        auto const copy = send(syn(port, 1));
        auto const service =
            choose_service(*directory_.find_route(vip),
                           hash_flow(syn(port).flow_from_caller()));
        REQUIRE(copy.step_ == forward_step::send);
        CHECK(copy.target_->record_.service_ == service);
        bool const stays = service == hash_name(service_name);
        CHECK((copy.target_ == before[port]) == stays);
        moved += stays ? 0 : 1;
    }
    CHECK(moved > flows / 4);
    CHECK(moved < flows * 3 / 4);
}

// The target that the SYN waits at has done nothing wrong, so it may be chosen
// again.
TEST_CASE_FIXTURE(reroute_fixture,
                  "a route that changes back leads copies to the first service")
{
    add_next_target("next");
    directory_.apply(
        []
        {
            target_record gone;
            gone.name_ = "two";
            gone.target_ = hash_name("two");
            gone.service_ = hash_name(service_name);
            gone.state_ = member_state::left;
            gone.version_ = {1, 1'000};
            return gone;
        }());
    auto* const first = open_waiting(1);
    route_to(next_service);
    CHECK(serves(send_copy(1, 1), next_service));
    route_to(service_name);
    CHECK(send_copy(1, 2).target_ == first);
}

TEST_CASE_FIXTURE(reroute_fixture,
                  "a change that leaves the route's service moves no copy")
{
    auto* const first = open_waiting(1);
    route_to({{hash_name(service_name), 7}});
    auto const copy = send_copy(1, 1);
    CHECK(copy.target_ == first);
    CHECK(copy.cause_ == forward_cause::known);
}

TEST_CASE_FIXTURE(reroute_fixture, "an open flow stays where it is")
{
    add_next_target("next");
    auto* const first = send(syn(1)).target_;
    CHECK(send(packet(1)).target_ == first);
    route_to(next_service);
    CHECK(send(packet(1)).target_ == first);
}

// The first SYN may open the flow at the former target after a copy went
// elsewhere.
TEST_CASE_FIXTURE(reroute_fixture,
                  "a flow that opened at its former target is found there")
{
    auto* const first = open_waiting(1);
    SUBCASE("and its copies went to the new service")
    {
        add_next_target("next");
        route_to(next_service);
        CHECK(serves(send_copy(1, 1), next_service));
    }
    // A reset could reach the caller after the flow has opened.
    SUBCASE("and its copies were dropped, as the new service has no target")
    {
        route_to(next_service);
        CHECK(send_copy(1, 1).step_ == forward_step::drop);
        CHECK(send_copy(1, 2).step_ == forward_step::drop);
    }
    auto const data = send(packet(1));
    REQUIRE(data.step_ == forward_step::hold);
    CHECK(std::ranges::find(data.questions_, first) != data.questions_.end());
    auto const found =
        answer(packet(1), first->record_.name_, flow_ownership::held);
    CHECK(found.target_ == first);
    CHECK(send(packet(1)).target_ == first);
}
