// Balancer process in mode `forward`: runs the data path, applies target
// records and templates, and stops gracefully.
#pragma once

#include "forward/balancer_relay.hpp"
#include "net/balancer_control.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"
#include "net/periodic_timer.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/forward_directory.hpp>
#include <daisytrail/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace daisytrail
{

class forward_balancer : public control_events
{
public:
    // Binds all sockets and starts the balancer; throws error(unavailable) if
    // an address is in use. `format` must outlive the balancer.
    forward_balancer(boost::asio::io_context& io,
                     forward_balancer_settings const& settings,
                     packet_format const& format,
                     std::unique_ptr<config_store> store);

    // True if the fabric may send callers' packets to this balancer.
    bool is_ready() const;

    // Replaces the balancers to contact first.
    void set_seeds(std::vector<endpoint> const& seeds);

    http_server& http()
    {
        return http_server_;
    }

    void on_target(target_record const& record) override;
    void on_organisation(organisation_template const& value,
                         template_version version) override;
    void on_view_confirmed(time_point asked) override;
    void on_target_list(std::vector<target_record> const& targets) override;

private:
    void add_http_routes();
    void wait_for_signal();
    void on_tick();
    bool has_settled(time_point now) const;
    void begin_stop();
    void finish_stop();

    boost::asio::io_context& io_;
    forward_balancer_settings settings_;
    metrics metrics_;
    forward_directory directory_;
    http_server http_server_;
    balancer_relay relay_;
    balancer_control control_;
    periodic_timer timer_;
    histogram& tick_late_;
    boost::asio::signal_set signals_;
    std::optional<time_point> stops_at_; // set while stopping
    time_point last_target_added_at_{};
    bool is_settled_ = false;
    bool was_ready_ = false;
};

} // namespace daisytrail
