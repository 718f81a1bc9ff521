// An agent's side of the control plane, on UDP.
#pragma once

#include "net/control_outputs.hpp"
#include "net/periodic_timer.hpp"

#include <daisytrail/membership.hpp>
#include <daisytrail/settings.hpp>

namespace daisytrail
{

class agent_control : public agent_membership
{
public:
    // Binds at once; throws error(unavailable) if the address is taken.
    agent_control(boost::asio::io_context& io, agent_settings const& settings,
                  metrics& counters, control_events& events);

    void start();

    // Publishes that the target has left; calls `done` when a balancer knows,
    // or after a short while.
    void stop(std::function<void()> done);

    // Falls silent at once, without telling that the target has left.
    void halt();

    void publish(target_status const& status) override;

    target_record const& self() const override
    {
        return announcer_.self();
    }

    // The process's own record, for GET /adopted.
    boost::json::value adopted() const;

private:
    void tick();
    void finish();

    control_link link_;
    detail::action_runner runner_;
    agent_announcer announcer_;
    periodic_timer timer_;
    std::function<void()> done_; // set while stopping
    time_point stop_deadline_;
};

} // namespace daisytrail
