// Chooses the target of a new flow, and ranks the targets to ask for the owner
// of an open flow.
#pragma once

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/types.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Parameters of the cost by which a service's targets are compared.
struct placement_settings
{
    // Number of best-ranked candidates to compare. If it is small, every
    // balancer finds the flow's target among the first of the same ranking.
    std::size_t own_domain_candidates_ = 3;
    std::size_t other_domain_candidates_ = 3;
    // Cost of a kilobyte that is sent to another failure domain.
    double cross_domain_ms_per_kilobyte_ = 15;
    double cross_domain_round_trip_ms_ = 2;
};

// Properties of the flow to place.
struct placement_request
{
    std::uint64_t flow_hash_ = 0;
    std::string_view own_domain_;         // failure domain of the balancer
    std::span<target_id const> excluded_; // targets that were tried already
    bool is_long_ = false;                // carries many requests over time
    double kilobytes_ = 1;                // from the caller
    time_point now_{};
};

// Chooses the service of a new flow by the weights of the route's shares. The
// argument `flow` is the flow's hash.
service_id choose_service(route_template const& route, std::uint64_t flow);

// Returns all targets in the order of rendezvous hashing within three groups:
// the best candidates of the balancer's failure domain, the best of other
// failure domains, and the remaining targets, with those of the own domain
// first.
std::vector<forward_target*>
rank_targets(forward_directory::target_list const& members,
             placement_request const& request,
             placement_settings const& settings);

// Returns the target with the lowest cost among the best-ranked candidates that
// can accept the flow; null if no target can.
forward_target* place_flow(forward_directory::target_list const& members,
                           placement_request const& request,
                           placement_settings const& settings);

} // namespace daisytrail
