// The scenario language, which describes the processes of a run, a timeline of
// faults and changes, and the expected measurements. The grammar is in
// docs/TESTING.md.
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

struct scenario_error
{
    std::size_t line_ = 0;   // from 1
    std::size_t column_ = 0; // from 1
    std::string expected_;
};

// One event of the timeline: a verb and its arguments as written.
struct scenario_event
{
    std::chrono::milliseconds at_{0};
    std::vector<std::string> words_; // never empty; words_[0] is the verb

    bool operator==(scenario_event const&) const = default;
};

enum class bound : std::uint8_t
{
    equal,
    at_most,
    at_least
};

struct expectation
{
    std::string measure_;
    bound bound_ = bound::equal;
    double value_ = 0;

    bool operator==(expectation const&) const = default;
};

struct scenario
{
    std::string title_;
    std::uint32_t balancers_ = 3;
    std::map<std::string, std::uint32_t> targets_; // by service
    std::map<std::string, std::string> loads_;     // by service: "feeds=10"
    std::chrono::milliseconds length_{10'000};
    std::vector<scenario_event> events_; // in order of time
    std::vector<expectation> expectations_;
};

struct parsed_scenario
{
    scenario value_; // usable if errors_ is empty
    std::vector<scenario_error> errors_;
};

// Parses a file and reports the first error of each line.
parsed_scenario parse_scenario(std::string_view text);

// Combines both timelines on one fleet. An expectation that both scenarios have
// is included with the weaker bound; all other expectations are dropped.
scenario combine(scenario const& left, scenario const& right);

// Returns a random timeline of planned changes and of faults that must not
// break any flow.
scenario make_soak(std::chrono::seconds length, std::uint64_t seed);

// Formats a scenario for the script that runs it, one event per line.
std::string to_plan(scenario const& value);

// Measurements of one run by the names that `expect` uses.
using scenario_figures = std::map<std::string, double>;

// Aggregates the load tool's report over all services and kinds of work; throws
// if the object isn't such a report.
scenario_figures read_figures(boost::json::object const& report);

// Returns a description of each violated expectation. Checks the scenario's
// expectations and the invariants of all scenarios.
std::vector<std::string> judge(scenario const& value,
                               scenario_figures const& figures);

} // namespace daisytrail
