// Tests of the scenario language: statements, positions of errors, combined
// scenarios, random timelines and the evaluation of a run.
#include "support/scenario.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

std::vector<scenario_error> errors_in(std::string_view text)
{
    return parse_scenario(text).errors_;
}

scenario_figures clean_figures()
{
    return {{"answered", 10},       {"doubled", 0},
            {"refused-but-ran", 0}, {"answered-not-run", 0},
            {"wrong-answer", 0},    {"wrong-service", 0}};
}

} // namespace

TEST_CASE("the parser accepts every statement")
{
    auto const parsed = parse_scenario("# a comment\n"
                                       "title \"a balancer dies\"\n"
                                       "balancers 4\n"
                                       "targets depot-orders 7\n"
                                       "load depot-orders feeds 10 orders 2.5\n"
                                       "run 12s   # and a comment\n"
                                       "at 3s pause balancer-2 for 500ms\n"
                                       "at 1s kill agent-depot-orders-3\n"
                                       "at 2s store down for 1s\n"
                                       "at 9s apply a.json\n"
                                       "expect broken = 0\n"
                                       "expect order-p99-ms <= 250\n");
    REQUIRE(parsed.errors_.empty());
    auto const& value = parsed.value_;
    CHECK(value.title_ == "a balancer dies");
    CHECK(value.balancers_ == 4);
    CHECK(value.targets_.at("depot-orders") == 7);
    CHECK(value.loads_.at("depot-orders") == "feeds=10 orders=2.5");
    CHECK(value.length_ == 12s);
    REQUIRE(value.events_.size() == 6);
    CHECK(value.events_[0] ==
          scenario_event{1s, {"kill", "agent-depot-orders-3"}});
    CHECK(value.events_[1] == scenario_event{2s, {"store", "down"}});
    CHECK(value.events_[2] == scenario_event{3s, {"pause", "balancer-2"}});
    CHECK(value.events_[3] == scenario_event{3s, {"store", "up"}});
    CHECK(value.events_[4] == scenario_event{3500ms, {"resume", "balancer-2"}});
    CHECK(value.expectations_[1] ==
          expectation{"order-p99-ms", bound::at_most, 250});
}

TEST_CASE("an error names its line, its column and the expected text")
{
    auto const faults = errors_in("run 5s\nat 5s kil balancer-2\n"
                                  "targets nobody 3\nexpect broken 0\n"
                                  "run 5\nbalancers 3 more\nhello\n");
    REQUIRE(faults.size() == 6);
    CHECK(faults[0].line_ == 2);
    CHECK(faults[0].column_ == 7);
    CHECK(faults[0].expected_.starts_with("an action: kill, stop"));
    CHECK(faults[1].line_ == 3);
    CHECK(faults[1].column_ == 9);
    CHECK(faults[1].expected_.starts_with("a service"));
    CHECK(faults[2].column_ == 15);
    CHECK(faults[2].expected_ == "=, <= or >=");
    CHECK(faults[3].expected_.starts_with("a duration"));
    CHECK(faults[4].column_ == 13);
    CHECK(faults[4].expected_ == "the end of the line");
    CHECK(faults[5].line_ == 7);
    CHECK(faults[5].expected_.starts_with("a statement"));
}

TEST_CASE("faults of the store")
{
    CHECK(errors_in("at 1s store slow 800ms\nat 1s store lose-answers 1\n"
                    "at 1s store cut-watches\nat 1s store lapse-leases\n"
                    "at 1s store go-back 2\nat 1s store down for 1m")
              .empty());
    auto const faults = errors_in("at 1s store go-back\nat 1s store up");
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].expected_ == "a whole number");
    CHECK(faults[1].column_ == 13);
    CHECK(faults[1].expected_.starts_with("a fault of the store"));
}

TEST_CASE("a keyword, number or name must not be followed by other characters")
{
    CHECK(errors_in("at 5s killed balancer-2").size() == 1);
    CHECK(errors_in("at 5s kill balancer-2x").size() == 1);
    CHECK(errors_in("at 5s kill balancer-").size() == 1);
    CHECK(errors_in("run 5sec").size() == 1);
}

TEST_CASE("a run fails if it violates an expectation")
{
    scenario value;
    value.expectations_ = {{"broken", bound::equal, 0}};
    auto figures = clean_figures();
    figures["broken"] = 0;
    CHECK(judge(value, figures).empty());
    figures["broken"] = 1;
    REQUIRE(judge(value, figures).size() == 1);
    CHECK(judge(value, figures)[0] == "broken is 1, expected = 0");
}

TEST_CASE("invariants are checked in a scenario that doesn't name them")
{
    auto figures = clean_figures();
    figures["doubled"] = 1;
    CHECK(judge({}, figures).size() == 1);
    figures = clean_figures();
    figures["answered"] = 0;
    CHECK(judge({}, figures).size() == 1);
}

TEST_CASE("an expectation of a measurement that is missing fails")
{
    scenario value;
    value.expectations_ = {{"behind", bound::equal, 0}};
    CHECK(judge(value, clean_figures()).size() == 1);
}

TEST_CASE("combined scenarios keep common expectations with the weaker bound")
{
    auto const left = parse_scenario("balancers 3\nat 1s kill balancer-1\n"
                                     "expect broken = 0\nexpect failed = 0\n"
                                     "expect behind = 0")
                          .value_;
    auto const right = parse_scenario("balancers 5\nat 500ms stop balancer-2\n"
                                      "expect broken <= 3\nexpect behind = 0")
                           .value_;
    auto const both = combine(left, right);
    CHECK(both.balancers_ == 5);
    REQUIRE(both.events_.size() == 2);
    CHECK(both.events_[0].at_ == 500ms);
    REQUIRE(both.expectations_.size() == 2);
    CHECK(both.expectations_[0] == expectation{"broken", bound::at_most, 3});
    CHECK(both.expectations_[1] == expectation{"behind", bound::equal, 0});
}

TEST_CASE("the seed determines the random timeline")
{
    auto const one = make_soak(120s, 7);
    CHECK(to_plan(one) == to_plan(make_soak(120s, 7)));
    CHECK(to_plan(one) != to_plan(make_soak(120s, 8)));
    CHECK(one.events_.size() > 20);
    for (auto const& event : one.events_)
    {
        CHECK(event.at_ < 120s);
    }
}
