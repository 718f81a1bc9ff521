// Tests of the agent's admission control: which packets it returns to the
// balancer and for which reason.
#include <daisytrail/backend_admission.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

struct admission_fixture
{
    void announce(backend_phase phase = backend_phase::ready)
    {
        backend_announcement value;
        value.id_ = "run";
        value.service_ = "orders";
        value.sequence_ = ++sequence_;
        value.phase_ = phase;
        lifecycle_.on_announcement(value, now_);
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

    return_reason offer_packet(flow_packet const& value,
                               bool is_owner_unknown = false)
    {
        auto const reason =
            admission_.refusal_reason(value, is_owner_unknown, now_);
        if (reason == return_reason::none)
        {
            observer_.on_caller_packet(value, now_);
        }
        return reason;
    }

    time_point now_{1h};
    std::uint64_t sequence_ = 0;
    backend_lifecycle lifecycle_{"orders"};
    backend_observer observer_;
    backend_admission admission_{lifecycle_, observer_, now_};
};

} // namespace

// Guards against denying open flows before the first announcement is received:
// an agent that is short of CPU time reads the announcement late.
TEST_CASE_FIXTURE(admission_fixture,
                  "an agent denies no flow before its backend server announces "
                  "itself")
{
    CHECK(offer_packet(packet(1)) == return_reason::none);
    CHECK(offer_packet(syn(2)) == return_reason::not_announced);
    now_ += 3s;
    CHECK(offer_packet(packet(1)) == return_reason::none);
    CHECK(offer_packet(packet(3), true) == return_reason::none);
    // A SYN may be refused without evidence.
    CHECK(offer_packet(syn(2)) == return_reason::not_accepting);
}

// Guards against denying the flows of a backend server that stalls for a
// moment: it would lose all of them.
TEST_CASE_FIXTURE(admission_fixture,
                  "flows of an unresponsive backend server aren't denied")
{
    announce();
    for (std::uint16_t port = 1; port < 4; ++port)
    {
        CHECK(offer_packet(syn(port)) == return_reason::none);
    }
    now_ += 1'300ms;
    REQUIRE(observer_.is_presumed_stopped(now_));
    CHECK(offer_packet(packet(10)) == return_reason::none);
    CHECK(offer_packet(packet(11), true) == return_reason::no_answer);
    CHECK_FALSE(proves_not_held(return_reason::no_answer));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "a backend server that has ended holds no flows")
{
    // An end counts only for a run that was heard for a while and drained.
    announce();
    now_ += takeover_time;
    announce(backend_phase::draining);
    lifecycle_.on_end("run");
    CHECK(offer_packet(packet(1)) == return_reason::not_held);
    CHECK(offer_packet(syn(2)) == return_reason::not_held);
    CHECK(proves_not_held(return_reason::not_held));
}

// Guards against denying the flows of a living run because the end of a former
// one with its id came late.
TEST_CASE_FIXTURE(admission_fixture,
                  "an end that may be that of another run denies no flow")
{
    SUBCASE("before any announcement")
    {
        lifecycle_.on_end("run");
    }
    SUBCASE("of a run that was heard once")
    {
        announce();
        lifecycle_.on_end("run");
    }
    SUBCASE("of a run that takes new flows")
    {
        announce();
        now_ += takeover_time;
        announce();
        lifecycle_.on_end("run");
    }
    SUBCASE("of a run that goes on to announce itself")
    {
        announce();
        now_ += takeover_time;
        announce(backend_phase::draining);
        lifecycle_.on_end("run");
        announce();
        lifecycle_.on_end("run");
    }
    SUBCASE("while another run announces itself")
    {
        announce();
        now_ += takeover_time;
        announce(backend_phase::draining);
        lifecycle_.on_end("run");
        backend_announcement other;
        other.id_ = "other";
        other.service_ = "orders";
        other.sequence_ = 2;
        REQUIRE(lifecycle_.on_announcement(other, now_) ==
                announcement_outcome::not_current);
    }
    REQUIRE(lifecycle_.phase() == backend_phase::gone);
    CHECK(offer_packet(packet(1)) == return_reason::not_accepting);
    CHECK(offer_packet(syn(2)) == return_reason::not_accepting);
    CHECK_FALSE(proves_not_held(return_reason::not_accepting));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "a draining backend server keeps its open flows")
{
    announce();
    announce(backend_phase::draining);
    CHECK(offer_packet(packet(1)) == return_reason::none);
    CHECK(offer_packet(syn(2)) == return_reason::not_accepting);
}

TEST_CASE_FIXTURE(admission_fixture,
                  "an unresponsive backend server gets SYNs with an "
                  "exponential backoff")
{
    announce();
    CHECK(offer_packet(syn(1)) == return_reason::none);
    int passed = 0;
    for (int i = 0; i < 500; ++i)
    {
        now_ += 10ms;
        admission_.update_responsiveness(now_);
        passed += offer_packet(syn(2)) == return_reason::none ? 1 : 0;
    }
    // All SYNs until the backend server counts as unresponsive, then single
    // SYNs after 250, 500, 1,000 and 2,000 ms.
    CHECK(passed >= 17);
    CHECK(passed <= 20);
}

// Guards against packets of open flows that reach nobody: the end of a former
// run came late and was taken for the end of the run that owns the flows.
TEST_CASE_FIXTURE(admission_fixture,
                  "an end that may be that of another run keeps open flows")
{
    announce();
    now_ += takeover_time;
    announce();
    REQUIRE(offer_packet(syn(1)) == return_reason::none);
    auto syn_ack = syn(1);
    std::swap(syn_ack.source_, syn_ack.destination_);
    syn_ack.ack_ = true;
    observer_.on_backend_packet(syn_ack, now_);
    REQUIRE(offer_packet(packet(1)) == return_reason::none);
    lifecycle_.on_end("run");
    CHECK(offer_packet(packet(1)) == return_reason::none);
    CHECK(offer_packet(packet(2)) == return_reason::not_accepting);
    CHECK(offer_packet(syn(3)) == return_reason::not_accepting);
}
