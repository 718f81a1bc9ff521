// Strategies that choose the target of a flow: the product's and two baselines.
// The measurement compares how many flows a change of the members breaks.
#pragma once

#include <daisytrail/forwarding.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Choice of targets by several balancers.
class choice_strategy
{
public:
    virtual ~choice_strategy() = default;

    virtual std::string_view name() const = 0;

    // Sets the members that balancer `balancer` knows.
    virtual void update(std::size_t balancer,
                        std::vector<table_member> const& members) = 0;

    // Targets that a packet of an open flow reaches through this balancer, in
    // order. The flow is broken if its owner isn't among them.
    virtual std::vector<target_id> reachable_targets(std::size_t balancer,
                                                     std::uint64_t flow) = 0;
};

// The product's strategy: rendezvous hashing with ranked candidates, but
// without the agents' forwarding entries.
std::unique_ptr<choice_strategy> make_ranked_strategy(std::size_t balancers);

// Baseline: flow hash modulo the number of members.
std::unique_ptr<choice_strategy> make_modulo_strategy(std::size_t balancers);

// Baseline: each balancer keeps a table of the flows that it has seen. It sends
// a flow that isn't in its table to the first of the ranked candidates.
std::unique_ptr<choice_strategy>
make_flow_table_strategy(std::size_t balancers);

} // namespace daisytrail
