// Tests of long templates that reach balancers by gossip alone, in simulated
// time and within the byte budget of control traffic.
#include "platform/operator_config.hpp"
#include "support/control_fleet.hpp"
#include "support/operator_documents.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::control_fleet;
using test::process;

// Time within which an acknowledged change must be in force.
constexpr seconds apply_within{5};

constexpr std::uint32_t control_bytes_per_second = 9'000;
constexpr int balancers = 24;
constexpr int refused_balancers = 8; // get nothing from the store

class refused_machines
{
public:
    explicit refused_machines(std::uint64_t seed) : fleet_(seed)
    {
        fleet_.limit_control_bytes(control_bytes_per_second);
        for (int i = 0; i < balancers; ++i)
        {
            fleet_.add_balancer(name_of(i));
        }
        fleet_.run_for(seconds(30));
    }

    // Offers the document to the balancers that the store serves, and returns
    // the time until it is in force at all of them.
    duration time_to_apply(template_version version,
                           std::string const& document)
    {
        auto const value = platform::to_stored_template(document);
        for (int i = refused_balancers; i < balancers; ++i)
        {
            fleet_.offer(fleet_.at(name_of(i)), version, value);
        }
        return fleet_.run_until(
            [this, version]
            {
                return fleet_.all_of(
                    [version](process& each)
                    { return each.templates_["org"] == version; });
            },
            3 * apply_within);
    }

    process& starved_balancer()
    {
        return fleet_.at(name_of(0));
    }

private:
    static std::string name_of(int number)
    {
        return "b" + std::to_string(number);
    }

    control_fleet fleet_;
};

} // namespace

// CONFIG: the store refuses some balancers, and the others transfer the longest
// document to them at 9 KB a second each.
TEST_CASE("the longest document is late at balancers that the store refuses")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        refused_machines fleet(seed);
        CHECK(fleet.time_to_apply(
                  3, make_longest_document(3, platform_value_bytes)) <=
              apply_within);
    }
}

// CONFIG: a balancer whose turns of the event loop are rare waits for each
// chunk in turn.
TEST_CASE("the longest document is late at a starved balancer that the store "
          "refuses")
{
    refused_machines fleet(4);
    fleet.starved_balancer().turn_interval_ = milliseconds(100);
    CHECK(fleet.time_to_apply(3, make_longest_document(
                                     3, platform_value_bytes)) <= apply_within);
}

// CONFIG: each change of one route is transferred as the whole document, and
// the budget is used up after the first few.
TEST_CASE("single changes of a long document are late at balancers that the "
          "store refuses")
{
    refused_machines fleet(5);
    fleet.time_to_apply(10, make_document(10, 4'745));
    for (template_version version = 11; version < 20; ++version)
    {
        CAPTURE(version);
        CHECK(fleet.time_to_apply(version, make_document(version, 4'745)) <=
              apply_within);
    }
}

} // namespace daisytrail
