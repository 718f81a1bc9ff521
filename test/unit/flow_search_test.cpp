// Simulates searches for a flow's owner on virtual time: agents answer
// questions after a delay, and backend servers return packets of flows that
// they don't hold.
#include "forwarding_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

// How a simulated target responds in a search.
struct target_behaviour
{
    flow_ownership answer_ = flow_ownership::not_held;
    duration answer_delay_ = 5ms; // from a question to its answer
    duration return_delay_ = 5ms; // from an offered packet to its return
    bool holds_flow_ = false;
    bool is_silent_ = false;
};

struct search_simulation : forwarding_fixture
{
    // Adds targets and returns their names in the order of a search's ranking.
    std::vector<std::string> add_ranked(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            add_target("target-" + std::to_string(i));
        }
        std::vector<std::string> result;
        flow_forwarder other(directory_, {}, now_ - 1min);
        auto action = other.on_packet(packet(1), now_);
        while (!action.questions_.empty())
        {
            auto const asked = action.questions_;
            for (auto const* const target : asked)
            {
                result.push_back(target->record_.name_);
                action = other.on_owner_answer(packet(1).flow_from_caller(),
                                               target->record_.target_,
                                               flow_ownership::not_held, now_);
            }
        }
        for (auto const& name : result)
        {
            report(name, {});
        }
        REQUIRE(result.size() == static_cast<std::size_t>(count));
        return result;
    }

    void carry_out(forward_action const& action)
    {
        for (auto const* const target : action.questions_)
        {
            ++questions_;
            ask(target->record_.name_);
        }
        for (auto* const target : action.offers_)
        {
            offer(target);
        }
        bool const is_found = action.step_ == forward_step::send &&
                              action.cause_ == forward_cause::found;
        if (is_found)
        {
            found_owner_ = action.target_->record_.name_;
        }
        was_reset_ = was_reset_ || action.step_ == forward_step::reset;
    }

    void ask(std::string const& name)
    {
        auto const& behaviour = behaviours_[name];
        if (!behaviour.is_silent_)
        {
            schedule(behaviour.answer_delay_,
                     [this, name] {
                         carry_out(answer(packet(1), name,
                                          behaviours_[name].answer_));
                     });
        }
    }

    void offer(forward_target* target)
    {
        auto const& name = target->record_.name_;
        auto const& behaviour = behaviours_[name];
        if (behaviour.holds_flow_)
        {
            schedule(
                behaviour.answer_delay_, [this, name]
                { carry_out(answer(packet(1), name, flow_ownership::held)); });
            return;
        }
        ++misdirected_packets_;
        schedule(behaviour.return_delay_, [this, target]
                 { carry_out(return_packet(packet(1), target)); });
    }

    void schedule(duration time, std::function<void()> callback)
    {
        events_.emplace(now_ + time, std::move(callback));
    }

    // Advances the time, with a balancer tick every 100 ms.
    void run_for(duration time)
    {
        auto const end = now_ + time;
        for (int step = 0; now_ < end; ++step, now_ += 5ms)
        {
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                auto const callback = events_.extract(events_.begin()).mapped();
                callback();
            }
            if (step % 20 != 0)
            {
                continue;
            }
            confirm();
            forwarder_->tick(now_);
            for (auto const& key : forwarder_->overdue_searches(now_))
            {
                carry_out(forwarder_->continue_search(key, now_));
            }
        }
    }

    std::map<std::string, target_behaviour> behaviours_;
    std::multimap<time_point, std::function<void()>> events_;
    int questions_ = 0;
    int misdirected_packets_ = 0; // offers to targets that don't hold the flow
    std::string found_owner_;
    bool was_reset_ = false;
};

} // namespace

// Regression (issue 19): for 2.8 s packets went to the backend servers of three
// restarted agents before the owner was asked.
TEST_CASE_FIXTURE(search_simulation,
                  "a search misdirects at most two packets to restarted agents")
{
    auto const ranked = add_ranked(30);
    for (auto const& name : ranked)
    {
        behaviours_[name].answer_delay_ = 350ms;
    }
    for (auto const i : {1U, 7U, 9U})
    {
        behaviours_[ranked[i]] = {flow_ownership::undetermined, 20ms, 700ms};
    }
    behaviours_[ranked.back()] = {flow_ownership::held, 400ms, 0ms, true};
    carry_out(send(packet(1)));
    run_for(2s);
    CHECK(found_owner_ == ranked.back());
    CHECK(misdirected_packets_ <= 2);
}

TEST_CASE_FIXTURE(search_simulation,
                  "an unanswered offer doesn't delay further questions")
{
    auto const ranked = add_ranked(30);
    behaviours_[ranked[0]] = {flow_ownership::undetermined, 5ms, 10s};
    behaviours_[ranked.back()] = {flow_ownership::held, 5ms, 0ms, true};
    carry_out(send(packet(1)));
    run_for(300ms);
    CHECK(found_owner_ == ranked.back());
}

TEST_CASE_FIXTURE(search_simulation,
                  "an unanswered question doesn't delay further ones")
{
    auto const ranked = add_ranked(30);
    behaviours_[ranked[0]].is_silent_ = true;
    behaviours_[ranked.back()] = {flow_ownership::held, 5ms, 0ms, true};
    carry_out(send(packet(1)));
    run_for(500ms);
    CHECK(found_owner_ == ranked.back());
}

// A third packet that is misdirected to other backend servers breaks the flow
// while its owner is silent.
TEST_CASE_FIXTURE(search_simulation,
                  "few packets are misdirected while the owner is silent")
{
    auto const ranked = add_ranked(12);
    for (auto const i : {0U, 2U, 4U, 6U})
    {
        behaviours_[ranked[i]] = {flow_ownership::undetermined, 5ms, 1s};
    }
    behaviours_[ranked[3]].is_silent_ = true;
    carry_out(send(packet(1)));
    run_for(3s);
    CHECK(misdirected_packets_ <= 2);
    CHECK_FALSE(was_reset_);
}

TEST_CASE_FIXTURE(search_simulation,
                  "an undetermined owner is found without waiting for returns")
{
    auto const ranked = add_ranked(12);
    for (auto const& name : ranked)
    {
        behaviours_[name] = {flow_ownership::undetermined, 5ms, 500ms};
    }
    behaviours_[ranked[6]].holds_flow_ = true;
    carry_out(send(packet(1)));
    run_for(300ms);
    CHECK(found_owner_ == ranked[6]);
}

// Agents often look silent because the balancer itself is late, so that a
// silent owner mustn't be asked last.
TEST_CASE_FIXTURE(search_simulation,
                  "a silent owner is asked in the order of rank")
{
    auto const ranked = add_ranked(30);
    directory_.on_datagram_sent(*directory_.find(hash_name(ranked[0])), now_);
    now_ += 400ms;
    behaviours_[ranked[0]] = {flow_ownership::held, 5ms, 0ms, true};
    carry_out(send(packet(1)));
    run_for(10ms);
    CHECK(found_owner_ == ranked[0]);
    CHECK(questions_ == 6);
}

TEST_CASE_FIXTURE(search_simulation,
                  "an agent that has answered isn't asked again")
{
    auto const ranked = add_ranked(30);
    behaviours_[ranked[4]].is_silent_ = true;
    carry_out(send(packet(1)));
    run_for(2s);
    // The silent agent is asked again after 150, 300, then every 600 ms.
    CHECK(questions_ <= 30 + 5);
}

TEST_CASE_FIXTURE(search_simulation,
                  "the first return of an offered packet is dropped")
{
    auto const ranked = add_ranked(2);
    send(packet(1));
    answer(packet(1), ranked[0], flow_ownership::undetermined);
    auto const offer =
        answer(packet(1), ranked[1], flow_ownership::undetermined);
    REQUIRE(offer.offers_.size() == 2);
    CHECK(answer(packet(1), ranked[0], flow_ownership::held).step_ ==
          forward_step::send);
    CHECK(return_packet(packet(1), offer.offers_[1]).step_ ==
          forward_step::drop);
    // A later packet that the target returns goes to the owner.
    CHECK(return_packet(packet(1), offer.offers_[1]).target_ ==
          offer.offers_[0]);
}

TEST_CASE_FIXTURE(search_simulation,
                  "targets that a SYN went to are asked first")
{
    auto const ranked = add_ranked(30);
    auto const first = send(syn(1));
    now_ += 300ms;
    for (auto const& name : ranked)
    {
        report(name, {.in_flight_ = 40, .mean_in_flight_ = 40});
    }
    report(ranked.back(), {});
    auto const second = send(syn(1, 1));
    REQUIRE(second.target_->record_.name_ != first.target_->record_.name_);
    auto const asked = send(packet(1)).questions_;
    REQUIRE(asked.size() >= 2);
    std::vector<forward_target*> const syns{second.target_, first.target_};
    CHECK(std::vector(asked.begin(), asked.begin() + 2) == syns);
}

// Regression (issue 19): a balancer that had been partitioned asked all targets
// that it knew and reset a flow of a target that had joined meanwhile.
TEST_CASE_FIXTURE(search_simulation,
                  "a flow isn't reset before the view is confirmed")
{
    confirms_view_ = false;
    add_target("one");
    directory_.confirm_view(now_ - 1ms);
    send(packet(1));
    CHECK_FALSE(forwarder_->needs_view_confirmation(now_));
    auto const denied = answer(packet(1), "one", flow_ownership::not_held);
    CHECK(denied.step_ == forward_step::hold);
    CHECK(denied.cause_ == forward_cause::owner_not_found);
    CHECK(forwarder_->needs_view_confirmation(now_));
    now_ += 700ms;
    CHECK(resume_search(packet(1)).step_ == forward_step::hold);
    add_target("late");
    directory_.confirm_view(now_);
    CHECK(forwarder_->overdue_searches(now_).size() == 1);
    auto const more = resume_search(packet(1));
    REQUIRE(more.questions_.size() == 1);
    CHECK(more.questions_[0]->record_.name_ == "late");
    CHECK(answer(packet(1), "late", flow_ownership::held).step_ ==
          forward_step::send);
}

TEST_CASE_FIXTURE(search_simulation,
                  "a lost flow is reset once the view is confirmed")
{
    confirms_view_ = false;
    add_target("one");
    send(packet(1));
    now_ += 10ms;
    auto const asked = now_;
    answer(packet(1), "one", flow_ownership::not_held);
    now_ += 10ms;
    CHECK(forwarder_->overdue_searches(now_).empty());
    directory_.confirm_view(asked);
    CHECK_FALSE(forwarder_->needs_view_confirmation(now_));
    CHECK(forwarder_->overdue_searches(now_).size() == 1);
    CHECK(resume_search(packet(1)).step_ == forward_step::reset);
}

// Guards against the reset of an open flow whose agent was presumed dead when
// the search began, and came back while the search still ran.
TEST_CASE_FIXTURE(search_simulation,
                  "a target that was presumed dead is asked again once it is "
                  "back")
{
    confirms_view_ = false;
    add_target("one");
    add_target("two");
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    add_target("two", member_state::dead, false);
    for (int i = 0; i < 3; ++i)
    {
        now_ += 400ms;
        CHECK(resume_search(packet(1)).step_ == forward_step::hold);
        send(packet(1));
    }
    add_target("two");
    directory_.confirm_view(now_);
    auto const again = resume_search(packet(1));
    CHECK(again.step_ == forward_step::hold);
    REQUIRE(again.questions_.size() == 1);
    CHECK(again.questions_[0]->record_.name_ == "two");
    CHECK(answer(packet(1), "two", flow_ownership::held).step_ ==
          forward_step::send);
}

TEST_CASE_FIXTURE(search_simulation,
                  "no confirmation is requested once the caller has left")
{
    confirms_view_ = false;
    add_target("one");
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    CHECK(forwarder_->needs_view_confirmation(now_));
    now_ += 5s;
    CHECK(resume_search(packet(1)).step_ == forward_step::drop);
    CHECK_FALSE(forwarder_->needs_view_confirmation(now_));
}

// A balancer without a confirmed view started a search for each of the caller's
// packets and misdirected two packets in each search.
TEST_CASE_FIXTURE(search_simulation,
                  "no packets are offered while the owner may be unknown")
{
    confirms_view_ = false;
    auto const ranked = add_ranked(6);
    for (auto const& name : ranked)
    {
        behaviours_[name] = {flow_ownership::undetermined, 5ms, 50ms};
    }
    carry_out(send(packet(1)));
    run_for(1s);
    CHECK(misdirected_packets_ == 0);
    CHECK_FALSE(was_reset_);
    CHECK(forwarder_->needs_view_confirmation(now_));
    behaviours_["late"] = {flow_ownership::held, 5ms, 0ms, true};
    add_target("late");
    confirms_view_ = true;
    run_for(200ms);
    CHECK(found_owner_ == "late");
}

TEST_CASE_FIXTURE(search_simulation, "a target that left and rejoined is asked")
{
    confirms_view_ = false;
    add_target("one");
    add_target("two", member_state::left);
    send(packet(1));
    answer(packet(1), "one", flow_ownership::not_held);
    add_target("two");
    now_ += 10ms;
    directory_.confirm_view(now_);
    auto const more = resume_search(packet(1));
    REQUIRE(more.questions_.size() == 1);
    CHECK(more.questions_[0]->record_.name_ == "two");
}

// After a power failure no balancer has run for long enough to confirm
// another's view.
TEST_CASE_FIXTURE(search_simulation,
                  "the stored list stands in for a view nobody can confirm")
{
    confirms_view_ = false;
    forwarder_ = std::make_unique<flow_forwarder>(
        directory_, flow_forwarder_settings{}, now_);
    auto const ranked = add_ranked(4);
    for (auto const& name : ranked)
    {
        behaviours_[name] = {flow_ownership::undetermined, 5ms, 20ms};
    }
    behaviours_[ranked[2]].holds_flow_ = true;
    std::vector<target_record> stored;
    stored.reserve(ranked.size());
    for (auto const& name : ranked)
    {
        stored.emplace_back().target_ = hash_name(name);
    }
    directory_.expect_targets(stored);
    carry_out(send(packet(1)));
    run_for(900ms);
    CHECK(misdirected_packets_ == 0); // a new target may be missing
    run_for(900ms);
    CHECK(found_owner_ == ranked[2]);
}

// A search waited for a silent agent before it needed a confirmed view, and for
// a confirmed view before it offered packets without that agent's answer.
TEST_CASE_FIXTURE(search_simulation,
                  "a silent agent doesn't prevent a view confirmation")
{
    confirms_view_ = false;
    auto const ranked = add_ranked(2);
    send(packet(1));
    answer(packet(1), ranked[0], flow_ownership::undetermined);
    now_ += 1s;
    resume_search(packet(1));
    CHECK(forwarder_->needs_view_confirmation(now_));
    directory_.confirm_view(now_);
    CHECK(resume_search(packet(1)).offers_.size() == 1);
}

// A balancer that was late itself treated a live target as silent, and other
// balancers had declared the target dead.
TEST_CASE_FIXTURE(search_simulation,
                  "a silent target that was declared dead is asked")
{
    auto owner = add_target("one");
    add_target("two");
    owner.state_ = member_state::dead;
    directory_.apply(owner);
    directory_.on_datagram_sent(*directory_.find(owner.target_), now_);
    now_ += 400ms;
    CHECK(send(packet(1)).questions_.size() == 2);
    answer(packet(1), "two", flow_ownership::not_held);
    CHECK(answer(packet(1), "one", flow_ownership::held).step_ ==
          forward_step::send);
}

// The answer took longer than the initial retransmission timeout, and the flow
// was reset.
TEST_CASE_FIXTURE(search_simulation,
                  "a silent target that was declared dead has time to "
                  "answer")
{
    auto owner = add_target("one");
    add_target("two");
    owner.state_ = member_state::dead;
    directory_.apply(owner);
    directory_.on_datagram_sent(*directory_.find(owner.target_), now_);
    now_ += 400ms;
    send(packet(1));
    answer(packet(1), "two", flow_ownership::not_held);
    now_ += 300ms;
    CHECK(resume_search(packet(1)).questions_.size() == 1);
    CHECK(answer(packet(1), "one", flow_ownership::held).step_ ==
          forward_step::send);
}

// Answers to questions about flows didn't end an agent's silence, so that each
// target that was asked got no new flows, and offers didn't wait for it.
TEST_CASE_FIXTURE(search_simulation,
                  "an agent that answered a question isn't silent")
{
    add_target("one");
    add_target("two");
    send(packet(1));
    auto const answered = [this](std::string const& name)
    {
        now_ += 5ms;
        forwarder_->on_owner_answer(packet(1).flow_from_caller(),
                                    hash_name(name), flow_ownership::not_held,
                                    now_);
    };
    answered("one");
    now_ += 400ms;
    CHECK_FALSE(directory_.find(hash_name("one"))->is_silent(now_));
    CHECK(directory_.find(hash_name("two"))->is_silent(now_));
}

// The log didn't show how many targets a search had asked before a reset (issue
// 19).
TEST_CASE_FIXTURE(search_simulation,
                  "a search reports its progress when it ends")
{
    confirms_view_ = false;
    auto const ranked = add_ranked(3);
    CHECK_FALSE(send(packet(1)).search_);
    now_ += 20ms;
    CHECK_FALSE(
        answer(packet(1), ranked[0], flow_ownership::undetermined).search_);
    answer(packet(1), ranked[1], flow_ownership::not_held);
    SUBCASE("owner found")
    {
        auto const end = answer(packet(1), ranked[2], flow_ownership::held);
        REQUIRE(end.search_);
        CHECK(end.search_->known_ == 3);
        CHECK(end.search_->asked_ == 3);
        CHECK(end.search_->denied_ == 1);
        CHECK(end.search_->undetermined_ == 1);
        CHECK(end.search_->age_ == 20ms);
    }
    SUBCASE("held and then reset")
    {
        answer(packet(1), ranked[2], flow_ownership::not_held);
        auto const wait =
            return_packet(packet(1), directory_.find(hash_name(ranked[0])));
        REQUIRE(wait.search_);
        CHECK(wait.cause_ == forward_cause::owner_not_found);
        CHECK(wait.search_->denied_ == 3);
        now_ += 200ms;
        CHECK_FALSE(resume_search(packet(1)).search_);
        confirms_view_ = true;
        auto const end = resume_search(packet(1));
        CHECK(end.step_ == forward_step::reset);
        REQUIRE(end.search_);
        CHECK(end.search_->denied_ == 3);
        CHECK(end.search_->age_ == 220ms);
    }
}

// A balancer that received a new route late reset the route's open flows (issue
// 19).
TEST_CASE_FIXTURE(forwarding_fixture,
                  "an open flow isn't reset before its route is known")
{
    add_target("one");
    auto open = packet(1);
    open.destination_.port_ = 444;
    auto const early = send(open);
    CHECK(early.step_ == forward_step::drop);
    CHECK(early.cause_ == forward_cause::no_route);
    organisation_template added{"org", {}, {}};
    added.routes_.push_back({"main", vip, {{hash_name(service_name), 1}}});
    added.routes_.push_back(
        {"new", open.destination_, {{hash_name(service_name), 1}}});
    directory_.apply(added, 2);
    CHECK(send(open).cause_ == forward_cause::searched);
    SUBCASE("a reset follows once the route is removed")
    {
        added.routes_.pop_back();
        directory_.apply(added, 3);
        CHECK(send(open).step_ == forward_step::reset);
        CHECK(send(open).cause_ == forward_cause::no_route);
        open.reset_ = true;
        CHECK(send(open).step_ == forward_step::drop);
    }
    SUBCASE("no reset while another organisation's route has the VIP")
    {
        organisation_template other{"other", {}, {}};
        other.routes_.push_back(added.routes_.back());
        added.routes_.pop_back();
        directory_.apply(other, 3);
        directory_.apply(added, 4);
        CHECK(send(open).step_ != forward_step::reset);
    }
}

TEST_CASE_FIXTURE(forwarding_fixture,
                  "the number of remembered removed VIPs is bounded")
{
    constexpr std::uint16_t count = 20'000;
    organisation_template many{"many", {}, {}};
    for (std::uint16_t port = 1; port <= count; ++port)
    {
        many.routes_.push_back(
            {"r", {0x0A000002, port}, {{hash_name(service_name), 1}}});
    }
    directory_.apply(many, 2);
    many.routes_.clear();
    directory_.apply(many, 3);
    CHECK_FALSE(directory_.was_removed({0x0A000002, 1}));
    CHECK(directory_.was_removed({0x0A000002, count}));
}
