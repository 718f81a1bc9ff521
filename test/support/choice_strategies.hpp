// Ways to choose a target, as strategy objects: the product's and two
// baselines, compared by the flows that a change breaks.
#pragma once

#include <daisytrail/forwarding.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace daisytrail
{

// What several balancers do with the packets of many flows.
class choice_strategy
{
public:
    virtual ~choice_strategy() = default;

    virtual std::string_view name() const = 0;

    // Balancer `balancer` learns of these members.
    virtual void update(std::size_t balancer,
                        std::vector<table_member> const& members) = 0;

    // Targets that a packet of an open flow reaches through this balancer, in
    // order; a flow whose owner isn't among them is broken.
    virtual std::vector<target_id> reachable_targets(std::size_t balancer,
                                                     std::uint64_t flow) = 0;
};

// The product's choice with its trail, without the agents' pointers.
std::unique_ptr<choice_strategy> make_ranked_strategy(std::size_t balancers);

// Flow hash modulo the number of members.
std::unique_ptr<choice_strategy> make_modulo_strategy(std::size_t balancers);

// Each balancer remembers its own flows; a flow that it doesn't know is placed
// by the product's choice, without a trail.
std::unique_ptr<choice_strategy>
make_flow_table_strategy(std::size_t balancers);

} // namespace daisytrail
