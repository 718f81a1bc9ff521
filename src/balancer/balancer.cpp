// Start and graceful stop of a balancer process.
#include "balancer/balancer.hpp"

#include "net/log.hpp"
#include "store/etcd_store.hpp"

#include <boost/json/serialize.hpp>

#include <chrono>
#include <csignal>

namespace daisytrail
{

namespace
{

// Time for which a stopping balancer continues to forward packets, since the
// fabric still sends packets to it.
constexpr std::chrono::seconds linger_duration{2};

std::unique_ptr<config_store> make_store(boost::asio::io_context& io,
                                         balancer_settings const& settings)
{
    if (settings.stores_.empty())
    {
        return nullptr;
    }
    return std::make_unique<etcd_store>(io, settings.stores_);
}

} // namespace

balancer::balancer(boost::asio::io_context& io,
                   balancer_settings const& settings)
    : io_(io), settings_(settings), view_updater_(view_, metrics_),
      http_server_(io, settings.common_.http_),
      forwarder_(io, settings.data_, view_, metrics_),
      control_(io, settings, metrics_, view_updater_, make_store(io, settings)),
      signals_(io, SIGTERM, SIGINT), linger_timer_(io)
{
    add_gauges();
    add_balancer_http_routes(
        http_server_, {settings_, view_, view_updater_, metrics_, stopping_});
    add_control_routes();
    wait_for_signal();
    forwarder_.start();
    control_.start();
    log_event(log_level::info, "started",
              {{"version", DAISYTRAIL_VERSION},
               {"data", to_string(settings_.data_)},
               {"control", to_string(settings_.common_.control_)},
               {"http", to_string(settings_.common_.http_)}});
}

void balancer::set_seeds(std::vector<endpoint> const& seeds)
{
    control_.set_seeds(seeds);
}

void balancer::add_gauges()
{
    metrics_.gauge("daisytrail_services", [this]
                   { return static_cast<double>(view_.service_count()); });
    metrics_.gauge("daisytrail_targets", [this]
                   { return static_cast<double>(view_.target_count()); });
}

void balancer::add_control_routes()
{
    http_server_.route("GET", "/adopted",
                       [this](http_request const&) {
                           return make_response(
                               200, boost::json::serialize(control_.adopted()));
                       });
    http_server_.route("GET", "/members",
                       [this](http_request const&) {
                           return make_response(
                               200, boost::json::serialize(control_.members()));
                       });
}

void balancer::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code code, int)
        {
            if (!code)
            {
                begin_stop();
            }
        });
}

void balancer::begin_stop()
{
    stopping_ = true;
    log_event(log_level::info, "stopping");
    control_.stop([this] { linger(); });
}

// Continues to forward packets. The fabric detects the stop by polling the
// route /health, so it sends packets for a short time after the stop has begun.
void balancer::linger()
{
    linger_timer_.expires_after(linger_duration);
    linger_timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
            {
                finish_stop();
            }
        });
}

void balancer::finish_stop()
{
    forwarder_.stop();
    http_server_.stop();
    // Timers and idle connections would keep the event loop running.
    io_.stop();
}

} // namespace daisytrail
