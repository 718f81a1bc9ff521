// Wiring and life cycle of a balancer process.
#include "balancer/balancer.hpp"

#include "net/log.hpp"

#include <chrono>
#include <csignal>

namespace daisytrail
{

namespace
{

// Time that a stopped balancer goes on forwarding, since the fabric still
// sends packets to it.
constexpr std::chrono::seconds linger_time{2};

} // namespace

balancer::balancer(boost::asio::io_context& io,
                   balancer_settings const& settings)
    : settings_(settings), events_(view_, metrics_),
      page_(io, settings.common_.http_),
      forwarder_(io, settings.data_, view_, metrics_),
      signals_(io, SIGTERM, SIGINT), linger_timer_(io)
{
    add_gauges();
    add_balancer_pages(page_, {settings_, view_, events_, metrics_, stopping_});
    wait_for_signal();
    forwarder_.start();
    log_event(log_level::info, "started",
              {{"version", DAISYTRAIL_VERSION},
               {"data", to_string(settings_.data_)},
               {"control", to_string(settings_.common_.control_)},
               {"http", to_string(settings_.common_.http_)}});
}

void balancer::add_gauges()
{
    metrics_.gauge("daisytrail_services", [this]
                   { return static_cast<double>(view_.service_count()); });
    metrics_.gauge("daisytrail_targets", [this]
                   { return static_cast<double>(view_.target_count()); });
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
    linger();
}

// The fabric learns of the stop by the health page and goes on sending for a
// moment.
void balancer::linger()
{
    linger_timer_.expires_after(linger_time);
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
    page_.stop();
    signals_.cancel();
}

} // namespace daisytrail
