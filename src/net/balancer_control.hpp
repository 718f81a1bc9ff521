// Balancer side of the control plane: connects the balancer's membership to a
// UDP socket, a timer and the configuration store.
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
    // Binds the socket. Throws error(unavailable) if the address is in use.
    // `store` may be null; templates then come from other balancers only.
    balancer_control(boost::asio::io_context& io,
                     balancer_settings const& settings, metrics& counters,
                     control_events& events,
                     std::unique_ptr<config_store> store);

    void start();

    // Replaces the seeds, after a change of the settings.
    void set_seeds(std::vector<endpoint> const& seeds);

    // Asks other balancers for targets that this balancer doesn't know. Once
    // they report no further target, control_events::on_view_confirmed() is
    // called.
    void confirm_view();

    // Publishes that this balancer leaves, then calls `done` after a delay.
    void stop(std::function<void()> done);

    // Returns the templates in force and the results of template offers, for
    // GET /adopted.
    boost::json::value adopted() const;

    // Returns the newest version that was refused as invalid and is newer than
    // the one in force; 0 if there is none.
    template_version refused_version() const;

    // Returns all members that this balancer knows, for GET /members.
    boost::json::value members() const;

private:
    void tick();
    void record_lateness(time_point now);
    void adopt(template_received_action received);
    void offer_template(store_entry const& entry);
    void offer_copy(std::string const& organisation, std::string const& copy);
    void apply_target_list(std::string const& value);
    void update_duties();

    control_link link_;
    control_events& events_;
    detail::action_runner runner_;
    balancer_membership membership_;
    std::unique_ptr<store_watcher> watcher_; // empty without a store
    // Number of balancers of the fleet that watch the store.
    std::size_t store_watcher_count_;
    // Time limit for the transfer of a template from peers. After it the
    // template is read from the store.
    duration transfer_timeout_;
    periodic_timer timer_;
    time_point started_at_;
    time_point next_tick_at_;
    std::uint64_t& refused_list_lines_;
    histogram& tick_lateness_;
    std::function<void()> done_; // set while a stop is in progress
    time_point stop_deadline_;
    time_point duties_updated_at_;
};

} // namespace daisytrail
