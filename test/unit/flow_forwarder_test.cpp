// Tests of a balancer's decisions for forwarded flows.
#include "forwarding_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(forwarding_fixture,
                  "packets of a flow go to the target of its SYN")
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
                  "packets of an unknown flow are held until its owner answers")
{
    add_target("one");
    add_target("two");
    add_target("three");
    auto const first = send(packet(1));
    REQUIRE(first.step_ == forward_step::hold);
    CHECK(first.cause_ == forward_cause::searched);
    CHECK(first.questions_.size() == 3);
    auto const more = send(packet(1));
    CHECK(more.step_ == forward_step::hold);
    CHECK(more.questions_.empty());
    CHECK(answer(packet(1), "one", flow_ownership::not_held).step_ ==
          forward_step::hold);
    auto const found = answer(packet(1), "two", flow_ownership::held);
    REQUIRE(found.step_ == forward_step::send);
    CHECK(found.cause_ == forward_cause::found);
    CHECK(found.target_->record_.name_ == "two");
    CHECK_FALSE(found.is_owner_unknown_);
    auto const next = send(packet(1));
    CHECK(next.cause_ == forward_cause::known);
    CHECK(next.target_ == found.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a flow that no target holds is reset")
{
    add_target("one");
    add_target("two");
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    auto const end = answer(packet(1), "two", flow_ownership::not_held);
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::no_owner);
}

// An agent that started after its backend server is undetermined about flows
// that were opened before.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "an undetermined target is offered the packet")
{
    add_target("one");
    add_target("two");
    send(packet(1));
    auto const early = answer(packet(1), "one", flow_ownership::undetermined);
    CHECK(early.step_ == forward_step::hold);
    auto const offer = answer(packet(1), "two", flow_ownership::not_held);
    REQUIRE(offer.step_ == forward_step::send);
    REQUIRE(offer.offers_.size() == 1);
    CHECK(offer.target_ == offer.offers_[0]);
    CHECK(offer.target_->record_.name_ == "one");
    CHECK(offer.is_owner_unknown_);
    CHECK(send(packet(1)).step_ == forward_step::hold);
    SUBCASE("the target returns it")
    {
        auto const end = return_packet(packet(1), offer.target_);
        CHECK(end.step_ == forward_step::reset);
    }
    SUBCASE("the owner isn't sent the packet twice")
    {
        auto const held = answer(packet(1), "one", flow_ownership::held);
        CHECK(held.step_ == forward_step::send);
        CHECK(held.offers_.empty());
        CHECK_FALSE(held.is_owner_unknown_);
        CHECK(send(packet(1)).target_ == offer.target_);
    }
    SUBCASE("an unanswered offer is repeated")
    {
        now_ += 200ms;
        auto const soon = resume_search(packet(1));
        CHECK(soon.step_ == forward_step::hold);
        CHECK(soon.questions_.empty());
        now_ += 400ms;
        CHECK(resume_search(packet(1)).questions_ == offer.offers_);
        auto const again =
            answer(packet(1), "one", flow_ownership::undetermined);
        CHECK(again.offers_ == offer.offers_);
        CHECK(send(packet(1)).step_ == forward_step::hold);
    }
}

// After all processes were killed, one agent that started late delayed the
// offers of all searches.
TEST_CASE_FIXTURE(forwarding_fixture, "a silent agent doesn't delay an offer")
{
    add_target("one");
    add_target("two");
    send(packet(1));
    answer(packet(1), "one", flow_ownership::undetermined);
    now_ += 360ms;
    auto const offer = resume_search(packet(1));
    REQUIRE(offer.offers_.size() == 1);
    CHECK(offer.target_->record_.name_ == "one");
    REQUIRE(offer.questions_.size() == 1);
    CHECK(offer.questions_[0]->record_.name_ == "two");
}

// A balancer that was busy for 300 ms hadn't read the owner's reports. It
// treated the owner as silent, asked all other targets and reset an open flow.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a flow isn't reset while a target owes an answer")
{
    add_target("one");
    add_target("two");
    CHECK(send(packet(1)).questions_.size() == 2);
    answer(packet(1), "one", flow_ownership::not_held);
    CHECK(forwarder_->overdue_searches(now_).empty());
    now_ += 200ms;
    CHECK(forwarder_->overdue_searches(now_).size() == 1);
    auto const again = resume_search(packet(1));
    CHECK(again.step_ == forward_step::hold);
    REQUIRE(again.questions_.size() == 1);
    CHECK(again.questions_[0]->record_.name_ == "two");
    CHECK(forwarder_->overdue_searches(now_).empty());
    now_ += 400ms;
    CHECK(resume_search(packet(1)).questions_.size() == 1);
    auto const end = answer(packet(1), "two", flow_ownership::not_held);
    CHECK(end.step_ == forward_step::reset);
}

TEST_CASE_FIXTURE(forwarding_fixture, "an owner that answers late is found")
{
    add_target("one");
    add_target("two");
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    now_ += 200ms;
    resume_search(packet(1));
    now_ += 400ms;
    CHECK(resume_search(packet(1)).step_ == forward_step::hold);
    auto const found = answer(packet(1), "two", flow_ownership::held);
    CHECK(found.step_ == forward_step::send);
    CHECK(send(packet(1)).target_->record_.name_ == "two");
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a flow isn't reset while an agent restarts")
{
    add_target("one");
    add_target("two", member_state::draining, false);
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    for (int i = 0; i < 5; ++i)
    {
        now_ += 700ms;
        CHECK(send(packet(1)).step_ == forward_step::hold);
        CHECK(resume_search(packet(1)).questions_.size() == 1);
    }
    SUBCASE("it is reset after the agent is back")
    {
        CHECK(answer(packet(1), "two", flow_ownership::not_held).step_ ==
              forward_step::reset);
    }
    SUBCASE("it is reset after the target is declared dead")
    {
        add_target("two", member_state::dead, false);
        now_ += 700ms;
        CHECK(resume_search(packet(1)).step_ == forward_step::reset);
    }
    SUBCASE("the search ends after the caller has left")
    {
        now_ += 5s;
        CHECK(resume_search(packet(1)).step_ == forward_step::drop);
        CHECK_FALSE(forwarder_->is_searching(packet(1).flow_from_caller()));
    }
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a flow of a dead target is reset once all others deny it")
{
    auto dead_target = add_target("one");
    add_target("two");
    dead_target.state_ = member_state::dead;
    directory_.apply(dead_target);
    directory_.on_datagram_sent(*directory_.find(dead_target.target_), now_);
    now_ += 400ms;
    CHECK(send(packet(1)).questions_.size() == 2);
    CHECK(answer(packet(1), "two", flow_ownership::not_held).step_ ==
          forward_step::hold);
    now_ += 360ms;
    CHECK(forwarder_->overdue_searches(now_).size() == 1);
    auto const end = resume_search(packet(1));
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::no_owner);
}

// On small VMs a live target was declared dead, and its open flows were reset.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a target that was wrongly declared dead keeps its flows")
{
    auto owner = add_target("one");
    add_target("two");
    owner.state_ = member_state::dead;
    directory_.apply(owner);
    CHECK(send(syn(2)).target_->record_.name_ == "two");
    CHECK(send(packet(1)).questions_.size() == 2);
    auto const found = answer(packet(1), "one", flow_ownership::held);
    CHECK(found.target_->record_.name_ == "one");
}

// After a power failure each of up to 16 packets in flight was sent to all 44
// targets in turn, and this traffic saturated the links of small VMs.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a search asks the best-ranked targets first")
{
    for (char name = 'a'; name < 'k'; ++name)
    {
        add_target(std::string(1, name));
    }
    auto const first = send(packet(1));
    REQUIRE(first.questions_.size() == 6);
    forward_action action;
    for (auto const* const target : first.questions_)
    {
        action =
            answer(packet(1), target->record_.name_, flow_ownership::not_held);
    }
    CHECK(action.step_ == forward_step::hold);
    CHECK(action.questions_.size() == 4);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a target that joins during a search is asked too")
{
    add_target("one");
    send(packet(1));
    add_target("late");
    auto const next = answer(packet(1), "one", flow_ownership::not_held);
    REQUIRE(next.questions_.size() == 1);
    CHECK(next.questions_[0]->record_.name_ == "late");
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "other targets are asked after a known flow's packet returns")
{
    add_target("one");
    add_target("two");
    auto const opened = send(syn(1));
    auto const returned = return_packet(packet(1), opened.target_);
    CHECK(returned.step_ == forward_step::hold);
    REQUIRE(returned.questions_.size() == 1);
    CHECK(returned.questions_[0] != opened.target_);
}

// After a SYN retransmission went to a second backend server, that server
// dropped the flow's packets for 4 s instead of returning them.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "the owner is searched after SYNs went to two targets")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    now_ += 300ms;
    auto const second = send(syn(1, 1));
    REQUIRE(second.target_ != first.target_);
    CHECK(send(packet(1)).questions_.size() == 2);
    CHECK(answer(packet(1), "one", flow_ownership::undetermined).step_ ==
          forward_step::hold);
    auto const offer = answer(packet(1), "two", flow_ownership::undetermined);
    REQUIRE(offer.step_ == forward_step::send);
    CHECK(offer.is_owner_unknown_);
    CHECK(offer.offers_ ==
          std::vector<forward_target*>{second.target_, first.target_});
    CHECK(return_packet(packet(1), first.target_).step_ == forward_step::hold);
    auto const found =
        answer(packet(1), second.target_->record_.name_, flow_ownership::held);
    REQUIRE(found.step_ == forward_step::send);
    CHECK(found.target_ == second.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "questions are retransmitted with exponential backoff")
{
    add_target("one", member_state::ready, false);
    send(packet(1));
    int repeats = 0;
    for (int i = 0; i < 300; ++i, now_ += 10ms)
    {
        if (!forwarder_->overdue_searches(now_).empty())
        {
            CHECK(resume_search(packet(1)).questions_.size() == 1);
            ++repeats;
        }
    }
    CHECK(repeats >= 4);
    CHECK(repeats <= 6);
}

// On a VM of 0.028 cores a balancer had discovered half of 60 targets 1.5 s
// after its start, and reset flows of the other targets.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a balancer that has just started resets no unknown flow")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    add_target("one");
    directory_.expect_targets(listed({"one", "two"}));
    now_ += 2s;
    send(packet(1));
    CHECK(answer(packet(1), "one", flow_ownership::not_held).step_ ==
          forward_step::hold);
    now_ += 2100ms;
    CHECK(resume_search(packet(1)).step_ == forward_step::reset);
}

// After a power failure callers of lost flows had to wait for the whole period
// in which a balancer that has just started withholds resets.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a balancer that knows all stored targets may reset")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    add_target("one");
    directory_.expect_targets(listed({"one", "two"}));
    send(packet(1));
    CHECK(answer(packet(1), "one", flow_ownership::not_held).step_ ==
          forward_step::hold);
    add_target("two");
    now_ += 300ms;
    CHECK(resume_search(packet(1)).questions_.size() == 1);
    CHECK(answer(packet(1), "two", flow_ownership::not_held).step_ ==
          forward_step::reset);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a returned SYN goes to another target")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    auto const second = return_packet(syn(1), first.target_);
    REQUIRE(second.step_ == forward_step::send);
    CHECK(second.cause_ == forward_cause::moved);
    auto const end = return_packet(syn(1), second.target_);
    CHECK(end.step_ == forward_step::reset);
    CHECK(end.cause_ == forward_cause::no_target);
}

// After a power failure agents are back before their backend servers announce
// themselves. Resets made callers use up their attempts within milliseconds.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a SYN isn't reset while a target may accept it soon")
{
    add_target("one");
    auto const first = send(syn(1));
    auto const end =
        return_packet(syn(1), first.target_, return_reason::not_announced);
    CHECK(end.step_ == forward_step::drop);
    CHECK(end.cause_ == forward_cause::retransmission_expected);
    now_ += 200ms;
    CHECK(send(syn(1, 1)).step_ == forward_step::send);
}

// After a power failure balancers were back before the agents and reset every
// SYN.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a balancer that has just started doesn't refuse flows")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    CHECK(send(syn(1)).cause_ == forward_cause::retransmission_expected);
    now_ += 300ms;
    add_target("one");
    CHECK(send(syn(1, 1)).step_ == forward_step::send);
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "a late SYN retransmission goes to another target")
{
    add_target("one");
    add_target("two");
    auto const first = send(syn(1));
    now_ += 50ms;
    CHECK(send(syn(1, 1)).target_ == first.target_);
    now_ += 150ms;
    CHECK(send(syn(1, 1)).target_ != first.target_);
}

TEST_CASE_FIXTURE(forwarding_fixture, "a SYN to an unknown VIP is reset")
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
                  "an older template doesn't replace a newer one")
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
    // Another balancer doesn't know the flow and searches its owner.
    flow_forwarder elsewhere(directory_, {}, now_ - 1min);
    auto const searched = elsewhere.on_packet(packet(1), now_);
    CHECK(std::ranges::find(searched.questions_, opened.target_) !=
          searched.questions_.end());
}

// Regression (issue 11): an open flow was reset while 300 VMs started.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "no reset while a balancer that has just started "
                  "still discovers targets")
{
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    // Returns the decision for a flow that no target holds.
    auto const search_after = [this](duration time, std::uint16_t port)
    {
        now_ += time;
        forwarder_->tick(now_);
        send(packet(port));
        answer(packet(port), "one", flow_ownership::not_held);
        return answer(packet(port), "two", flow_ownership::not_held).step_;
    };
    add_target("one");
    forwarder_->tick(now_);
    now_ += 3'500ms;
    add_target("two");
    CHECK(search_after(100ms, 1) == forward_step::hold);
    CHECK(search_after(1'500ms, 2) == forward_step::hold);
    CHECK(search_after(3'000ms, 3) == forward_step::reset);
    // A target that joins later doesn't restart the reset discovery timeout.
    add_target("three");
    now_ += 100ms;
    forwarder_->tick(now_);
    send(packet(4));
    answer(packet(4), "one", flow_ownership::not_held);
    answer(packet(4), "two", flow_ownership::not_held);
    CHECK(answer(packet(4), "three", flow_ownership::not_held).step_ ==
          forward_step::reset);
}

// Guards against a cause considered in issue 16: a SYN retransmission goes to
// the service of an older template.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a retransmitted SYN follows the newest template")
{
    add_target("one");
    CHECK(send(syn(1)).target_->record_.name_ == "one");
    organisation_template moved{"org", {}, {}};
    moved.routes_.push_back({"main", vip, {{hash_name("org/other"), 1}}});
    directory_.apply(moved, 2);
    auto other = add_target("other");
    other.service_ = hash_name("org/other");
    other.version_.sequence_ += 1;
    directory_.apply(other);
    now_ += 200ms;
    auto const copy = send(syn(1, 1));
    REQUIRE(copy.step_ == forward_step::send);
    CHECK(copy.target_->record_.name_ == "other");
}

TEST_CASE_FIXTURE(forwarding_fixture, "a draining target gets no new flow")
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
        report("one", {.in_flight_ = 12, .mean_in_flight_ = 12});
        report("two", {.in_flight_ = 1, .mean_in_flight_ = 1});
        CHECK(send(syn(port)).target_->record_.name_ == "two");
    }
}

TEST_CASE_FIXTURE(forwarding_fixture, "idle flows are removed")
{
    add_target("one");
    send(syn(1));
    CHECK(forwarder_->flow_count() == 1);
    now_ += 2min;
    forwarder_->tick(now_);
    CHECK(forwarder_->flow_count() == 0);
}

// The copy of a SYN that waited at an agent opened the flow at a second backend
// server, which then held a slot for nothing.
TEST_CASE_FIXTURE(forwarding_fixture,
                  "a copy of a SYN that waits at an agent goes there too")
{
    add_target("one");
    add_target("two");
    auto* const target = send(syn(1)).target_;
    forwarder_->on_syn_waits(syn(1).flow_from_caller(),
                             target->record_.target_);
    now_ += 200ms;
    directory_.mark_responsive(target->record_.target_);
    CHECK(send(syn(1, 1)).target_ == target);
    SUBCASE("unless that agent has fallen silent")
    {
        now_ += 400ms;
        CHECK(send(syn(1, 2)).target_ != target);
    }
    SUBCASE("or its SYN was returned")
    {
        auto const moved =
            return_packet(syn(1), target, return_reason::queue_full);
        REQUIRE(moved.step_ == forward_step::send);
        CHECK(moved.target_ != target);
    }
}
