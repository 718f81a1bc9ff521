// Tests of fleets that split into parts that don't know each other: some
// balancers were replaced, and the new ones found none of the old ones.
#include "support/control_fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

constexpr int target_count = 6;
// The parts meet this long after one of them has heard of the other.
constexpr seconds met_within{3};

std::vector<std::string> const old_part{"b0", "b1"};
std::vector<std::string> const new_part{"n0", "n1"};

// Two of four balancers are replaced by two that know only each other.
void split(control_fleet& fleet)
{
    build_fleet(fleet, 4, target_count, "");
    for (std::string const gone : {"b2", "b3"})
    {
        fleet.at(gone).is_alive_ = false;
    }
    fleet.set_seeds({});
    fleet.add_balancer("n0");
    fleet.set_seeds({"n0"});
    fleet.add_balancer("n1");
    fleet.run_for(seconds(5));
}

bool knows(control_fleet& fleet, std::string const& balancer,
           std::string const& other)
{
    auto const* const held =
        fleet.at(balancer).balancer_->members().find(hash_name(other));
    return held != nullptr && held->state_ == member_state::ready;
}

bool have_met(control_fleet& fleet)
{
    for (auto const& one : old_part)
    {
        for (auto const& other : new_part)
        {
            if (!knows(fleet, one, other) || !knows(fleet, other, one))
            {
                return false;
            }
        }
    }
    return true;
}

// Asks for a confirmation again and again, as a search does.
bool is_confirmed_within(control_fleet& fleet, process& asking, duration limit)
{
    fleet.forget_confirmations();
    auto const end = fleet.now() + limit;
    while (!asking.view_confirmed_as_of_ && fleet.now() < end)
    {
        fleet.confirm_view(asking);
        fleet.run_for(milliseconds(50));
    }
    return asking.view_confirmed_as_of_.has_value();
}

void use_store(control_fleet& fleet, std::vector<std::string> const& balancers)
{
    for (auto const& name : balancers)
    {
        auto& balancer = *fleet.at(name).balancer_;
        balancer.use_store();
        balancer.add_listed_targets({}, fleet.now());
        balancer.add_contacts({}, fleet.now());
    }
}

} // namespace

// FLOW: the agents of one part never told the other part that there are two.
TEST_CASE("parts of a fleet that split stay apart although agents know both")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.05);
        split(fleet);
        REQUIRE(!have_met(fleet));
        // The new part reads the stored list after an outage of the store.
        std::vector<target_record> listed;
        for (int i = 0; i < target_count; ++i)
        {
            auto record = fleet.at("t" + std::to_string(i)).self();
            record.version_ = {};
            listed.push_back(record);
        }
        fleet.at("n0").balancer_->add_listed_targets(listed, fleet.now());
        CHECK(fleet.run_until([&] { return have_met(fleet); }, 2 * met_within) <
              2 * met_within);
    }
}

// FLOW: balancers read the contacts only while they knew no other balancer.
TEST_CASE("parts of a fleet that split stay apart although one reads a contact "
          "of the other")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.05);
        split(fleet);
        fleet.at("b0").balancer_->add_contacts({fleet.at("n1").self().control_},
                                               fleet.now());
        CHECK(fleet.run_until([&] { return have_met(fleet); }, met_within) <
              met_within);
    }
}

TEST_CASE("parts of a fleet that split stay apart although new seeds of one "
          "name the other")
{
    control_fleet fleet(1, 0.05);
    split(fleet);
    fleet.at("b1").balancer_->set_seeds({fleet.at("n0").self().control_});
    CHECK(fleet.run_until([&] { return have_met(fleet); }, met_within) <
          met_within);
}

// FLOW: the balancers that were left confirmed each other's view, though a
// target could be known to those that had taken the place of the others.
TEST_CASE("the rest of a fleet confirms views although others may have joined "
          "it unseen")
{
    control_fleet fleet(1);
    build_fleet(fleet, 4, target_count, "");
    use_store(fleet, {"b0", "b1", "b2", "b3"});
    fleet.run_for(seconds(3));
    CHECK(is_confirmed_within(fleet, fleet.at("b0"), seconds(1)));
    for (std::string const gone : {"b2", "b3"})
    {
        fleet.at(gone).is_alive_ = false;
    }
    fleet.run_for(seconds(6));
    CHECK(!is_confirmed_within(fleet, fleet.at("b0"), seconds(8)));
    CHECK(fleet.at("b0").balancer_->needs_contacts());
    // The store answers again, and names nobody else.
    use_store(fleet, old_part);
    CHECK(!fleet.at("b0").balancer_->needs_contacts());
    CHECK(is_confirmed_within(fleet, fleet.at("b0"), seconds(1)));
}

TEST_CASE("a contact that was read and hasn't answered yet delays "
          "confirmations for a moment only")
{
    control_fleet fleet(1);
    build_fleet(fleet, 3, target_count, "");
    use_store(fleet, {"b0", "b1", "b2"});
    endpoint const nobody{0x7F000001, 9'999};
    for (std::string const name : {"b0", "b1", "b2"})
    {
        fleet.at(name).balancer_->add_contacts({nobody}, fleet.now());
    }
    CHECK(!is_confirmed_within(fleet, fleet.at("b0"), milliseconds(1'500)));
    CHECK(is_confirmed_within(fleet, fleet.at("b0"), milliseconds(1'500)));
    // The same contact is no news.
    for (std::string const name : {"b0", "b1", "b2"})
    {
        fleet.at(name).balancer_->add_contacts({nobody}, fleet.now());
    }
    CHECK(is_confirmed_within(fleet, fleet.at("b0"), milliseconds(500)));
}

// A planned restart loses nobody for good, so that it delays no confirmation.
TEST_CASE("balancers that come back leave no doubt about the fleet")
{
    control_fleet fleet(1);
    build_fleet(fleet, 4, target_count, "");
    use_store(fleet, {"b0", "b1", "b2", "b3"});
    fleet.at("b3").is_alive_ = false;
    fleet.run_for(seconds(6));
    CHECK(fleet.at("b0").balancer_->needs_contacts());
    fleet.at("b3").is_alive_ = true;
    fleet.restart_balancer("b3");
    fleet.run_for(seconds(1));
    CHECK(!fleet.at("b0").balancer_->needs_contacts());
}
