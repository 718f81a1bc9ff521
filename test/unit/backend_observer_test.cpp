// Tests of the passive monitoring of a backend server, of its lifecycle and of
// the return paths to balancers.
#include "support/announcements.hpp"

#include <daisytrail/backend_lifecycle.hpp>
#include <daisytrail/backend_observer.hpp>
#include <daisytrail/return_paths.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

struct observer_fixture
{
    flow_packet request(std::uint16_t port, std::uint32_t sequence,
                        std::size_t bytes = 100) const
    {
        flow_packet packet;
        packet.source_ = {1, port};
        packet.destination_ = {2, 443};
        packet.ack_ = true;
        packet.sequence_ = sequence;
        packet.payload_bytes_ = bytes;
        return packet;
    }

    flow_packet syn(std::uint16_t port) const
    {
        auto packet = request(port, 0, 0);
        packet.syn_ = true;
        packet.ack_ = false;
        return packet;
    }

    flow_packet answer(std::uint16_t port, std::size_t bytes = 100) const
    {
        flow_packet packet;
        packet.source_ = {2, 443};
        packet.destination_ = {1, port};
        packet.ack_ = true;
        packet.payload_bytes_ = bytes;
        return packet;
    }

    flow_packet syn_ack(std::uint16_t port, std::uint32_t sequence) const
    {
        auto packet = answer(port, 0);
        packet.syn_ = true;
        packet.sequence_ = sequence;
        return packet;
    }

    flow_packet request_acknowledging(std::uint16_t port,
                                      std::uint32_t syn_ack_sequence) const
    {
        auto packet = request(port, 100);
        packet.acknowledgement_ = syn_ack_sequence + 1;
        return packet;
    }

    // Observes until the observer knows all flows.
    void observe_all()
    {
        observer_.tick(now_);
        now_ += max_flow_idle_time + 1s;
        observer_.tick(now_);
    }

    time_point now_{1h};
    backend_observer observer_;
};

} // namespace

TEST_CASE_FIXTURE(observer_fixture, "a request counts until its answer begins")
{
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_caller_packet(request(2, 100), now_);
    CHECK(observer_.in_flight() == 2);
    auto const took = observer_.on_backend_packet(answer(1), now_ + 30ms);
    REQUIRE(took);
    CHECK(*took == 30ms);
    CHECK(observer_.in_flight() == 1);
    CHECK_FALSE(observer_.on_backend_packet(answer(1), now_ + 31ms));
}

TEST_CASE_FIXTURE(observer_fixture, "a retransmitted request counts once")
{
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_backend_packet(answer(1), now_ + 10ms);
    observer_.on_caller_packet(request(1, 100), now_ + 200ms);
    CHECK(observer_.in_flight() == 0);
    observer_.on_caller_packet(request(1, 200), now_ + 300ms);
    CHECK(observer_.in_flight() == 1);
}

TEST_CASE_FIXTURE(observer_fixture, "acknowledgements are no answers")
{
    observer_.on_caller_packet(request(1, 100), now_);
    CHECK_FALSE(observer_.on_backend_packet(answer(1, 0), now_ + 5ms));
    CHECK(observer_.in_flight() == 1);
}

TEST_CASE_FIXTURE(observer_fixture, "a returned packet ends its request")
{
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_returned(request(1, 100), now_);
    CHECK(observer_.in_flight() == 0);
    CHECK(observer_.open_flows() == 0);
}

TEST_CASE_FIXTURE(observer_fixture,
                  "a backend server that answers no SYN is unresponsive, then "
                  "presumed stopped")
{
    observer_.on_caller_packet(syn(1), now_);
    CHECK_FALSE(observer_.is_unresponsive(now_ + 100ms));
    CHECK(observer_.is_unresponsive(now_ + 200ms));
    // One lost SYN isn't enough.
    CHECK_FALSE(observer_.is_presumed_stopped(now_ + 5s));
    observer_.on_caller_packet(syn(2), now_ + 400ms);
    observer_.on_caller_packet(syn(3), now_ + 800ms);
    CHECK_FALSE(observer_.is_presumed_stopped(now_ + 1s));
    CHECK(observer_.is_presumed_stopped(now_ + 1'300ms));
    observer_.on_backend_packet(answer(9, 0), now_ + 2s);
    CHECK_FALSE(observer_.is_unresponsive(now_ + 2s));
}

TEST_CASE_FIXTURE(observer_fixture,
                  "a long request alone doesn't make a backend server "
                  "unresponsive")
{
    observer_.on_caller_packet(request(1, 100), now_);
    CHECK_FALSE(observer_.is_unresponsive(now_ + 900ms));
    CHECK_FALSE(observer_.is_presumed_stopped(now_ + 5s));
}

TEST_CASE_FIXTURE(observer_fixture, "a new run starts without flows")
{
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_caller_packet(syn(2), now_);
    observer_.on_new_run();
    CHECK(observer_.in_flight() == 0);
    CHECK(observer_.open_flows() == 0);
    CHECK_FALSE(observer_.is_unresponsive(now_ + 1h));
}

TEST_CASE_FIXTURE(
    observer_fixture,
    "an agent that saw all packets for long enough knows all flows")
{
    auto const flow = syn(1).flow_from_caller();
    auto const other = syn(2).flow_from_caller();
    CHECK(observer_.ownership(flow) == flow_ownership::undetermined);
    observe_all();
    CHECK(observer_.ownership(flow) == flow_ownership::not_held);
    observer_.on_caller_packet(syn(1), now_);
    // The caller can't acknowledge a SYN+ACK that it hasn't received.
    CHECK(observer_.ownership(flow) == flow_ownership::not_held);
    observer_.on_backend_packet(syn_ack(1, 5'000), now_);
    CHECK(observer_.ownership(flow) == flow_ownership::undetermined);
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_backend_packet(answer(1, 100), now_);
    CHECK(observer_.ownership(flow) == flow_ownership::held);
    CHECK(observer_.ownership(other) == flow_ownership::not_held);
    observer_.on_returned(request(1, 200), now_);
    CHECK(observer_.ownership(flow) == flow_ownership::not_held);
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_new_run();
    CHECK(observer_.ownership(flow) == flow_ownership::undetermined);
    CHECK(observer_.ownership(other) == flow_ownership::not_held);
}

TEST_CASE("announcements of an earlier run or out of order change nothing")
{
    backend_lifecycle lifecycle("orders");
    time_point const now{1h};
    CHECK(lifecycle.phase() == backend_phase::unknown);
    CHECK(lifecycle.on_announcement(make_announcement("b", 20, 5), now) ==
          announcement_outcome::accepted);
    CHECK(lifecycle.on_announcement(
              make_announcement("a", 10, 9, backend_phase::draining), now) ==
          announcement_outcome::not_current);
    CHECK(lifecycle.on_announcement(
              make_announcement("b", 20, 4, backend_phase::draining), now) ==
          announcement_outcome::out_of_order);
    CHECK(lifecycle.phase() == backend_phase::ready);
}

TEST_CASE("a draining run doesn't become ready again, the next run does")
{
    backend_lifecycle lifecycle("orders");
    time_point const now{1h};
    lifecycle.on_announcement(make_announcement("a", 10, 1), now);
    lifecycle.on_announcement(
        make_announcement("a", 10, 2, backend_phase::draining), now);
    CHECK(lifecycle.phase() == backend_phase::draining);
    CHECK(lifecycle.on_announcement(make_announcement("a", 10, 3), now) ==
          announcement_outcome::after_draining);
    // A restart under the same id; its announcement sequence starts again.
    CHECK(lifecycle.on_announcement(make_announcement("a", 30, 1), now) ==
          announcement_outcome::accepted);
    CHECK(lifecycle.phase() == backend_phase::ready);
}

TEST_CASE("only the current run can end")
{
    backend_lifecycle lifecycle("orders");
    time_point const now{1h};
    lifecycle.on_announcement(make_announcement("b", 20, 1), now);
    CHECK_FALSE(lifecycle.on_end("a"));
    CHECK(lifecycle.on_end("b"));
    CHECK(lifecycle.phase() == backend_phase::gone);
}

TEST_CASE("an announcement of another service is refused")
{
    backend_lifecycle lifecycle("orders");
    auto value = make_announcement("a", 1, 1);
    value.service_ = "sheets";
    CHECK(lifecycle.on_announcement(value, time_point{1h}) ==
          announcement_outcome::other_service);
    CHECK(lifecycle.phase() == backend_phase::unknown);
}

// Guards against losing return paths too early: a slow backend server returns
// packets a second or more after it received them.
TEST_CASE("return paths outlast several seconds of packets")
{
    return_paths paths(7);
    auto const first = paths.add({1, 1});
    for (int i = 0; i < 16'000; ++i)
    {
        paths.add({1, 2});
    }
    CHECK(paths.find(first) == endpoint{1, 1});
}

TEST_CASE("return paths find only marks that weren't overwritten")
{
    return_paths paths(7, 4);
    auto const first = paths.add({1, 1});
    CHECK(paths.find(first) == endpoint{1, 1});
    for (std::uint16_t i = 2; i < 6; ++i)
    {
        paths.add({1, i});
    }
    CHECK_FALSE(paths.find(first));
    CHECK_FALSE(paths.find(first + 100));
}

// Guards against counting closed flows as open: when they were counted for a
// minute, 950 flows were reported instead of 40.
TEST_CASE_FIXTURE(observer_fixture,
                  "a flow that both ends closed isn't counted as open")
{
    observer_.on_caller_packet(syn(1), now_);
    CHECK(observer_.open_flows() == 0);
    observer_.on_caller_packet(request(1, 100), now_);
    CHECK(observer_.open_flows() == 1);
    auto end = answer(1);
    end.fin_ = true;
    observer_.on_backend_packet(end, now_ + 20ms);
    auto last = request(1, 200, 0);
    last.fin_ = true;
    observer_.on_caller_packet(last, now_ + 21ms);
    observer_.on_caller_packet(request(1, 201, 0), now_ + 22ms);
    CHECK(observer_.open_flows() == 0);
}

// Guards against a full backend server seeming fast: it refuses requests within
// a millisecond.
TEST_CASE_FIXTURE(observer_fixture,
                  "refusals by a full backend server count as failures")
{
    observer_.set_slots(2);
    observer_.on_caller_packet(request(1, 100), now_);
    observer_.on_backend_packet(answer(1), now_ + 30ms);
    for (std::uint16_t port = 2; port < 12; ++port)
    {
        observer_.on_caller_packet(request(port, 100), now_ + 40ms);
    }
    for (std::uint16_t port = 6; port < 12; ++port)
    {
        observer_.on_backend_packet(answer(port), now_ + 41ms);
    }
    auto const report = observer_.report(now_ + 41ms);
    CHECK(report.service_micros_ == 30'000);
    CHECK(report.failure_ratio_ > 0.2);
}

// Guards against passing a flow's packets to the wrong backend server after two
// targets answered copies of its SYN: the second one discards the packets.
TEST_CASE_FIXTURE(observer_fixture,
                  "a flow whose caller acknowledged another SYN+ACK is opened "
                  "elsewhere")
{
    observer_.on_caller_packet(syn(1), now_);
    auto reply = answer(1, 0);
    reply.syn_ = true;
    reply.sequence_ = 5'000;
    observer_.on_backend_packet(reply, now_);
    auto packet = request(1, 100);
    packet.acknowledgement_ = 700'000;
    CHECK(observer_.is_opened_elsewhere(packet));
    packet.acknowledgement_ = 5'001;
    CHECK_FALSE(observer_.is_opened_elsewhere(packet));
    observer_.on_caller_packet(packet, now_);
    // Open here: later acknowledgements increase with the answers.
    packet.acknowledgement_ = 700'000;
    CHECK_FALSE(observer_.is_opened_elsewhere(packet));
}

TEST_CASE_FIXTURE(observer_fixture,
                  "a caller that acknowledges before any SYN+ACK of this "
                  "backend server has opened the flow elsewhere")
{
    auto copy = syn(1);
    copy.syn_attempt_ = 1;
    auto const packet = request_acknowledging(1, 5'000);
    SUBCASE("if all packets were seen for long enough")
    {
        observe_all();
        observer_.on_caller_packet(copy, now_);
        CHECK(observer_.is_opened_elsewhere(packet));
        CHECK(observer_.ownership(copy.flow_from_caller()) ==
              flow_ownership::not_held);
    }
    SUBCASE("if the agent runs for longer than a caller tries to open a flow")
    {
        observer_.tick(now_);
        now_ += 3'001ms;
        observer_.on_caller_packet(copy, now_);
        CHECK(observer_.is_opened_elsewhere(packet));
        CHECK(observer_.ownership(copy.flow_from_caller()) ==
              flow_ownership::not_held);
    }
    // The first SYN may have waited at another agent while the earlier process
    // passed a copy.
    SUBCASE("but not if the first SYN comes to a new agent process")
    {
        observer_.tick(now_);
        now_ += 1s;
        observer_.on_caller_packet(syn(1), now_);
        CHECK_FALSE(observer_.is_opened_elsewhere(packet));
        CHECK(observer_.is_ownership_undetermined(packet, now_));
        CHECK(observer_.ownership(copy.flow_from_caller()) ==
              flow_ownership::undetermined);
    }
    SUBCASE("unless an earlier agent process may have passed the SYN+ACK")
    {
        observer_.on_caller_packet(copy, now_);
        CHECK_FALSE(observer_.is_opened_elsewhere(packet));
        CHECK(observer_.is_ownership_undetermined(packet, now_ + 500ms));
        CHECK(observer_.ownership(copy.flow_from_caller()) ==
              flow_ownership::undetermined);
        SUBCASE("and the SYN+ACK is retransmitted")
        {
            observer_.on_backend_packet(syn_ack(1, 5'000), now_);
            CHECK_FALSE(observer_.is_ownership_undetermined(packet, now_));
            CHECK_FALSE(observer_.is_opened_elsewhere(packet));
            CHECK(observer_.is_opened_elsewhere(
                request_acknowledging(1, 900'000)));
        }
        SUBCASE("and no SYN+ACK follows, since the flow is open")
        {
            CHECK_FALSE(observer_.is_ownership_undetermined(packet, now_ + 2s));
        }
    }
}

TEST_CASE_FIXTURE(observer_fixture,
                  "a caller may acknowledge any of several SYN+ACKs")
{
    observer_.on_caller_packet(syn(1), now_);
    observer_.on_backend_packet(syn_ack(1, 5'000), now_);
    observer_.on_backend_packet(syn_ack(1, 900'000), now_);
    CHECK_FALSE(observer_.is_opened_elsewhere(request_acknowledging(1, 5'000)));
    CHECK_FALSE(
        observer_.is_opened_elsewhere(request_acknowledging(1, 900'000)));
    CHECK(observer_.is_opened_elsewhere(request_acknowledging(1, 2'000'000)));
}

// Guards against treating an open flow as opened elsewhere after its SYN+ACK is
// retransmitted.
TEST_CASE_FIXTURE(observer_fixture,
                  "a late copy of the SYN doesn't make an open flow count as "
                  "opened elsewhere")
{
    observer_.on_caller_packet(syn(1), now_);
    observer_.on_backend_packet(syn_ack(1, 5'000), now_);
    observer_.on_caller_packet(request_acknowledging(1, 5'000), now_);
    auto copy = syn(1);
    copy.syn_attempt_ = 1;
    observer_.on_caller_packet(copy, now_ + 100ms);
    observer_.on_backend_packet(syn_ack(1, 5'000), now_ + 101ms);
    CHECK_FALSE(
        observer_.is_opened_elsewhere(request_acknowledging(1, 105'000)));
    CHECK(observer_.ownership(copy.flow_from_caller()) == flow_ownership::held);
}

TEST_CASE_FIXTURE(observer_fixture,
                  "a returned SYN doesn't hide that a copy of it is answered")
{
    observe_all();
    observer_.on_caller_packet(syn(1), now_);
    observer_.on_returned(syn(1), now_);
    observer_.on_backend_packet(syn_ack(1, 5'000), now_);
    CHECK(observer_.ownership(syn(1).flow_from_caller()) ==
          flow_ownership::undetermined);
}

// After a restart of all processes requests whose answers had been lost counted
// as load for ten seconds, and the agents of idle backend servers held SYNs
// back.
TEST_CASE_FIXTURE(observer_fixture,
                  "an opening request counts until it is overdue")
{
    observer_.on_caller_packet(request(1, 0), now_);
    now_ += 500ms;
    observer_.on_caller_packet(request(2, 0), now_);
    CHECK(observer_.opening_requests(now_) == 2);
    now_ += 600ms;
    CHECK(observer_.opening_requests(now_) == 1);
    CHECK(observer_.in_flight() == 2);
    observer_.on_backend_packet(answer(1), now_);
    CHECK(observer_.opening_requests(now_) == 1);
    observer_.on_backend_packet(answer(2), now_);
    CHECK(observer_.opening_requests(now_) == 0);
}

// While long flows kept a backend server busy, its agent held the SYNs of
// further flows back until their callers gave up.
TEST_CASE_FIXTURE(observer_fixture,
                  "later requests of a flow aren't opening requests")
{
    observer_.on_caller_packet(request(1, 0), now_);
    observer_.on_backend_packet(answer(1), now_);
    observer_.on_caller_packet(request(1, 100), now_);
    CHECK(observer_.in_flight() == 1);
    CHECK(observer_.opening_requests(now_) == 0);
    observer_.on_caller_packet(request(2, 0), now_);
    CHECK(observer_.opening_requests(now_) == 1);
    observer_.on_new_run();
    CHECK(observer_.opening_requests(now_) == 0);
}
