// Tests of flow ownership, also while balancers and agents have different
// views.
#include "flow_fleet.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

TEST_CASE("a new flow is owned by its first candidate")
{
    fleet agents;
    auto const view = make_records(7);
    agents.start_all(view);
    agents.run(sync_time);
    for (int i = 0; i < 500; ++i)
    {
        auto const flow = make_syn(port_of(i)).flow_;
        auto const first = service_table(view).pick(hash_flow(flow));
        auto const result = agents.send(view, make_syn(port_of(i)));
        CHECK(result.verdict_ == flow_verdict::deliver);
        CHECK(result.at_ == first.candidates_[0].target_);
        CHECK(result.hops_ == 0);
    }
}

TEST_CASE("a single agent without peers owns every flow")
{
    fleet agents;
    auto const view = make_records(1);
    agents.start_all(view);
    CHECK(agents.open(view, 1) == view[0].target_);
    CHECK(agents.send(view, make_ack(1)).verdict_ == flow_verdict::deliver);
    CHECK(agents.send(view, make_ack(2)).verdict_ == flow_verdict::reset);
}

TEST_CASE("open flows survive more joins than a packet carries candidates")
{
    fleet agents;
    auto view = make_records(2);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 300);
    for (std::uint32_t joined = 3; joined <= 3 + 4 * max_candidates; ++joined)
    {
        view.push_back(make_record(joined));
        agents.start(view.back(), view);
        agents.set_view(view);
        agents.run(sync_time);
        CHECK(count_broken(agents, view, owners) == 0);
    }
}

TEST_CASE("flows survive joins while views differ for up to 5 s")
{
    fleet agents;
    agents.loss_ = 0.2;
    agents.duplication_ = 0.2;
    agents.reorder_ = true;
    auto view = make_records(3);
    agents.start_all(view);
    agents.run(sync_time * 4);
    auto const owners = open_flows(agents, view, 300);
    for (std::uint32_t joined = 4; joined < 14; ++joined)
    {
        auto const older = view;
        view.push_back(make_record(joined));
        agents.start(view.back(), view);
        std::size_t updated_agents = 0;
        for (int step = 0; step < 20; ++step)
        {
            // Every 250 ms one more agent gets the view with the new member.
            if (updated_agents < older.size())
            {
                agents.at(older[updated_agents++].target_)
                    .set_view(view, agents.now());
            }
            agents.run(250ms);
            CHECK(count_broken(agents, step % 2 == 0 ? older : view, owners) ==
                  0);
        }
    }
}

TEST_CASE("no flow is reset while views differ")
{
    fleet agents;
    auto view = make_records(4);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 500);
    auto newer = view;
    newer.push_back(make_record(5));
    newer.push_back(make_record(6));
    agents.start(newer[4], newer);
    agents.start(newer[5], newer);
    // The older agents don't know the new members yet.
    for (auto const& [port, owner] : owners)
    {
        auto const result = agents.send(newer, make_ack(port));
        CHECK(result.verdict_ != flow_verdict::reset);
    }
}

TEST_CASE(
    "SYNs of a flow from balancers with different views open one connection")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fleet agents(seed);
        std::mt19937_64 random(seed);
        auto const older = make_records(4);
        auto newer = older;
        newer.push_back(make_record(5));
        agents.start_all(older);
        agents.run(sync_time);
        agents.start(newer.back(), newer);
        for (int i = 0; i < 200; ++i)
        {
            if (i % 40 == 20)
            {
                auto const& updated =
                    older[static_cast<std::size_t>(i / 40) % older.size()];
                agents.at(updated.target_).set_view(newer, agents.now());
                agents.run(100ms);
            }
            std::set<target_id> owners;
            for (int attempt = 0; attempt < 3; ++attempt)
            {
                auto const& view = random() % 2 == 0 ? older : newer;
                auto const result = agents.send(view, make_syn(port_of(i)));
                if (result.verdict_ == flow_verdict::deliver)
                {
                    owners.insert(result.at_);
                }
            }
            CHECK(owners.size() == 1);
        }
    }
}

TEST_CASE("two SYNs of a flow that cross between agents open one connection")
{
    for (int i = 0; i < 200; ++i)
    {
        fleet agents;
        auto const older = make_records(3);
        auto newer = older;
        newer.push_back(make_record(4));
        agents.start_all(older);
        agents.start(newer.back(), newer);
        // No agent has all flows of its peers yet, so each first candidate
        // forwards the SYN to the others.
        auto const syn = make_syn(port_of(i));
        std::vector<tunnel_header> in_flight;
        for (records const* view :
             {&older, static_cast<records const*>(&newer)})
        {
            tunnel_header header;
            header.ranked_ = service_table(*view).pick(hash_flow(syn.flow_));
            header.target_ = header.ranked_.candidates_[0].target_;
            in_flight.push_back(header);
        }
        std::set<target_id> owners;
        std::mt19937_64 random(static_cast<std::uint64_t>(i));
        while (!in_flight.empty())
        {
            auto const index = random() % in_flight.size();
            auto const header = in_flight[index];
            auto const decision =
                agents.at(header.target_).decide(header, syn, agents.now());
            in_flight.erase(in_flight.begin() +
                            static_cast<std::ptrdiff_t>(index));
            if (decision.verdict_ == flow_verdict::forward)
            {
                in_flight.push_back(decision.header_);
            }
            else if (decision.verdict_ == flow_verdict::deliver)
            {
                owners.insert(header.target_);
            }
        }
        CHECK(owners.size() == 1);
    }
}

TEST_CASE("a draining agent keeps its flows and gets no new flows")
{
    fleet agents;
    auto view = make_records(4);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 400);
    auto const older = view;
    auto const leaving = view[1].target_;
    set_state(view, leaving, member_state::draining);
    agents.at(leaving).set_view(view, agents.now());
    for (int i = 1'000; i < 1'400; ++i)
    {
        // The balancer and the other agents don't know the new state yet.
        auto const owner = agents.open(older, port_of(i));
        CHECK(owner != 0);
        CHECK(owner != leaving);
    }
    CHECK(count_broken(agents, older, owners) == 0);
    agents.set_view(view);
    agents.run(sync_time);
    CHECK(count_broken(agents, view, owners) == 0);
    for (int i = 2'000; i < 2'400; ++i)
    {
        CHECK(agents.open(view, port_of(i)) != leaving);
    }
}

TEST_CASE("an agent that returns from draining to ready keeps its flows")
{
    fleet agents;
    auto view = make_records(3);
    agents.start_all(view);
    agents.run(sync_time);
    auto owners = open_flows(agents, view, 200);
    set_state(view, view[0].target_, member_state::draining);
    agents.set_view(view);
    agents.run(sync_time);
    auto const later = open_flows(agents, view, 400);
    owners.insert(later.begin(), later.end());
    set_state(view, view[0].target_, member_state::ready);
    agents.set_view(view);
    agents.run(sync_time);
    CHECK(count_broken(agents, view, owners) == 0);
}

TEST_CASE("a change of weights breaks no flow")
{
    fleet agents;
    auto view = make_records(5);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 500);
    for (std::uint32_t const weight : {4U, 8U, 64U, 1U})
    {
        auto const older = view;
        view[2].weight_ = weight;
        ++view[2].version_.sequence_;
        agents.at(view[0].target_).set_view(view, agents.now());
        agents.run(sync_time);
        CHECK(count_broken(agents, older, owners) == 0);
        CHECK(count_broken(agents, view, owners) == 0);
        agents.set_view(view);
        agents.run(sync_time);
        CHECK(count_broken(agents, view, owners) == 0);
    }
}

TEST_CASE("forwarding entries of a flow are removed when the flow ends")
{
    synchronized_fleet synced(3, 300);
    auto& [agents, view, owners] = synced;
    std::size_t before = 0;
    for (auto const& record : view)
    {
        before += agents.at(record.target_).forwarding_entries();
    }
    CHECK(before == 300);
    for (auto const& [port, owner] : owners)
    {
        agents.at(owner).on_ended(make_ack(port).flow_, agents.now());
    }
    agents.run(sync_time);
    for (auto const& record : view)
    {
        CHECK(agents.at(record.target_).forwarding_entries() == 0);
        CHECK(agents.at(record.target_).open_flows() == 0);
    }
}

TEST_CASE("late packets of an ended flow are delivered for a limited time")
{
    fleet agents;
    auto const view = make_records(2);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owner = agents.open(view, 1);
    agents.at(owner).on_ended(make_ack(1).flow_, agents.now());
    CHECK(agents.send(view, make_ack(1)).verdict_ == flow_verdict::deliver);
    agents.run(10'500ms);
    CHECK(agents.send(view, make_ack(1)).verdict_ == flow_verdict::reset);
}

TEST_CASE("a caller may reuse a port immediately")
{
    fleet agents;
    auto const view = make_records(2);
    agents.start_all(view);
    agents.run(sync_time);
    auto const owner = agents.open(view, 1);
    agents.at(owner).on_ended(make_ack(1).flow_, agents.now());
    CHECK(agents.open(view, 1) == owner);
    CHECK(agents.at(owner).open_flows() == 1);
    CHECK(agents.at(owner).half_open_flows() == 0);
}

TEST_CASE("a packet that exceeds the hop limit is dropped")
{
    fleet agents;
    auto const view = make_records(2);
    agents.start_all(view);
    tunnel_header header;
    header.target_ = view[0].target_;
    header.ranked_ = service_table(view).pick(1);
    header.hops_ = max_tunnel_hops;
    CHECK(agents.follow_hops(header, make_ack(1)).drop_ ==
          drop_reason::hop_limit);
}
