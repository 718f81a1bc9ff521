// The scenario language: what runs, what goes wrong when, and what must hold.
// The grammar is in docs/TESTING.md.
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

// Parses a file and reports the first fault of each line.
parsed_scenario parse_scenario(std::string_view text);

// Both timelines on one fleet. What both expect holds with the weaker bound;
// what one of them doesn't expect isn't expected.
scenario combine(scenario const& left, scenario const& right);

// A random timeline of planned changes and of faults that no flow may notice.
scenario make_soak(std::chrono::seconds length, std::uint64_t seed);

// Lines for the script that carries a scenario out, one event each.
std::string to_plan(scenario const& value);

// The figures of one run, by the names that `expect` uses.
using scenario_figures = std::map<std::string, double>;

// Sums of the load tool's report; throws if it isn't one.
scenario_figures read_figures(boost::json::object const& report);

// What doesn't hold, one line each. Rules that hold in every scenario are
// checked with those of this one.
std::vector<std::string> judge(scenario const& value,
                               scenario_figures const& figures);

} // namespace daisytrail
