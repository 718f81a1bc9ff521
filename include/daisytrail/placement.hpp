// Which target takes a new flow, and in which order targets are asked for a
// flow that is open already.
#pragma once

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/types.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace daisytrail
{

// How a service's targets are weighed against one another.
struct placement_settings
{
    // Best-ranked targets that are weighed. Small numbers let any balancer find
    // the flow again by the same ranking.
    std::size_t own_domain_candidates_ = 3;
    std::size_t other_domain_candidates_ = 3;
    // Time that a kilobyte to another failure domain is worth.
    double cross_domain_ms_per_kilobyte_ = 15;
    double cross_domain_round_trip_ms_ = 2; // there and back
};

// What a balancer weighs for one flow.
struct placement_request
{
    std::uint64_t flow_hash_ = 0; // hash of the flow
    std::string_view own_domain_;
    std::span<target_id const> excluded_; // that returned the flow's packet
    bool is_long_ = false;                // brings many requests over time
    double kilobytes_ = 1;                // that the caller sends
    time_point now_{};
};

// The service that a new flow goes to, by the weights of the route's shares.
service_id choose_service(route_template const& route, std::uint64_t flow);

// All targets: the best of the own failure domain, the best of the others, then
// the rest, each part by rendezvous hashing.
std::vector<forward_target*>
rank_targets(forward_directory::target_list const& members,
             placement_request const& request,
             placement_settings const& settings);

// The target that takes a new flow; null if none can.
forward_target* place_flow(forward_directory::target_list const& members,
                           placement_request const& request,
                           placement_settings const& settings);

} // namespace daisytrail
