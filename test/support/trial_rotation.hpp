// Model of the platform's routers: polls which balancers are ready and selects
// the balancer for each flow.
#pragma once

#include "net/periodic_timer.hpp"
#include "support/platform_fleet.hpp"
#include "support/trial_timeline.hpp"

#include <map>

namespace daisytrail
{

class trial_rotation
{
public:
    trial_rotation(boost::asio::io_context& io, trial_timeline& timeline,
                   platform_fleet const& fleet);

    void start()
    {
        timer_.start();
    }

    // Selects a ready balancer by the flow's hash modulo their number, so that
    // a change of this number moves nearly all flows. Uses all balancers if
    // fewer than half of them are ready.
    int balancer_of(flow_key const& flow) const;

private:
    void poll_readiness();

    trial_timeline& timeline_;
    platform_fleet const& fleet_;
    std::map<int, int> failed_polls_; // consecutive failures, by balancer
    periodic_timer timer_;
};

} // namespace daisytrail
