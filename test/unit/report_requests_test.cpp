// Tests of the requests for reports. CONFIG broke when lost VMs, whose agents
// never answer, took all requests: a target whose last report said that it
// takes no flows was never asked again, and its route was refused.
#include "forwarding_fixture.hpp"

#include <daisytrail/report_requests.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

constexpr duration tick_interval = 100ms;

struct report_fixture : forwarding_fixture
{
    void add_lost_targets(int count, member_state state)
    {
        for (int i = 0; i < count; ++i)
        {
            add_target("lost-" + std::to_string(i), state, false);
        }
    }

    // Plays one tick. Targets named "lost-..." never answer.
    std::set<std::string> play_tick()
    {
        now_ += tick_interval;
        directory_.forget_ended_targets(now_);
        std::set<std::string> asked;
        for (auto* const target : next_report_requests(directory_, now_))
        {
            target->report_requested_at_ = now_;
            directory_.on_datagram_sent(*target, now_);
            auto const& name = target->record_.name_;
            asked.insert(name);
            if (!name.starts_with("lost-"))
            {
                report(name, {});
            }
        }
        return asked;
    }

    // Longest time without a request to the target, over `time`.
    duration longest_wait(std::string const& name, duration time)
    {
        duration longest{};
        auto asked_at = now_;
        for (auto const end = now_ + time; now_ < end;)
        {
            if (play_tick().contains(name))
            {
                asked_at = now_;
            }
            longest = std::max<duration>(longest, now_ - asked_at);
        }
        return longest;
    }
};

} // namespace

TEST_CASE_FIXTURE(report_fixture,
                  "lost VMs don't keep a balancer from asking the others")
{
    SUBCASE("if they were declared dead")
    {
        add_lost_targets(1'000, member_state::dead);
    }
    SUBCASE("if they are only silent")
    {
        add_lost_targets(1'000, member_state::ready);
    }
    for (int i = 0; i < 10; ++i)
    {
        add_target("live-" + std::to_string(i));
    }
    // Each target has been asked once.
    for (int i = 0; i < 300; ++i)
    {
        play_tick();
    }
    for (int i = 0; i < 10; ++i)
    {
        CHECK(longest_wait("live-" + std::to_string(i), 5s) <= 1'500ms);
    }
}

// A silent target may only have lost a report.
TEST_CASE_FIXTURE(report_fixture, "every silent target has its turn")
{
    add_lost_targets(100, member_state::ready);
    for (int i = 0; i < 100; ++i)
    {
        add_target("live-" + std::to_string(i));
    }
    for (int i = 0; i < 100; ++i)
    {
        CHECK(longest_wait("lost-" + std::to_string(i), 6s) <= 5'500ms);
    }
}

// Memory, questions and requests grew with every target that had ever lived.
TEST_CASE_FIXTURE(report_fixture, "targets that ended are forgotten")
{
    add_target("live");
    add_lost_targets(50, member_state::dead);
    add_target("gone", member_state::left, false);
    play_tick();
    now_ += ended_target_lifetime;
    play_tick();
    CHECK(directory_.targets().size() == 1);
    CHECK(directory_.members(hash_name(service_name)).size() == 1);
    SUBCASE("and become known again by their announcement")
    {
        add_target("lost-7");
        CHECK(directory_.members(hash_name(service_name)).size() == 2);
    }
}

TEST_CASE_FIXTURE(report_fixture,
                  "a target that was declared dead wrongly isn't forgotten")
{
    add_target("one", member_state::dead, false);
    play_tick();
    now_ += ended_target_lifetime / 2;
    add_target("one");
    play_tick();
    add_target("one", member_state::dead, false);
    play_tick();
    now_ += ended_target_lifetime / 2 + 1s;
    play_tick();
    CHECK(directory_.targets().size() == 1);
}

// A search refers to its candidates by identifier.
TEST_CASE_FIXTURE(report_fixture,
                  "a search goes on when a candidate is forgotten")
{
    add_target("live");
    add_target("lost-0", member_state::dead, false);
    play_tick();
    now_ += ended_target_lifetime;
    CHECK(send(packet(1)).step_ == forward_step::hold);
    play_tick();
    REQUIRE(directory_.find(hash_name("lost-0")) == nullptr);
    for (int i = 0; i < 4; ++i)
    {
        now_ += 700ms;
        CHECK(resume_search(packet(1)).step_ == forward_step::hold);
        send(packet(1));
    }
    CHECK(answer(packet(1), "live", flow_ownership::held).step_ ==
          forward_step::send);
}
