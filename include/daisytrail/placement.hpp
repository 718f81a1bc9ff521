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
    // Ranked candidates among which the least loaded one is taken; a small
    // number lets any balancer find the flow again by the same ranking.
    std::size_t choices_ = 4;
    // Weight of the own failure domain in the ranking, against 1 of others.
    double own_domain_weight_ = 30;
    // Load that the way to another failure domain is worth: 1 is a queue of as
    // many requests as the backend server has slots.
    double cross_domain_load_ = 0.5;
};

// What a balancer weighs for one flow.
struct placement_request
{
    std::uint64_t flow_ = 0; // hash of the flow
    std::string_view own_domain_;
    std::span<target_id const> excluded_; // that returned the flow's packet
    time_point now_{};
};

// Expected load of a target with one more request; 1 is all slots in use.
double expected_load(forward_target const& target);

// The service that a new flow goes to, by the weights of the route's shares.
service_id choose_service(route_template const& route, std::uint64_t flow);

// Targets by weighted rendezvous hashing, the own failure domain first.
std::vector<forward_target*>
rank_targets(forward_directory::target_list const& members,
             placement_request const& request,
             placement_settings const& settings);

// The target that takes a new flow; null if none can.
forward_target* place_flow(forward_directory::target_list const& members,
                           placement_request const& request,
                           placement_settings const& settings);

} // namespace daisytrail
