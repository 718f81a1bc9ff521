// Routes of the balancer's HTTP server: health, metrics and the view of the
// fleet.
#pragma once

#include "balancer/view_updater.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"

#include <daisytrail/settings.hpp>

namespace daisytrail
{

// Objects that the route handlers read. They must outlive the HTTP server.
struct balancer_http_sources
{
    balancer_settings const& settings_;
    fleet_view const& view_;
    view_updater const& view_updater_;
    metrics const& metrics_;
    bool const& stopping_;
};

// Adds the routes GET /health, /metrics, /view and
// /explain?vip=ADDRESS:PORT&caller=ADDRESS:PORT.
void add_balancer_http_routes(http_server& server,
                              balancer_http_sources const& sources);

} // namespace daisytrail
