// The balancer process. Connects the data path, the HTTP server and the control
// plane, and stops gracefully on SIGTERM or SIGINT.
#pragma once

#include "balancer/forwarder.hpp"
#include "balancer/http_routes.hpp"
#include "balancer/view_updater.hpp"
#include "net/balancer_control.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"

#include <daisytrail/settings.hpp>
#include <daisytrail/view.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisytrail
{

class balancer
{
public:
    // Starts immediately and serves while `io` runs. `settings` must outlive
    // the balancer.
    balancer(boost::asio::io_context& io, balancer_settings const& settings);
    // Replaces the balancers to contact first.
    void set_seeds(std::vector<endpoint> const& seeds);

    balancer(balancer const&) = delete;
    balancer& operator=(balancer const&) = delete;

private:
    void add_gauges();
    void add_control_routes();
    void wait_for_signal();
    void begin_stop();
    void linger();
    void finish_stop();

    boost::asio::io_context& io_;
    balancer_settings const& settings_;
    metrics metrics_;
    fleet_view view_;
    view_updater view_updater_;
    bool stopping_ = false;
    http_server http_server_;
    forwarder forwarder_;
    balancer_control control_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer linger_timer_;
};

} // namespace daisytrail
