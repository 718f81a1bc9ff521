// The balancer's HTTP page: health, metrics, and what it holds of the fleet.
#pragma once

#include "balancer/view_events.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"

#include <daisytrail/settings.hpp>

namespace daisytrail
{

// What the page reads; all of it must outlive the page.
struct balancer_page_sources
{
    balancer_settings const& settings_;
    fleet_view const& view_;
    view_events const& events_;
    metrics const& metrics_;
    bool const& stopping_;
};

// Routes GET /health, /metrics, /view and
// /explain?vip=ADDRESS:PORT&caller=ADDRESS:PORT.
void add_balancer_pages(http_server& page,
                        balancer_page_sources const& sources);

} // namespace daisytrail
