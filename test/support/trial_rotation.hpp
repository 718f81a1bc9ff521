// Balancers in rotation, as the platform's routers have it: those whose page
// says that they are ready, and which of them takes a flow.
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

    // A change of the rotation moves nearly all flows.
    int balancer_of(flow_key const& flow) const;

private:
    void poll_readiness();

    trial_timeline& timeline_;
    platform_fleet const& fleet_;
    std::map<int, int> failed_polls_; // in a row, by balancer
    periodic_timer timer_;
};

} // namespace daisytrail
