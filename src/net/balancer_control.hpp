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
    void record_lateness(time_point now);
    void offer_template(store_entry const& entry);
    void apply_target_list(std::string const& value);
    std::string format_target_list() const;
    void update_duties();

    control_link link_;
    control_events& events_;
    detail::action_runner runner_;
    balancer_membership membership_;
    std::unique_ptr<store_watcher> watcher_; // empty without a store
    std::size_t
        store_watcher_count_; // balancers of the fleet that watch the store
    // How long a template's transfer from peers may take; then the store is
    // asked.
    duration transfer_timeout_;
    periodic_timer timer_;
    time_point started_at_;
    time_point next_tick_at_; // of the next tick
    histogram& tick_lateness_;
    std::function<void()> done_; // set while stopping
    time_point stop_deadline_;
    time_point duties_updated_at_;
};

} // namespace daisytrail
