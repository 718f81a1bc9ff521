// Plans, combinations and random timelines of scenarios, and the evaluation of
// a run.
#include "support/scenario.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// Measurements that must be zero in every scenario, whichever fault occurs.
constexpr std::array<char const*, 5> invariants{
    "doubled", "refused-but-ran", "answered-not-run", "wrong-answer",
    "wrong-service"};

std::string to_text(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

bool holds(expectation const& rule, double value)
{
    switch (rule.bound_)
    {
    case bound::equal:
        return value == rule.value_;
    case bound::at_most:
        return value <= rule.value_;
    case bound::at_least:
        return value >= rule.value_;
    }
    return false;
}

std::string_view sign_of(bound value)
{
    constexpr std::array<std::string_view, 3> signs{"=", "<=", ">="};
    return signs[static_cast<std::size_t>(value)];
}

// Returns the weaker of two expectations of one measurement. Equality with zero
// counts as an upper bound, since no measurement is negative.
expectation weaker(expectation left, expectation const& right)
{
    if (left.bound_ == bound::at_least)
    {
        left.value_ = std::min(left.value_, right.value_);
        return left;
    }
    left.bound_ = left == right ? left.bound_ : bound::at_most;
    left.value_ = std::max(left.value_, right.value_);
    return left;
}

double read_number(json::object const& object, std::string_view name)
{
    return object.at(name).to_number<double>();
}

struct result_name
{
    char const* figure_;
    char const* report_;
};

constexpr std::array<result_name, 8> result_names{{
    {"answered", "answered"},
    {"refused", "refused"},
    {"unknown", "unknown"},
    {"broken", "broken"},
    {"truncated", "truncated"},
    {"wrong-answer", "wrong_answer"},
    {"wrong-service", "wrong_service"},
    {"failed", "failed"},
}};

void add_work(std::string const& kind, json::object const& work,
              scenario_figures& figures)
{
    for (auto const& name : result_names)
    {
        figures[name.figure_] += read_number(work, name.report_);
    }
    auto const record_max = [&](std::string const& figure, char const* name)
    {
        figures[figure] = std::max(figures[figure], read_number(work, name));
    };
    record_max(kind + "-p50-ms", "p50_ms");
    record_max(kind + "-p99-ms", "p99_ms");
    if (kind == "feed")
    {
        record_max("feed-gap-ms", "longest_gap_ms");
    }
}

// Draws the events of a random timeline in order of time.
class soak_builder
{
public:
    soak_builder(std::chrono::seconds length, std::uint64_t seed)
        : random_(seed)
    {
        value_.title_ = "soak";
        value_.length_ = length;
        value_.targets_ = {{"depot-orders", 7}, {"delivery-proofs", 3}};
        value_.loads_ = {{"depot-orders", "feeds=50 orders=20 fetches=40"},
                         {"delivery-proofs", "uploads=1"}};
        value_.expectations_ = {{"broken", bound::equal, 0},
                                {"truncated", bound::equal, 0},
                                {"failed", bound::equal, 0},
                                {"reverted", bound::equal, 0}};
    }

    scenario build()
    {
        constexpr std::chrono::milliseconds first{2'000};
        constexpr std::chrono::milliseconds last{10'000};
        for (auto at = first; at + last < value_.length_;
             at += std::chrono::milliseconds(draw(2'000, 5'000)))
        {
            add(at);
        }
        std::stable_sort(
            value_.events_.begin(), value_.events_.end(),
            [](scenario_event const& left, scenario_event const& right)
            { return left.at_ < right.at_; });
        return std::move(value_);
    }

private:
    using event_builder = void (soak_builder::*)(std::chrono::milliseconds);

    void add(std::chrono::milliseconds at)
    {
        static constexpr std::array<event_builder, 7> event_builders{
            &soak_builder::restart_balancer, &soak_builder::pause_balancer,
            &soak_builder::replace_target,   &soak_builder::lose_packets,
            &soak_builder::stop_store,       &soak_builder::slow_store,
            &soak_builder::apply_template};
        (this->*event_builders[draw(0, event_builders.size() - 1)])(at);
    }

    void restart_balancer(std::chrono::milliseconds at)
    {
        // Only balancers 2 and 3 get faults, so that one balancer always runs,
        // and each balancer fault ends before the next one begins.
        auto const name = "balancer-" + std::to_string(draw(2, 3));
        if (at < next_balancer_fault_at_)
        {
            return;
        }
        next_balancer_fault_at_ = at + std::chrono::seconds(8);
        push(at, {draw(0, 1) == 0 ? "kill" : "stop", name});
        push(at + std::chrono::seconds(4), {"start", name});
    }

    void pause_balancer(std::chrono::milliseconds at)
    {
        auto const name = "balancer-" + std::to_string(draw(2, 3));
        if (at < next_balancer_fault_at_)
        {
            return;
        }
        next_balancer_fault_at_ = at + std::chrono::seconds(8);
        push(at, {"pause", name});
        push(at + std::chrono::seconds(3), {"resume", name});
    }

    // Starts a new target and drains one of the oldest targets.
    void replace_target(std::chrono::milliseconds at)
    {
        if (next_target_ > last_target_)
        {
            return;
        }
        auto const old = next_target_ - value_.targets_["depot-orders"];
        push(at,
             {"start", "target-depot-orders-" + std::to_string(next_target_)});
        push(at + std::chrono::seconds(2),
             {"stop", "backend-depot-orders-" + std::to_string(old)});
        ++next_target_;
    }

    void lose_packets(std::chrono::milliseconds at)
    {
        constexpr std::array<char const*, 3> faults{"loss", "duplicate",
                                                    "reorder"};
        auto const* const fault = faults[draw(0, faults.size() - 1)];
        push(at, {"fabric", fault, "0.01"});
        push(at + std::chrono::seconds(3), {"fabric", fault, "0"});
    }

    void stop_store(std::chrono::milliseconds at)
    {
        push(at, {"store", "down"});
        push(at + std::chrono::seconds(5), {"store", "up"});
    }

    void slow_store(std::chrono::milliseconds at)
    {
        push(at, {"store", "slow", "500ms"});
        push(at + std::chrono::seconds(3), {"store", "slow", "0ms"});
    }

    void apply_template(std::chrono::milliseconds at)
    {
        push(at, {"apply", draw(0, 1) == 0 ? "hamutenya-short-queue.json"
                                           : "hamutenya-long-queue.json"});
    }

    void push(std::chrono::milliseconds at, std::vector<std::string> words)
    {
        value_.events_.push_back({at, std::move(words)});
    }

    std::uint64_t draw(std::uint64_t min_value, std::uint64_t max_value)
    {
        return min_value + random_() % (max_value - min_value + 1);
    }

    std::mt19937_64 random_;
    scenario value_;
    std::chrono::milliseconds next_balancer_fault_at_{0};
    std::uint32_t next_target_ = 8;
    std::uint32_t last_target_ = 13;
};

} // namespace

scenario combine(scenario const& left, scenario const& right)
{
    auto result = left;
    result.title_ += " + " + right.title_;
    result.balancers_ = std::max(left.balancers_, right.balancers_);
    result.length_ = std::max(left.length_, right.length_);
    for (auto const& [service, count] : right.targets_)
    {
        auto& slot = result.targets_[service];
        slot = std::max(slot, count);
    }
    result.loads_.insert(right.loads_.begin(), right.loads_.end());
    result.events_.insert(result.events_.end(), right.events_.begin(),
                          right.events_.end());
    std::stable_sort(result.events_.begin(), result.events_.end(),
                     [](scenario_event const& first, scenario_event const& next)
                     { return first.at_ < next.at_; });
    result.expectations_.clear();
    for (auto const& left_expectation : left.expectations_)
    {
        auto const same =
            std::find_if(right.expectations_.begin(), right.expectations_.end(),
                         [&](expectation const& other) {
                             return other.measure_ == left_expectation.measure_;
                         });
        if (same != right.expectations_.end())
        {
            result.expectations_.push_back(weaker(left_expectation, *same));
        }
    }
    return result;
}

scenario make_soak(std::chrono::seconds length, std::uint64_t seed)
{
    return soak_builder(length, seed).build();
}

std::string to_plan(scenario const& value)
{
    std::string plan = "title " + value.title_ + "\nbalancers " +
                       std::to_string(value.balancers_) + "\n";
    for (auto const& [service, count] : value.targets_)
    {
        plan += "targets " + service + " " + std::to_string(count) + "\n";
    }
    for (auto const& [service, load] : value.loads_)
    {
        plan.append("load ").append(service).append(" ").append(load) += "\n";
    }
    plan += "run " + std::to_string(value.length_.count()) + "\n";
    for (auto const& event : value.events_)
    {
        plan += "at " + std::to_string(event.at_.count());
        for (auto const& word : event.words_)
        {
            plan += " " + word;
        }
        plan += "\n";
    }
    return plan;
}

scenario_figures read_figures(json::object const& report)
{
    scenario_figures figures;
    for (auto const& service : report.at("services").as_array())
    {
        for (auto const& work : service.as_object().at("work").as_object())
        {
            add_work(std::string(work.key()), work.value().as_object(),
                     figures);
        }
    }
    figures["doubled"] = read_number(report, "orders_doubled");
    figures["refused-but-ran"] = read_number(report, "refused_but_ran");
    figures["answered-not-run"] = read_number(report, "answered_not_run");
    return figures;
}

std::vector<std::string> judge(scenario const& value,
                               scenario_figures const& figures)
{
    auto rules = value.expectations_;
    for (auto const* const name : invariants)
    {
        rules.push_back({name, bound::equal, 0});
    }
    // A run without an answered request verifies nothing, so it fails.
    rules.push_back({"answered", bound::at_least, 1});
    std::vector<std::string> failures;
    for (auto const& rule : rules)
    {
        auto const found = figures.find(rule.measure_);
        auto const expected =
            std::string(sign_of(rule.bound_)) + " " + to_text(rule.value_);
        if (found == figures.end())
        {
            failures.push_back(rule.measure_ + " was not measured, expected " +
                               expected);
        }
        else if (!holds(rule, found->second))
        {
            failures.push_back(rule.measure_ + " is " + to_text(found->second) +
                               ", expected " + expected);
        }
    }
    return failures;
}

} // namespace daisytrail
