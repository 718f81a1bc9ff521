// Discrete-event simulation of the agents of one service, for measure-requests.
// It runs the product's scheduler and choice of peers, and two baselines, with
// the same arrivals. Balancers, flows and HTTP aren't simulated.
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

// How a request is assigned to a target.
enum class strategy
{
    product,
    least_connections, // by the exact counts of all targets; FIFO queues
    random,            // a random target per request; FIFO queues
    count
};

inline constexpr std::size_t strategy_count =
    static_cast<std::size_t>(strategy::count);
inline constexpr std::array<char const*, strategy_count> strategy_names{
    "daisytrail", "least-conn", "random"};

// One-way delay of a message between two agents.
inline constexpr duration network_delay{std::chrono::microseconds(700)};
inline constexpr std::uint32_t slots_per_target = 4;

// A class of requests in the offered load.
struct load_class
{
    scheduler_class config_;
    double share_ = 1.0;                           // of all requests
    duration work_{std::chrono::milliseconds(20)}; // mean run time at speed 1
    duration deadline_{std::chrono::seconds(1)};
};

// Fault of a backend server.
enum class fault
{
    none,
    slow,      // runs requests ten times slower
    fails_fast // answers each request with an error after 1 ms
};

// Targets, load and fault of one simulation.
struct scenario
{
    std::size_t targets_ = 7;
    // Relative speeds, assigned to the targets cyclically; empty: all 1.
    std::vector<double> speeds_;
    std::vector<load_class> classes_;
    // Offered load as a share of the capacity: points (second, load), between
    // which the load is interpolated linearly.
    std::vector<std::pair<double, double>> load_;
    double seconds_ = 30.0;     // time during which requests arrive
    fault fault_ = fault::none; // fault of target 0
    double fault_at_s_ = 10.0;  // start of the fault
};

// Measurements of one request.
struct request_record
{
    std::size_t class_ = 0;
    double arrived_s_ = 0.0;
    double ended_s_ = -1.0;  // answered or refused; -1: neither yet
    double service_s_ = 0.0; // run time
    bool refused_ = false;
    bool failed_ = false;
    std::size_t target_ = 0;  // target that ran it
    double started_s_ = -1.0; // -1: not started
};

// Measurements of one simulation.
struct result
{
    std::vector<request_record> requests_;
    std::vector<double> busy_s_; // occupied slot-seconds of each target
    std::uint64_t messages_ = 0; // sent between agents
    double decision_ns_ = 0.0;   // time spent on decisions, per request
};

// Simulates a scenario under one strategy. The seed determines the arrivals and
// the random choices.
result run(scenario const& scenario_config, strategy selected_strategy,
           std::uint64_t seed);

} // namespace daisytrail::model
