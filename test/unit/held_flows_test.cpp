// Tests of how an agent determines whether its backend server holds a flow.
#include <daisytrail/backend_lifecycle.hpp>
#include <daisytrail/backend_observer.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

// An observer that has seen all packets of its backend server, and a flow that
// is open there.
struct held_fixture
{
    held_fixture()
    {
        observer_.tick(now_);
        now_ += max_flow_idle_time + 1s;
        observer_.tick(now_);
        open_flow(observer_);
    }

    void open_flow(backend_observer& observer) const
    {
        observer.on_caller_packet(syn(), now_);
        observer.on_backend_packet(syn_ack(), now_);
        observer.on_caller_packet(packet(), now_);
    }

    flow_packet packet(std::uint32_t sequence = 100,
                       std::size_t bytes = 10) const
    {
        flow_packet result;
        result.source_ = {1, 40'001};
        result.destination_ = {2, 443};
        result.ack_ = true;
        result.sequence_ = sequence;
        result.acknowledgement_ = 5'001;
        result.payload_bytes_ = bytes;
        return result;
    }

    flow_packet syn(std::uint8_t copy = 0) const
    {
        auto result = packet(99, 0);
        result.syn_ = true;
        result.ack_ = false;
        result.syn_attempt_ = copy;
        return result;
    }

    flow_packet answer(std::size_t bytes = 10) const
    {
        flow_packet result;
        result.source_ = {2, 443};
        result.destination_ = {1, 40'001};
        result.ack_ = true;
        result.sequence_ = 5'001;
        result.payload_bytes_ = bytes;
        return result;
    }

    flow_packet syn_ack() const
    {
        auto result = answer(0);
        result.syn_ = true;
        result.sequence_ = 5'000;
        return result;
    }

    void advance(duration time)
    {
        for (auto const end = now_ + time; now_ < end;)
        {
            now_ += 1s;
            observer_.tick(now_);
        }
    }

    flow_ownership ownership() const
    {
        return observer_.ownership(packet().flow_from_caller());
    }

    time_point now_{1h};
    backend_observer observer_;
};

} // namespace

TEST_CASE_FIXTURE(held_fixture, "a flow that the caller acknowledged is held")
{
    CHECK(ownership() == flow_ownership::held);
}

// A full backend server returns a late copy of the SYN.
TEST_CASE_FIXTURE(held_fixture,
                  "a returned copy of the SYN doesn't end the flow")
{
    observer_.on_caller_packet(syn(1), now_);
    observer_.on_returned(syn(1), now_);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE_FIXTURE(held_fixture,
                  "a returned copy of the SYN doesn't hide that the SYN was "
                  "answered")
{
    auto returned = packet();
    returned.source_.port_ += 1;
    auto syn_of_other = syn();
    syn_of_other.source_ = returned.source_;
    auto answer_to_other = syn_ack();
    answer_to_other.destination_ = returned.source_;
    observer_.on_caller_packet(syn_of_other, now_);
    observer_.on_backend_packet(answer_to_other, now_);
    syn_of_other.syn_attempt_ = 1;
    observer_.on_returned(syn_of_other, now_);
    CHECK(observer_.ownership(returned.flow_from_caller()) ==
          flow_ownership::undetermined);
}

TEST_CASE_FIXTURE(held_fixture,
                  "a SYN with the addresses of an open flow doesn't end it")
{
    auto forged = syn();
    forged.sequence_ = 7'777;
    observer_.on_caller_packet(forged, now_);
    observer_.on_returned(forged, now_);
    CHECK(ownership() == flow_ownership::undetermined);
    CHECK_FALSE(observer_.is_opened_elsewhere(packet()));
}

// A caller's reset may be forged; the backend server can verify it, the agent
// can't.
TEST_CASE_FIXTURE(held_fixture, "a caller's reset doesn't prove the flow's end")
{
    auto reset = packet(100, 0);
    reset.reset_ = true;
    observer_.on_caller_packet(reset, now_);
    CHECK(ownership() == flow_ownership::undetermined);
    CHECK(observer_.open_flows() == 0);
    CHECK(observer_.in_flight() == 0);
    advance(60s);
    CHECK(ownership() == flow_ownership::undetermined);
    observer_.on_caller_packet(packet(200), now_);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE_FIXTURE(held_fixture, "a backend server's reset ends the flow")
{
    auto reset = answer(0);
    reset.reset_ = true;
    observer_.on_backend_packet(reset, now_);
    CHECK(ownership() == flow_ownership::not_held);
}

// Guards against resetting retransmissions of the last packets of a flow when
// their originals were lost.
TEST_CASE_FIXTURE(held_fixture,
                  "a flow that both ends closed is remembered for a while")
{
    auto end = answer();
    end.fin_ = true;
    observer_.on_backend_packet(end, now_);
    auto last = packet(110, 0);
    last.fin_ = true;
    observer_.on_caller_packet(last, now_);
    CHECK(ownership() == flow_ownership::undetermined);
    CHECK(observer_.open_flows() == 0);
    advance(7s);
    CHECK(ownership() == flow_ownership::not_held);
}

TEST_CASE_FIXTURE(held_fixture, "addresses of a closed flow may be reused")
{
    auto end = answer();
    end.fin_ = true;
    observer_.on_backend_packet(end, now_);
    auto last = packet(110, 0);
    last.fin_ = true;
    observer_.on_caller_packet(last, now_);
    auto next = syn();
    next.sequence_ = 7'777;
    observer_.on_caller_packet(next, now_);
    CHECK(ownership() == flow_ownership::not_held);
    CHECK(observer_.is_opened_elsewhere(packet()));
}

// A balancer forgets a flow after an idle minute and then searches its owner,
// so the agent must remember the flow for longer.
TEST_CASE_FIXTURE(held_fixture,
                  "a flow that was idle for minutes is still held")
{
    advance(290s);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE_FIXTURE(held_fixture,
                  "data from the backend server shows that it holds the flow")
{
    backend_observer restarted;
    auto const flow = packet().flow_from_caller();
    CHECK(restarted.ownership(flow) == flow_ownership::undetermined);
    // A bare acknowledgement of the backend server may belong to the end of a
    // flow that it no longer holds.
    restarted.on_backend_packet(answer(0), now_);
    CHECK(restarted.ownership(flow) == flow_ownership::undetermined);
    restarted.on_backend_packet(answer(), now_);
    CHECK(restarted.ownership(flow) == flow_ownership::held);
}

// Guards against a restarted agent that answers "undetermined" for the rest of
// the run, so that every search for other flows offers packets to it.
TEST_CASE_FIXTURE(held_fixture,
                  "an agent that has observed for longer than the idle timeout "
                  "of flows knows all flows")
{
    observer_ = backend_observer();
    observer_.tick(now_);
    observer_.on_caller_packet(packet(), now_);
    observer_.on_backend_packet(answer(), now_);
    flow_key const other{{1, 2}, {2, 443}};
    advance(300s);
    CHECK(observer_.ownership(other) == flow_ownership::undetermined);
    observer_.on_caller_packet(packet(200), now_);
    advance(20s);
    CHECK(observer_.ownership(other) == flow_ownership::not_held);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE("unknown flows are undetermined for a while after the table was full")
{
    backend_observer observer({.max_flows_ = 1});
    time_point now{1h};
    observer.tick(now);
    now += max_flow_idle_time + 1s;
    observer.tick(now);
    flow_packet packet;
    packet.payload_bytes_ = 1;
    for (std::uint16_t port = 1; port < 3; ++port)
    {
        packet.source_ = {1, port};
        observer.on_caller_packet(packet, now);
    }
    CHECK(observer.ownership(packet.flow_from_caller()) ==
          flow_ownership::undetermined);
    observer.tick(now);
    now += 300s;
    observer.tick(now);
    CHECK(observer.ownership(packet.flow_from_caller()) ==
          flow_ownership::undetermined);
    now += 20s;
    observer.tick(now);
    CHECK(observer.ownership(packet.flow_from_caller()) ==
          flow_ownership::not_held);
}

// Guards against offering packets of every searched flow to a backend server
// that crashed and restarted while its agent saw all packets.
TEST_CASE_FIXTURE(held_fixture,
                  "an agent that outlives its backend server knows the flows "
                  "of the next run")
{
    observer_.on_caller_packet(packet(200), now_);
    CHECK(observer_.in_flight() == 1);
    observer_.on_new_run();
    CHECK(observer_.in_flight() == 0);
    CHECK(observer_.open_flows() == 0);
    // The flow may have been opened with the next run before that run announced
    // itself.
    CHECK(ownership() == flow_ownership::undetermined);
    flow_key const other{{1, 2}, {2, 443}};
    CHECK(observer_.ownership(other) == flow_ownership::not_held);
    observer_.on_returned(packet(), now_);
    CHECK(ownership() == flow_ownership::not_held);
}

// Guards against counting the flows of the previous run as held.
TEST_CASE("a backend server that restarts under the same id has a new run")
{
    backend_lifecycle lifecycle("orders");
    backend_announcement value;
    value.id_ = "a";
    value.service_ = "orders";
    value.started_at_ms_ = 10;
    value.sequence_ = 3;
    lifecycle.on_announcement(value, time_point{1h});
    auto const first = lifecycle.run_count();
    value.sequence_ = 4;
    lifecycle.on_announcement(value, time_point{1h});
    CHECK(lifecycle.run_count() == first);
    value.started_at_ms_ = 20;
    value.sequence_ = 1;
    lifecycle.on_announcement(value, time_point{1h});
    CHECK(lifecycle.run_count() == first + 1);
    value.started_at_ms_ = 10;
    value.sequence_ = 9;
    lifecycle.on_announcement(value, time_point{1h});
    CHECK(lifecycle.run_count() == first + 1);
}
