// Tests of which packets an agent returns, and of what it says by that.
#include <daisytrail/backend_gate.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

struct gate_fixture
{
    void announce(backend_phase phase = backend_phase::ready)
    {
        backend_announcement value;
        value.id_ = "run";
        value.service_ = "orders";
        value.sequence_ = ++sequence_;
        value.phase_ = phase;
        life_.on_announcement(value, now_);
    }

    flow_packet packet(std::uint16_t port) const
    {
        flow_packet result;
        result.source_ = {1, port};
        result.destination_ = {2, 443};
        result.ack_ = true;
        result.payload_bytes_ = 10;
        return result;
    }

    flow_packet syn(std::uint16_t port) const
    {
        auto result = packet(port);
        result.syn_ = true;
        result.ack_ = false;
        result.payload_bytes_ = 0;
        return result;
    }

    return_reason pass(flow_packet const& value, bool is_searched = false)
    {
        auto const reason = gate_.refusal(value, is_searched, now_);
        if (reason == return_reason::none)
        {
            observer_.on_caller_packet(value, now_);
        }
        return reason;
    }

    time_point now_{1h};
    std::uint64_t sequence_ = 0;
    backend_life life_{"orders"};
    backend_observer observer_;
    backend_gate gate_{life_, observer_, now_};
};

} // namespace

// An agent that was short of processor time read its backend server's first
// announcement late, and denied flows that were open there.
TEST_CASE_FIXTURE(gate_fixture,
                  "an agent that hasn't heard its backend server yet denies no "
                  "flow")
{
    CHECK(pass(packet(1)) == return_reason::none);
    CHECK(pass(syn(2)) == return_reason::not_announced);
    now_ += 3s;
    CHECK(pass(packet(1)) == return_reason::none);
    CHECK(pass(packet(3), true) == return_reason::none);
    // A SYN may be refused without proof.
    CHECK(pass(syn(2)) == return_reason::not_accepting);
}

// A backend server that stood still for a moment lost all its flows.
TEST_CASE_FIXTURE(gate_fixture,
                  "the flows of a backend server that is silent aren't denied")
{
    announce();
    for (std::uint16_t port = 1; port < 4; ++port)
    {
        CHECK(pass(syn(port)) == return_reason::none);
    }
    now_ += 1'300ms;
    REQUIRE(observer_.is_stopped(now_));
    CHECK(pass(packet(10)) == return_reason::none);
    CHECK(pass(packet(11), true) == return_reason::no_answer);
    CHECK_FALSE(denies(return_reason::no_answer));
}

TEST_CASE_FIXTURE(gate_fixture, "a backend server that has ended holds nothing")
{
    announce();
    life_.on_end("run");
    CHECK(pass(packet(1)) == return_reason::not_held);
    CHECK(pass(syn(2)) == return_reason::not_held);
    CHECK(denies(return_reason::not_held));
}

TEST_CASE_FIXTURE(gate_fixture, "a backend server that drains keeps its flows")
{
    announce();
    announce(backend_phase::draining);
    CHECK(pass(packet(1)) == return_reason::none);
    CHECK(pass(syn(2)) == return_reason::not_accepting);
}

TEST_CASE_FIXTURE(gate_fixture,
                  "a silent backend server gets SYNs ever more rarely")
{
    announce();
    CHECK(pass(syn(1)) == return_reason::none);
    int passed = 0;
    for (int i = 0; i < 500; ++i)
    {
        now_ += 10ms;
        gate_.watch_darkness(now_);
        passed += pass(syn(2)) == return_reason::none ? 1 : 0;
    }
    // All until it is dark, then after 250, 500, 1,000 and 2,000 ms.
    CHECK(passed >= 17);
    CHECK(passed <= 20);
}
