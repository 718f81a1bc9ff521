// Agent side of the control plane: connects the agent's announcer to a UDP
// socket and a timer.
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
    // Binds the socket. Throws error(unavailable) if the address is in use.
    agent_control(boost::asio::io_context& io, agent_settings const& settings,
                  metrics& counters, control_events& events);

    void start();

    // Replaces the seeds, after a change of the settings.
    void set_seeds(std::vector<endpoint> const& seeds);

    // Publishes that the target has left. Calls `done` once a balancer has
    // acknowledged it, or after a timeout.
    void stop(std::function<void()> done);

    // Stops sending and receiving without publishing that the target has left.
    void halt();

    void publish(target_status const& status) override;

    target_record const& self() const override
    {
        return announcer_.self();
    }

    // Returns the templates in force and the results of template offers, for
    // GET /adopted.
    boost::json::value adopted() const;

private:
    void adopt(template_received_action received);
    void tick();
    void finish();

    control_link link_;
    detail::action_runner runner_;
    agent_announcer announcer_;
    periodic_timer timer_;
    std::function<void()> done_; // set while a stop is in progress
    time_point stop_deadline_;
};

} // namespace daisytrail
