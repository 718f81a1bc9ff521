// Virtual-time model of one service's agents for measure-requests: the core's
// scheduler and choice of peers under the product's rules, and two baselines,
// all with the same arrivals. It knows nothing of balancers, flows or HTTP.
#pragma once

#include <daisytrail/peer_choice.hpp>
#include <daisytrail/scheduler.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytrail::model
{

enum class strategy
{
    product,
    least_connections, // true counts of all targets, arrival order
    random,            // the target of the flow, arrival order
    count
};

inline constexpr std::size_t strategy_count =
    static_cast<std::size_t>(strategy::count);
inline constexpr std::array<char const*, strategy_count> strategy_names{
    "daisytrail", "least-conn", "random"};

inline constexpr duration network_delay{std::chrono::microseconds(700)};
inline constexpr std::uint32_t slots_per_target = 4;

// A kind of request in the load.
struct load_class
{
    scheduler_class config_;
    double share_ = 1.0;
    duration work_{std::chrono::milliseconds(20)}; // mean, at speed 1
    duration deadline_{std::chrono::seconds(1)};
};

enum class fault
{
    none,
    slow,      // ten times slower
    fails_fast // an error after a millisecond
};

struct scenario
{
    std::size_t targets_ = 7;
    std::vector<double> speeds_; // repeated over the targets; empty: all 1
    std::vector<load_class> classes_;
    std::vector<std::pair<double, double>> load_; // (second, load), linear
    double seconds_ = 30.0;
    fault fault_ = fault::none; // of target 0
    double fault_at_s_ = 10.0;
};

struct request_record
{
    std::size_t class_ = 0;
    double arrived_s_ = 0.0;
    double ended_s_ = -1.0; // answered or refused
    double service_s_ = 0.0;
    bool refused_ = false;
    bool failed_ = false;
    std::size_t target_ = 0; // where it ran
    double started_s_ = -1.0;
};

struct result
{
    std::vector<request_record> requests_;
    std::vector<double> busy_s_; // slot seconds of each target
    std::uint64_t messages_ = 0;
    double decision_ns_ = 0.0; // processor time of decisions, per request
};

result run(scenario const& scenario_config, strategy selected_strategy,
           std::uint64_t seed);

} // namespace daisytrail::model
