// Tests of resets: which flows are reset when their agent dies or restarts, and
// the contents of resets and probes.
#include "flow_fleet.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

TEST_CASE("only the flows of a dead agent are probed and reset")
{
    fleet agents;
    agents.loss_ = 0.2;
    auto view = make_records(5);
    agents.start_all(view);
    agents.run(sync_time * 4);
    auto const owners = open_flows(agents, view, 500);
    agents.run(sync_time * 4);
    auto const dead = view[3].target_;
    agents.kill(dead);
    auto const older = view;
    set_state(view, dead, member_state::dead);
    agents.set_view(view);
    agents.run(3s);
    std::set<flow_key> const probed(agents.probes_.begin(),
                                    agents.probes_.end());
    for (auto const& [port, owner] : owners)
    {
        CHECK(probed.contains(make_ack(port).flow_) == (owner == dead));
        // The caller answers a probe with an ACK.
        auto const result = agents.send(view, make_ack(port));
        CHECK(result.verdict_ ==
              (owner == dead ? flow_verdict::reset : flow_verdict::deliver));
    }
}

TEST_CASE("the flows that an agent had before a restart are reset")
{
    synchronized_fleet synced(4, 200);
    auto& [agents, view, owners] = synced;
    auto const again = view[0].target_;
    view[0].version_.incarnation_ += 60'000;
    agents.start(view[0], view);
    agents.set_view(view);
    agents.run(sync_time * 2);
    for (auto const& [port, owner] : owners)
    {
        auto const result = agents.send(view, make_ack(port));
        CHECK(result.verdict_ ==
              (owner == again ? flow_verdict::reset : flow_verdict::deliver));
    }
}

TEST_CASE("flows survive a death of their owner that is refuted")
{
    synchronized_fleet synced(4, 200);
    auto& [agents, view, owners] = synced;
    set_state(view, view[0].target_, member_state::dead);
    agents.set_view(view);
    agents.run(40ms);
    set_state(view, view[0].target_, member_state::ready);
    ++view[0].version_.incarnation_;
    agents.set_view(view);
    agents.run(sync_time);
    CHECK(count_broken(agents, view, owners) == 0);
}

TEST_CASE(
    "an unknown flow isn't reset before every peer has reported its flows")
{
    fleet agents;
    auto const view = make_records(3);
    agents.start_all(view);
    CHECK(agents.send(view, make_ack(1)).verdict_ == flow_verdict::drop);
    agents.run(sync_time);
    CHECK(agents.send(view, make_ack(1)).verdict_ == flow_verdict::reset);
}

TEST_CASE("an agent that doesn't know its peers resets no flows")
{
    fleet agents;
    auto const view = make_records(3);
    for (auto const& record : view)
    {
        agents.start(record, {record});
    }
    agents.run(sync_time);
    for (int i = 0; i < 100; ++i)
    {
        CHECK(agents.send(view, make_ack(port_of(i))).verdict_ ==
              flow_verdict::drop);
    }
}

TEST_CASE("flows that were placed on a dead agent are reset")
{
    fleet agents;
    flow_options options;
    options.max_open_flows_ = 5;
    auto view = make_records(3);
    agents.start_all(view, options);
    agents.run(sync_time);
    auto const owners = open_flows(agents, view, 15);
    target_id dead = 0;
    for (auto const& [port, owner] : owners)
    {
        auto const ranked =
            service_table(view).pick(hash_flow(make_syn(port).flow_));
        bool const placed = owner != ranked.candidates_[0].target_;
        dead = placed && owner != 0 ? owner : dead;
    }
    REQUIRE(dead != 0);
    agents.run(sync_time);
    agents.kill(dead);
    set_state(view, dead, member_state::dead);
    agents.set_view(view);
    agents.run(sync_time);
    for (auto const& [port, owner] : owners)
    {
        if (owner != 0)
        {
            CHECK(
                agents.send(view, make_ack(port)).verdict_ ==
                (owner == dead ? flow_verdict::reset : flow_verdict::deliver));
        }
    }
}

TEST_CASE("a reset has the sequence number that the caller expects")
{
    std::array<std::byte, 40> packet{};
    auto info = make_ack(1);
    info.acknowledgement_ = 77;
    REQUIRE(write_reset(packet, info) == 40);
    auto const reading = parse_packet(packet);
    CHECK(reading.info_.sequence_ == 77);
    CHECK(reading.info_.flags_ == tcp_flags::rst);
}

TEST_CASE("a reset for a segment without ACK acknowledges the whole segment")
{
    std::array<std::byte, 40> packet{};
    auto info = make_packet(1, tcp_flags::fin);
    info.sequence_ = 100;
    info.payload_bytes_ = 5;
    REQUIRE(write_reset(packet, info) == 40);
    auto const reading = parse_packet(packet);
    CHECK(reading.info_.acknowledgement_ == 106);
    CHECK(reading.info_.flags_ == (tcp_flags::rst | tcp_flags::ack));
}

TEST_CASE("a reset isn't answered with a reset")
{
    std::array<std::byte, 40> packet{};
    CHECK(write_reset(packet, make_packet(1, tcp_flags::rst)) == 0);
}

TEST_CASE("at least one of two probes is outside any receive window")
{
    auto const packets = write_probes(make_ack(1).flow_);
    auto const first = parse_packet(packets[0]).info_;
    auto const second = parse_packet(packets[1]).info_;
    CHECK(second.sequence_ - first.sequence_ == 0x8000'0000U);
    // Probes go from the VIP to the caller.
    CHECK(first.flow_.caller_ == make_ack(1).flow_.vip_);
}
