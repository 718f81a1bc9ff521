// A balancer's side of the control plane, on UDP and the store.
#pragma once

#include "net/control_outputs.hpp"
#include "net/periodic_timer.hpp"
#include "net/store_watcher.hpp"

#include <daisytrail/membership.hpp>
#include <daisytrail/settings.hpp>

#include <memory>

namespace daisytrail
{

class balancer_control
{
public:
    // Binds at once; throws error(unavailable) if the address is taken.
    // `store` may be empty: templates then come from other balancers alone.
    balancer_control(boost::asio::io_context& io,
                     balancer_settings const& settings, metrics& counters,
                     control_events& events,
                     std::unique_ptr<config_store> store);

    void start();

    // Asks others whether they know targets that aren't known here;
    // control_events::on_view_confirmed() follows once they don't.
    void confirm_view();

    // Tells others that this balancer leaves, then calls `done`.
    void stop(std::function<void()> done);

    // The process's own record, for GET /adopted.
    boost::json::value adopted() const;

    // Every member as this balancer holds it, for GET /members.
    boost::json::value members() const;

private:
    void tick();
    void note_lateness(time_point now);
    void take_template(store_entry const& entry);
    void take_list(std::string const& value);
    std::string target_list() const;
    void update_duties();

    control_link link_;
    control_events& events_;
    detail::action_runner runner_;
    balancer_membership core_;
    std::unique_ptr<store_watcher> watcher_; // empty without a store
    std::size_t watchers_; // balancers of the fleet that watch the store
    // How long a template's transfer from peers may take; then the store is
    // asked.
    duration transfer_patience_;
    periodic_timer timer_;
    time_point started_;
    time_point due_; // of the next tick
    histogram& lateness_;
    std::function<void()> done_; // set while stopping
    time_point stop_deadline_;
    time_point duties_checked_;
};

} // namespace daisytrail
