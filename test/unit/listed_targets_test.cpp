// Tests of targets that balancers know only from the stored list, and of agents
// that know no running balancer.
#include "net/stored_targets.hpp"
#include "support/control_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

// As for a join.
constexpr seconds known_within{2};
constexpr milliseconds downtime{4'500};
constexpr int target_count = 8;

std::string target_name(int number)
{
    return "t" + std::to_string(number);
}

bool all_know_all_targets(control_fleet& fleet)
{
    for (int i = 0; i < target_count; ++i)
    {
        if (!fleet.all_balancers_hold(target_name(i), member_state::ready))
        {
            return false;
        }
    }
    return true;
}

std::string list_of(control_fleet& fleet, std::string const& balancer)
{
    return format_stored_targets(
        fleet.at(balancer).balancer_->targets_to_list());
}

bool lists_all_targets(std::string const& list)
{
    auto const stored = parse_stored_targets(list).targets_;
    for (int i = 0; i < target_count; ++i)
    {
        if (std::ranges::find(stored, hash_name(target_name(i)),
                              &target_record::target_) == stored.end())
        {
            return false;
        }
    }
    return true;
}

// The store's key of the list. Each balancer reads it once after its start and
// may write it from then on.
class stored_list
{
public:
    explicit stored_list(control_fleet& fleet) : fleet_(fleet) {}

    void read(std::string const& balancer)
    {
        fleet_.at(balancer).balancer_->add_listed_targets(
            parse_stored_targets(value_).targets_, fleet_.now());
    }

    void write(std::string const& balancer)
    {
        value_ = list_of(fleet_, balancer);
    }

    std::string const& value() const
    {
        return value_;
    }

private:
    control_fleet& fleet_;
    std::string value_;
};

} // namespace

// Guards against resets of open flows by a balancer that doesn't know their
// targets: the agents' seeds had been replaced, all balancers ended at once,
// and the agents announced themselves only to the seeds of their own start.
TEST_CASE("agents whose seeds are gone announce themselves to former observers")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.05);
        build_fleet(fleet, 5, target_count, "");
        for (int i = 5; i < 8; ++i)
        {
            fleet.add_balancer("b" + std::to_string(i));
        }
        fleet.run_for(seconds(4));
        for (std::string const gone : {"b0", "b1", "b2"})
        {
            fleet.at(gone).is_alive_ = false;
            fleet.run_for(seconds(5));
        }
        std::vector<std::string> const remaining{"b3", "b4", "b5", "b6", "b7"};
        fleet.set_seeds({"b3", "b5", "b7"});
        for (auto const& name : remaining)
        {
            fleet.at(name).is_alive_ = false;
        }
        fleet.run_for(downtime);
        for (auto const& name : remaining)
        {
            fleet.at(name).is_alive_ = true;
            fleet.restart_balancer(name);
        }
        auto const taken = fleet.run_until(
            [&] { return all_know_all_targets(fleet); }, known_within);
        CHECK(taken < known_within);
    }
}

// Guards against an agent that stays outside for good: all balancers that it
// ever knew have been replaced while it reached none, and those that run now
// know it from the stored list only.
TEST_CASE("agents that know no running balancer are found by the stored list")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.05);
        build_fleet(fleet, 3, target_count, "");
        stored_list list(fleet);
        list.write("b0");
        for (std::string const gone : {"b0", "b1", "b2"})
        {
            fleet.at(gone).is_alive_ = false;
        }
        fleet.run_for(downtime);
        for (std::string const name : {"n0", "n1", "n2"})
        {
            fleet.add_balancer(name);
        }
        fleet.set_seeds({"n0", "n1", "n2"});
        for (std::string const name : {"n0", "n1", "n2"})
        {
            fleet.restart_balancer(name);
            list.read(name);
        }
        auto const taken = fleet.run_until(
            [&] { return all_know_all_targets(fleet); }, 2 * known_within);
        CHECK(taken < 2 * known_within);
    }
}

// Guards against a balancer that waits for a record which nobody sends: it
// learned from a target's answer to a ping that the target runs.
TEST_CASE("a listed target that other balancers observe is learned by a ping")
{
    control_fleet fleet(1);
    build_fleet(fleet, 3, target_count, "");
    stored_list list(fleet);
    list.write("b0");
    // A balancer that reaches targets only.
    fleet.set_seeds({});
    fleet.add_balancer("alone");
    list.read("alone");
    fleet.run_for(known_within);
    auto const& members = fleet.at("alone").balancer_->members();
    for (int i = 0; i < target_count; ++i)
    {
        CHECK(members.find(hash_name(target_name(i))) != nullptr);
    }
}

// Guards against a list that loses targets which run: it was read, and then
// written from the members alone.
TEST_CASE("a listed target stays listed until it is known or its time is over")
{
    control_fleet fleet(1);
    fleet.add_balancer("b0");
    auto const absent = make_member("absent", 7, 900);
    fleet.at("b0").balancer_->add_listed_targets({absent}, fleet.now());
    auto const lists_it = [&]
    {
        auto const stored = parse_stored_targets(list_of(fleet, "b0")).targets_;
        return stored.size() == 1 && stored[0].target_ == absent.target_;
    };
    fleet.run_for(listed_target_lifetime - seconds(1));
    CHECK(lists_it());
    fleet.run_for(seconds(2));
    CHECK_FALSE(lists_it());
}

TEST_CASE("a listed target that has left isn't listed again")
{
    control_fleet fleet(1);
    build_fleet(fleet, 3, target_count, "");
    stored_list list(fleet);
    list.write("b0");
    fleet.publish(fleet.at("t3"), member_state::left);
    fleet.run_for(seconds(1));
    fleet.at("t3").is_alive_ = false;
    list.read("b1");
    fleet.run_for(seconds(1));
    list.write("b1");
    CHECK_FALSE(lists_all_targets(list.value()));
    CHECK(parse_stored_targets(list.value()).targets_.size() ==
          target_count - 1);
}

// Guards against a reset by a balancer whose view was confirmed by peers that
// lack the same targets.
TEST_CASE("a balancer that has just read of unknown targets confirms no view")
{
    control_fleet fleet(1);
    build_fleet(fleet, 4, 2, "");
    // Agents that are cut off for a while.
    auto const absent = make_member("absent", 7, 900);
    for (std::string const name : {"b0", "b1", "b2", "b3"})
    {
        fleet.at(name).balancer_->add_listed_targets({absent}, fleet.now());
    }
    auto& asking = fleet.at("b0");
    for (int i = 0; i < 40; ++i)
    {
        fleet.confirm_view(asking);
        fleet.run_for(milliseconds(100));
    }
    CHECK_FALSE(asking.view_confirmed_as_of_);
    // An address at which nobody answers delays confirmations only so long.
    for (int i = 0; i < 20; ++i)
    {
        fleet.confirm_view(asking);
        fleet.run_for(milliseconds(100));
    }
    CHECK(asking.view_confirmed_as_of_);
}

namespace
{

// What the platform's pages promise of a target that lives: seeds name running
// balancers this long after their start. Its agent then needs a moment to read
// them and to be heard.
constexpr milliseconds found_within{7'000};

// All balancers are replaced, and one agent learns of the new ones late.
// Returns the first of the new balancers.
process& replace_all_balancers(control_fleet& fleet)
{
    build_fleet(fleet, 3, 2, "");
    for (std::string const gone : {"b0", "b1", "b2"})
    {
        fleet.at(gone).is_alive_ = false;
    }
    fleet.at("t1").partition_ = 1;
    fleet.set_seeds({});
    fleet.add_balancer("n0");
    fleet.set_seeds({"n0"});
    fleet.add_balancer("n1");
    fleet.add_balancer("n2");
    return fleet.at("n0");
}

// Asks for a confirmation again and again, as a search does.
void confirm_for(control_fleet& fleet, process& asking, duration time)
{
    auto const end = fleet.now() + time;
    while (fleet.now() < end)
    {
        fleet.confirm_view(asking);
        fleet.run_for(milliseconds(100));
    }
}

} // namespace

// FLOW: after all balancers had been replaced, the new ones agreed that they
// knew no further target before the target that was added last had reached one
// of them, and reset its flows.
TEST_CASE("balancers that are all new agree that they know all targets before "
          "a target had the time to announce itself")
{
    control_fleet fleet(1);
    auto& asking = replace_all_balancers(fleet);
    confirm_for(fleet, asking, found_within);
    CHECK_FALSE(asking.view_confirmed_as_of_);
    // A flow that no target holds is refused some time.
    confirm_for(fleet, asking, seconds(2));
    CHECK(asking.view_confirmed_as_of_);
}

// In a large fleet the records of the targets take longer than in a small one.
TEST_CASE("balancers that are all new agree that they know all targets while "
          "targets go on announcing themselves")
{
    control_fleet fleet(1);
    auto& asking = replace_all_balancers(fleet);
    for (int i = 0; i < 8; ++i)
    {
        fleet.add_agent("n" + std::to_string(10 + i), 7, "");
        confirm_for(fleet, asking, seconds(2));
    }
    CHECK_FALSE(asking.view_confirmed_as_of_);
    confirm_for(fleet, asking, announcement_quiet_period);
    CHECK(asking.view_confirmed_as_of_);
}

// The same for a balancer that has no peer to ask.
TEST_CASE("a balancer that is alone and new waits for targets to announce "
          "themselves")
{
    control_fleet fleet(1);
    auto& asking = fleet.add_balancer("n0");
    confirm_for(fleet, asking, found_within);
    CHECK_FALSE(asking.view_confirmed_as_of_);
    confirm_for(fleet, asking, seconds(2));
    CHECK(asking.view_confirmed_as_of_);
}

// Without the stored list nobody knows who was there before.
TEST_CASE(
    "balancers that are all new and can't read the stored list confirm no "
    "view")
{
    control_fleet fleet(1);
    auto& asking = replace_all_balancers(fleet);
    for (std::string const name : {"n0", "n1", "n2"})
    {
        fleet.at(name).balancer_->use_store();
    }
    confirm_for(fleet, asking, seconds(15));
    CHECK_FALSE(asking.view_confirmed_as_of_);
    for (std::string const name : {"n0", "n1", "n2"})
    {
        fleet.at(name).balancer_->add_listed_targets({}, fleet.now());
        fleet.at(name).balancer_->add_contacts({}, fleet.now());
    }
    confirm_for(fleet, asking, seconds(1));
    CHECK(asking.view_confirmed_as_of_);
}

// A planned restart beside balancers that know the targets costs no more time.
TEST_CASE("a balancer that restarts beside others soon confirms views")
{
    control_fleet fleet(1);
    build_fleet(fleet, 3, 2, "");
    fleet.run_for(announcement_period);
    for (std::string const name : {"b0", "b1", "b2"})
    {
        fleet.restart_balancer(name);
        fleet.run_for(settling_period + milliseconds(500));
    }
    auto& asking = fleet.at("b0");
    asking.view_confirmed_as_of_.reset();
    confirm_for(fleet, asking, milliseconds(300));
    CHECK(asking.view_confirmed_as_of_);
}

// Restarts of all balancers in any order, at once or one after the other, while
// balancers write the list at any time.
TEST_CASE("no running target is lost from the list over restarts of all "
          "balancers")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        control_fleet fleet(seed, 0.05);
        build_fleet(fleet, 5, target_count, "");
        std::vector<std::string> names{"b0", "b1", "b2", "b3", "b4"};
        stored_list list(fleet);
        list.write("b0");
        for (int round = 0; round < 6; ++round)
        {
            CAPTURE(round);
            std::ranges::shuffle(names, random);
            std::uniform_int_distribution<int> gap_ms(0, 2'500);
            bool const at_once = round % 2 == 0;
            for (auto const& name : names)
            {
                fleet.at(name).is_alive_ = false;
                fleet.run_for(milliseconds(at_once ? 0 : gap_ms(random)));
                if (!at_once)
                {
                    fleet.at(name).is_alive_ = true;
                    fleet.restart_balancer(name);
                    list.read(name);
                }
                CHECK(lists_all_targets(list.value()));
            }
            fleet.run_for(milliseconds(at_once ? gap_ms(random) * 2 : 0));
            for (auto const& name : names)
            {
                if (at_once)
                {
                    fleet.at(name).is_alive_ = true;
                    fleet.restart_balancer(name);
                    list.read(name);
                    list.write(name);
                }
                fleet.run_for(milliseconds(gap_ms(random) / 10));
                list.write(name);
                CHECK(lists_all_targets(list.value()));
            }
            auto const taken = fleet.run_until(
                [&] { return all_know_all_targets(fleet); }, 2 * known_within);
            CHECK(taken < 2 * known_within);
        }
    }
}
