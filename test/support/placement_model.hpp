// Simulates a service under load on virtual time: short flows arrive and are
// placed by load reports that are up to 100 ms old.
#pragma once

#include <daisytrail/placement.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace daisytrail::test
{

struct placement_scenario
{
    std::vector<double> speeds_;       // of each backend server
    std::vector<std::string> domains_; // of each backend server
    std::uint32_t slots_ = 4;
    double service_ms_ = 30;       // mean at speed 1
    double arrivals_per_ms_ = 0.2; // mean
    double peak_ = 1;              // peak arrival rate, relative to the mean
    double duration_ms_ = 20'000;
    std::uint64_t seed_ = 1;
};

struct placement_outcome
{
    double p50_ms_ = 0;
    double p99_ms_ = 0;
    double late_share_ = 0; // share of responses over 150 ms
    double imbalance_ = 0;  // busy time: maximum over mean
};

// Chooses the index of the member that gets a flow.
using placement_choice = std::function<std::size_t(
    forward_directory::target_list const&, std::uint64_t flow, time_point now)>;

placement_outcome run_placement(placement_scenario const& scenario,
                                placement_choice const& choose);

// The product's placement, place_flow(), and the strategies that it is compared
// with.
placement_choice by_place_flow();
placement_choice by_hash();
placement_choice by_least_requests();
placement_choice by_two_choices();

} // namespace daisytrail::test
