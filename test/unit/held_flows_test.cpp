// Tests of what an agent says of flows that its backend server may still hold.
#include <daisytrail/backend_life.hpp>
#include <daisytrail/backend_observer.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

// An agent that has seen all packets of its backend server, and a flow that is
// open there.
struct held_fixture
{
    held_fixture()
    {
        observer_.on_new_run(true);
        observer_.on_caller_packet(syn(), now_);
        observer_.on_backend_packet(syn_ack(), now_);
        observer_.on_caller_packet(packet(), now_);
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

// The backend server was full when a late copy of the SYN came.
TEST_CASE_FIXTURE(held_fixture,
                  "a copy of the SYN that is returned doesn't end the flow")
{
    observer_.on_caller_packet(syn(1), now_);
    observer_.on_returned(syn(1), now_);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE_FIXTURE(held_fixture,
                  "a returned copy doesn't hide that the SYN was answered")
{
    observer_.on_new_run(true);
    observer_.on_caller_packet(syn(), now_);
    observer_.on_backend_packet(syn_ack(), now_);
    observer_.on_returned(syn(1), now_);
    CHECK(ownership() == flow_ownership::undetermined);
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

// The reset may be forged: the backend server checks it, the agent can't.
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

// The last packets were lost on their way; what the ends sent again was reset.
TEST_CASE_FIXTURE(held_fixture,
                  "a flow that both ends closed is known for a while")
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

TEST_CASE_FIXTURE(held_fixture, "addresses of a closed flow may be used again")
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

// The balancer forgets an idle flow after a minute and searches it.
TEST_CASE_FIXTURE(held_fixture, "a flow that was idle for minutes is held")
{
    advance(290s);
    CHECK(ownership() == flow_ownership::held);
}

TEST_CASE_FIXTURE(held_fixture,
                  "an agent learns flows from its backend server's data")
{
    observer_.on_new_run(false);
    CHECK(ownership() == flow_ownership::undetermined);
    // It may acknowledge the end of a flow that it has forgotten.
    observer_.on_backend_packet(answer(0), now_);
    CHECK(ownership() == flow_ownership::undetermined);
    observer_.on_backend_packet(answer(), now_);
    CHECK(ownership() == flow_ownership::held);
}

// After a restart the agent couldn't tell for the rest of the run, and every
// search of other flows offered it packets.
TEST_CASE_FIXTURE(held_fixture,
                  "an agent that has watched for longer than a flow may be "
                  "idle knows all flows")
{
    observer_.on_new_run(false);
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

TEST_CASE("an agent that had no room for a flow can't tell for a while")
{
    backend_observer observer({.max_flows_ = 1});
    time_point now{1h};
    observer.on_new_run(true);
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

// A backend server had crashed and started again, and its agent, which had seen
// all of that, offered every searched flow's packets to it.
TEST_CASE_FIXTURE(held_fixture,
                  "an agent that outlives its backend server knows what the "
                  "next run holds")
{
    observer_.on_caller_packet(packet(200), now_);
    CHECK(observer_.in_flight() == 1);
    observer_.on_restart();
    CHECK(observer_.in_flight() == 0);
    CHECK(observer_.open_flows() == 0);
    // It may have been opened with the next run before that announced itself.
    CHECK(ownership() == flow_ownership::undetermined);
    flow_key const other{{1, 2}, {2, 443}};
    CHECK(observer_.ownership(other) == flow_ownership::not_held);
    observer_.on_returned(packet(), now_);
    CHECK(ownership() == flow_ownership::not_held);
}

// Its former run's flows counted as held.
TEST_CASE("a backend server that starts again under its id has a new run")
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
