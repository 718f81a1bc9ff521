// Tests of the limits of open and half-open flows, and of the placement of new
// flows on other agents.
#include "flow_fleet.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

TEST_CASE("a full agent places new flows on the next candidate")
{
    fleet agents;
    flow_options options;
    options.max_open_flows_ = 50;
    auto const view = make_records(3);
    agents.start_all(view, options);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 150);
    std::map<target_id, int> counts;
    for (auto const& [port, owner] : owners)
    {
        ++counts[owner];
    }
    for (auto const& record : view)
    {
        CHECK(counts[record.target_] <= 50);
    }
    CHECK(counts[0] == 150 - counts[view[0].target_] - counts[view[1].target_] -
                           counts[view[2].target_]);
    agents.run(sync_time);
    for (auto const& [port, owner] : owners)
    {
        if (owner != 0)
        {
            CHECK(agents.send(view, make_ack(port)).at_ == owner);
            // A retransmitted SYN reaches the agent on which the flow was
            // placed.
            CHECK(agents.send(view, make_syn(port)).at_ == owner);
        }
    }
}

TEST_CASE("a placed flow is found before its owner has notified its peers")
{
    fleet agents;
    flow_options options;
    options.max_open_flows_ = 1;
    auto const view = make_records(3);
    agents.start_all(view, options);
    agents.run(sync_time);
    int placed = 0;
    for (int i = 0; i < 40; ++i)
    {
        auto const head = service_table(view)
                              .pick(hash_flow(make_syn(port_of(i)).flow_))
                              .candidates_[0]
                              .target_;
        auto const owner = agents.open(view, port_of(i));
        if (owner == 0 || owner == head)
        {
            continue;
        }
        ++placed;
        // The view of the balancer lacks the owner.
        auto without = view;
        std::erase_if(without, [owner](target_record const& record)
                      { return record.target_ == owner; });
        CHECK(agents.send(without, make_ack(port_of(i))).at_ == owner);
    }
    CHECK(placed > 0);
}

TEST_CASE("a target that joins loaded targets gets the new flows")
{
    fleet agents;
    auto view = make_records(2);
    agents.start_all(view);
    agents.run(sync_time);
    auto owners = open_flows(agents, view, 1'000);
    view.push_back(make_record(3));
    agents.start(view.back(), view);
    agents.set_view(view);
    agents.run(1'500ms);
    for (int i = 1'000; i < 1'600; ++i)
    {
        owners[port_of(i)] = agents.open(view, port_of(i));
        agents.run(20ms);
        CHECK(agents.send(view, make_syn(port_of(i))).at_ ==
              owners[port_of(i)]);
    }
    // Rendezvous hashing alone would result in 700, 700 and 200 flows.
    for (auto const& record : view)
    {
        auto const open = agents.at(record.target_).open_flows();
        CHECK(open >= 480);
        CHECK(open <= 590);
    }
    CHECK(count_broken(agents, view, owners) == 0);
}

TEST_CASE("evenly loaded targets place no flows on other targets")
{
    fleet agents;
    auto const view = make_records(4);
    agents.start_all(view);
    agents.run(1'500ms);
    int placed = 0;
    for (int i = 0; i < 4'000; ++i)
    {
        auto const flow = make_syn(port_of(i)).flow_;
        auto const first =
            service_table(view).pick(hash_flow(flow)).candidates_[0].target_;
        placed += agents.open(view, port_of(i)) != first ? 1 : 0;
        if (i % 20 == 0)
        {
            agents.run(20ms);
        }
    }
    CHECK(placed < 40);
}

TEST_CASE("a service at its connection limit drops SYNs with that reason")
{
    fleet agents;
    flow_options options;
    options.max_open_flows_ = 1;
    auto const view = make_records(1);
    agents.start_all(view, options);
    CHECK(agents.open(view, 1) == view[0].target_);
    auto const result = agents.send(view, make_syn(2));
    CHECK(result.drop_ == drop_reason::connection_limit);
}

TEST_CASE("a SYN flood can't exceed the half-open limit")
{
    fleet agents;
    flow_options options;
    options.max_half_open_flows_ = 16;
    auto const view = make_records(1);
    auto& table = agents.start(view[0], view, options);
    for (int i = 0; i < 16; ++i)
    {
        CHECK(agents.send(view, make_syn(port_of(i))).verdict_ ==
              flow_verdict::deliver);
    }
    CHECK(agents.send(view, make_syn(port_of(16))).drop_ ==
          drop_reason::half_open_limit);
    agents.run(520ms);
    CHECK(agents.send(view, make_syn(port_of(17))).verdict_ ==
          flow_verdict::deliver);
    CHECK(table.half_open_flows() == 16);
    auto const output = table.tick(agents.now());
    REQUIRE(output.evicted_.size() == 1);
    CHECK(output.evicted_[0].flow_ == make_syn(port_of(0)).flow_);
}

TEST_CASE("an unfinished handshake expires")
{
    fleet agents;
    auto const view = make_records(1);
    agents.start_all(view);
    agents.send(view, make_syn(1));
    agents.run(20'500ms);
    CHECK(agents.at(view[0].target_).open_flows() == 0);
}
