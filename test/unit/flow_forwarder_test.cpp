// Tests of a balancer's decisions for forwarded flows.
#include <daisytrail/flow_forwarder.hpp>

#include <doctest/doctest.h>

#include <utility>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint vip{0x0A000001, 443};
constexpr std::string_view service_name = "org/orders";

struct forwarding_fixture
{
    forwarding_fixture()
    {
        organisation_template organisation{"org", {}, {}};
        organisation.routes_.push_back(
            {"main", vip, {{hash_name(service_name), 1}}});
        directory_.apply(organisation, 1);
        flow_forwarder_settings settings;
        settings.failure_domain_ = "a";
        forwarder_ =
            std::make_unique<flow_forwarder>(directory_, settings, now_ - 1min);
    }

    target_record add_target(std::string const& name,
                             member_state state = member_state::ready,
                             bool reports = true)
    {
        target_record record;
        record.name_ = name;
        record.target_ = hash_name(name);
        record.service_ = hash_name(service_name);
        record.failure_domain_ = "a";
        record.slots_ = 4;
        record.state_ = state;
        record.version_ = {1, ++sequence_};
        directory_.apply(record);
        if (reports)
        {
            report(name, {});
        }
        return record;
    }

    void report(std::string const& name, load_report load)
    {
        load.accepts_ = true;
        directory_.heard(hash_name(name), load, now_);
    }

    flow_packet packet(std::uint16_t port) const
    {
        flow_packet result;
        result.source_ = {0x64000001, port};
        result.destination_ = vip;
        result.ack_ = true;
        result.payload_bytes_ = 100;
        return result;
    }

    flow_packet syn(std::uint16_t port, std::uint8_t copy = 0) const
    {
        auto result = packet(port);
        result.syn_ = true;
        result.ack_ = false;
        result.payload_bytes_ = 0;
        result.syn_copy_ = copy;
        return result;
    }

    forward_action send(flow_packet const& value)
    {
        return forwarder_->on_packet(value, now_);
    }

    forward_action give_back(flow_packet const& value, forward_target* from,
                             return_reason reason = return_reason::not_held)
    {
        directory_.heard(from->record_.target_, {.accepts_ = true}, now_);
        return forwarder_->on_returned(value, from->record_.target_, reason,
                                       now_);
    }

    time_point now_{1h};
    std::uint64_t sequence_ = 0;
    forward_directory directory_;
    std::unique_ptr<flow_forwarder> forwarder_;
};

} // namespace

TEST_CASE_FIXTURE(forwarding_fixture, "packets of a flow follow its SYN")
{
    add_target("one");
    add_target("two");
    auto const opened = send(syn(1));
    REQUIRE(opened.step_ == forward_step::send);
    CHECK(opened.cause_ == forward_cause::placed);
    auto const next = send(packet(1));
    CHECK(next.cause_ == forward_cause::known);
    CHECK(next.target_ == opened.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "an unknown flow is searched until a target keeps it")
{
    add_target("one");
    add_target("two");
    add_target("three");
    auto const first = send(packet(1));
    REQUIRE(first.step_ == forward_step::send);
    auto const second = give_back(packet(1), first.target_);
    REQUIRE(second.step_ == forward_step::send);
    CHECK(second.target_ != first.target_);
    CHECK(send(packet(1)).target_ == second.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a flow that every target returned is reset")
{
    add_target("one");
    add_target("two");
    auto const first = send(packet(1));
    auto const second = give_back(packet(1), first.target_);
    auto const end = give_back(packet(1), second.target_);
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::nobody_holds);
}

// A balancer that was busy for 300 ms had not read the owner's reports, took
// it for silent, asked all others and reset an open flow.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a target that only seemed silent may own the flow")
{
    add_target("one");
    add_target("two");
    now_ += 10ms;
    auto const owner = send(packet(1));
    now_ += 320ms;
    auto const other = send(packet(1));
    REQUIRE(other.target_ != owner.target_);
    auto const end = give_back(packet(1), other.target_);
    CHECK(end.step_ == forward_step::drop);
    CHECK(end.cause_ == forward_cause::owner_missing);
    // A later packet begins a new search.
    CHECK(send(packet(1)).step_ == forward_step::drop);
    now_ += 300ms;
    CHECK(send(packet(1)).step_ == forward_step::send);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "no reset while a target's agent restarts")
{
    add_target("one");
    add_target("two", member_state::draining, false);
    auto const first = send(packet(1));
    auto const second = give_back(packet(1), first.target_);
    REQUIRE(second.step_ == forward_step::send);
    now_ += 300ms;
    auto const end = second.target_->record_.name_ == "two"
                         ? send(packet(1))
                         : give_back(packet(1), second.target_);
    CHECK(end.step_ == forward_step::drop);
    CHECK(end.cause_ == forward_cause::owner_missing);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "flows of a dead target are reset once nobody holds them")
{
    auto gone = add_target("one");
    add_target("two");
    gone.state_ = member_state::dead;
    directory_.apply(gone);
    directory_.sent(*directory_.find(gone.target_), now_);
    now_ += 400ms;
    auto const only = send(packet(1));
    CHECK(only.target_->record_.name_ == "two");
    auto const end = give_back(packet(1), only.target_);
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::nobody_holds);
}

// On small VMs a live target was declared dead; its open flows were reset.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a target that was wrongly declared dead keeps its flows")
{
    auto owner = add_target("one");
    add_target("two");
    owner.state_ = member_state::dead;
    directory_.apply(owner);
    CHECK(send(syn(2)).target_->record_.name_ == "two");
    auto action = send(packet(1));
    if (action.target_->record_.name_ == "two")
    {
        action = give_back(packet(1), action.target_);
    }
    REQUIRE(action.step_ == forward_step::send);
    CHECK(action.target_->record_.name_ == "one");
}

// After a power cut each of up to 16 packets in flight asked all 44 targets.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "one packet of a flow carries a long search on")
{
    for (char name = 'a'; name < 'k'; ++name)
    {
        add_target(std::string(1, name));
    }
    auto action = send(packet(1));
    auto* slow = action.target_;
    for (int i = 0; i < 5; ++i)
    {
        action = give_back(packet(1), action.target_);
    }
    CHECK(give_back(packet(1), slow).step_ == forward_step::drop);
    CHECK(give_back(packet(1), action.target_).step_ == forward_step::send);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a SYN that is returned goes on")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    auto const second = give_back(syn(1), first.target_);
    REQUIRE(second.step_ == forward_step::send);
    CHECK(second.cause_ == forward_cause::moved);
    auto const end = give_back(syn(1), second.target_);
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::no_target);
}

// After a power cut agents are back before their backend servers announce
// themselves. Resets made callers use up their tries within milliseconds.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "no reset while a target may take the flow soon")
{
    add_target("one");
    auto const first = send(syn(1));
    auto const end =
        give_back(syn(1), first.target_, return_reason::not_announced);
    CHECK(end.step_ == forward_step::drop);
    CHECK(end.cause_ == forward_cause::not_yet);
    now_ += 200ms;
    CHECK(send(syn(1, 1)).step_ == forward_step::send);
}

// A copy of the SYN had gone to a second backend server, which swallowed the
// flow's packets for 4 s in place of returning them.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "data that nobody answers is tried at another target")
{
    add_target("one");
    add_target("two");
    auto const first = send(packet(1));
    CHECK(first.asks_owner_);
    now_ += 300ms;
    report("one", {});
    report("two", {});
    auto const again = send(packet(1));
    CHECK(again.target_ == first.target_);
    CHECK(again.asks_owner_);
    now_ += 300ms;
    report("one", {});
    report("two", {});
    auto const second = send(packet(1));
    REQUIRE(second.step_ == forward_step::send);
    CHECK(second.target_ != first.target_);
    forwarder_->on_held(packet(1).flow_from_caller(),
                        second.target_->record_.target_);
    now_ += 500ms;
    auto const third = send(packet(1));
    CHECK(third.target_ == second.target_);
    CHECK_FALSE(third.asks_owner_);
}

// Lost answers sent searches past the owner and through all other targets,
// which kept slow balancers so busy that more answers were lost.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "an agent that was heard since is asked once more")
{
    add_target("one");
    add_target("two");
    auto const first = send(packet(1));
    now_ += 300ms;
    report("one", {});
    report("two", {});
    CHECK(forwarder_->on_overdue(packet(1), now_).target_ == first.target_);
    CHECK(forwarder_->overdue_searches(now_).empty());
    now_ += 300ms;
    CHECK(forwarder_->overdue_searches(now_).size() == 1);
    CHECK(forwarder_->on_overdue(packet(1), now_).target_ != first.target_);
}

// A search that finds no owner is repeated ever more rarely.
TEST_CASE_FIXTURE(forwarding_fixture, "searches in vain are spaced out")
{
    add_target("one", member_state::ready, false);
    std::vector<duration> pauses;
    duration pause{};
    for (int i = 0; i < 600; ++i, now_ += 10ms)
    {
        if (send(packet(1)).step_ == forward_step::drop)
        {
            pause += 10ms;
        }
        else if (pause > 0ms)
        {
            pauses.push_back(std::exchange(pause, 0ms));
        }
    }
    REQUIRE(pauses.size() >= 3);
    CHECK(pauses[0] <= 260ms);
    CHECK(pauses[1] >= 490ms);
    CHECK(pauses[2] >= 990ms);
}

// A search stood still until the caller sent again, up to 1.6 s later, wherever
// a target didn't answer.
TEST_CASE_FIXTURE(forwarding_fixture, "a search goes on without the caller")
{
    add_target("one");
    add_target("two");
    auto const first = send(packet(1));
    CHECK(forwarder_->overdue_searches(now_).empty());
    now_ += 300ms;
    auto const overdue = forwarder_->overdue_searches(now_);
    REQUIRE(overdue.size() == 1);
    CHECK(overdue[0] == packet(1).flow_from_caller());
    auto const second = forwarder_->on_overdue(packet(1), now_);
    REQUIRE(second.step_ == forward_step::send);
    CHECK(second.target_ != first.target_);
    forwarder_->on_held(overdue[0], second.target_->record_.target_);
    CHECK(forwarder_->overdue_searches(now_ + 1s).empty());
    CHECK(forwarder_->on_overdue(packet(1), now_).step_ == forward_step::drop);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "an owner that answers late keeps its flow")
{
    add_target("one");
    add_target("two");
    auto const owner = send(packet(1));
    now_ += 300ms;
    auto const other = send(packet(1));
    give_back(packet(1), other.target_);
    forwarder_->on_held(packet(1).flow_from_caller(),
                        owner.target_->record_.target_);
    CHECK(send(packet(1)).target_ == owner.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "after SYNs to two targets the flow's owner is searched")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    now_ += 300ms;
    auto const second = send(syn(1, 1));
    REQUIRE(second.target_ != first.target_);
    CHECK(send(packet(1)).asks_owner_);
    now_ += 300ms;
    CHECK(send(packet(1)).target_ == first.target_);
}

// After a power cut balancers were back before the agents and reset every SYN.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a balancer that has just started doesn't refuse flows")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    CHECK(send(syn(1)).cause_ == forward_cause::not_yet);
    now_ += 300ms;
    add_target("one");
    CHECK(send(syn(1, 1)).step_ == forward_step::send);
}

// After a power cut callers of lost flows waited until the balancers had been
// up for a while.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a balancer that has met all listed targets may reset")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    add_target("one");
    directory_.expect({hash_name("one"), hash_name("two")});
    auto const first = send(packet(1));
    CHECK(give_back(packet(1), first.target_).step_ == forward_step::drop);
    add_target("two");
    now_ += 300ms;
    auto const second = send(packet(1));
    auto const third = give_back(packet(1), second.target_);
    REQUIRE(third.step_ == forward_step::send);
    CHECK(give_back(packet(1), third.target_).step_ == forward_step::reset);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a late copy of a SYN tries another target")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    now_ += 50ms;
    CHECK(send(syn(1, 1)).target_ == first.target_);
    now_ += 150ms;
    CHECK(send(syn(1, 1)).target_ != first.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture, "an unknown VIP is reset")
{
    add_target("one");
    auto value = syn(1);
    value.destination_.port_ = 444;
    auto const action = send(value);
    CHECK(action.step_ == forward_step::reset);
    CHECK(action.cause_ == forward_cause::no_route);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a caller's SYN+ACK is dropped")
{
    add_target("one");
    auto value = syn(1);
    value.ack_ = true;
    CHECK(send(value).cause_ == forward_cause::not_from_caller);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "an older template doesn't come back into force")
{
    add_target("one");
    organisation_template const without_routes{"org", {}, {}};
    CHECK(directory_.apply(without_routes, 5));
    organisation_template with_route = without_routes;
    with_route.routes_.push_back({"main", vip, {{hash_name(service_name), 1}}});
    CHECK_FALSE(directory_.apply(with_route, 4));
    CHECK(send(syn(1)).cause_ == forward_cause::no_route);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "an open flow is found after its route moved to another "
                  "service")
{
    add_target("one");
    auto const opened = send(syn(1));
    organisation_template moved{"org", {}, {}};
    moved.routes_.push_back({"main", vip, {{hash_name("org/other"), 1}}});
    directory_.apply(moved, 2);
    CHECK(send(packet(1)).target_ == opened.target_);
    // Another balancer has never seen the flow.
    flow_forwarder elsewhere(directory_, {}, now_ - 1min);
    CHECK(elsewhere.on_packet(packet(1), now_).target_ == opened.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a draining target takes no new flow")
{
    add_target("one", member_state::draining);
    add_target("two");
    for (std::uint16_t port = 1; port < 20; ++port)
    {
        CHECK(send(syn(port)).target_->record_.name_ == "two");
    }
}

TEST_CASE_FIXTURE(forwarding_fixture, "the less loaded target is preferred")
{
    add_target("one");
    add_target("two");
    for (std::uint16_t port = 1; port < 20; ++port)
    {
        report("one", {.under_way_ = 12, .mean_under_way_ = 12});
        report("two", {.under_way_ = 1, .mean_under_way_ = 1});
        CHECK(send(syn(port)).target_->record_.name_ == "two");
    }
}

TEST_CASE_FIXTURE(forwarding_fixture, "flows idle for long are forgotten")
{
    add_target("one");
    send(syn(1));
    CHECK(forwarder_->flow_count() == 1);
    now_ += 2min;
    forwarder_->tick(now_);
    CHECK(forwarder_->flow_count() == 0);
}
