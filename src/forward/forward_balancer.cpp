// Start, readiness and graceful stop of a balancer in mode `forward`.
#include "forward/forward_balancer.hpp"

#include "net/log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds tick_interval{100};
// A stopping balancer keeps forwarding for this long, since the fabric still
// sends packets to it.
constexpr std::chrono::milliseconds linger_time{1'300};
// After its start a balancer becomes ready once no new target was discovered
// for this long.
constexpr std::chrono::milliseconds discovery_quiet_period{150};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

json::object to_json(forward_target const& target, time_point now)
{
    return {{"name", target.record_.name_},
            {"service", target.record_.service_},
            {"state", to_string(target.record_.state_)},
            {"failure_domain", target.record_.failure_domain_},
            {"incarnation", target.record_.version_.incarnation_},
            {"tunnel", to_string(target.record_.tunnel_)},
            {"accepts", target.load_.accepts_},
            {"under_way", target.load_.in_flight_},
            {"silent", target.is_silent(now)}};
}

} // namespace

forward_balancer::forward_balancer(boost::asio::io_context& io,
                                   forward_balancer_settings const& settings,
                                   packet_format const& format,
                                   std::unique_ptr<config_store> store)
    : io_(io), settings_(settings),
      http_server_(io, settings.balancer_.common_.http_),
      relay_(io, settings, format, directory_, metrics_),
      control_(io, settings.balancer_, metrics_, *this, std::move(store)),
      timer_(io, tick_interval, [this] { on_tick(); }),
      tick_late_(metrics_.latency("daisytrail_tick_late_seconds")),
      signals_(io, SIGTERM, SIGINT)
{
    add_http_routes();
    wait_for_signal();
    relay_.start();
    control_.start();
    timer_.start();
    log_event(log_level::info, "started",
              {{"version", DAISYTRAIL_VERSION},
               {"data", to_string(settings_.balancer_.data_)},
               {"relay", to_string(settings_.relay_)},
               {"control", to_string(settings_.balancer_.common_.control_)}});
}

bool forward_balancer::is_ready() const
{
    return !stops_at_ && is_settled_;
}

void forward_balancer::set_seeds(std::vector<endpoint> const& seeds)
{
    control_.set_seeds(seeds);
}

void forward_balancer::add_http_routes()
{
    http_server_.route("GET", "/health",
                       [this](http_request const&)
                       {
                           json::object const body{
                               {"ready", is_ready()},
                               {"stopping", stops_at_.has_value()},
                               {"routes", directory_.route_count()},
                               {"targets", directory_.targets().size()},
                               {"version", directory_.newest_version()},
                               {"refused_version", control_.refused_version()}};
                           return make_response(is_ready() ? 200 : 503,
                                                json::serialize(body));
                       });
    http_server_.route("GET", "/metrics",
                       [this](http_request const&) {
                           return make_response(200, metrics_.text(),
                                                "text/plain; version=0.0.4");
                       });
    http_server_.route("GET", "/view",
                       [this](http_request const&)
                       {
                           json::array targets;
                           for (auto const& [id, target] : directory_.targets())
                           {
                               targets.emplace_back(
                                   to_json(*target, current_time()));
                           }
                           return make_response(200, json::serialize(targets));
                       });
    http_server_.route(
        "GET", "/adopted",
        [this](http_request const&)
        { return make_response(200, json::serialize(control_.adopted())); });
    http_server_.route(
        "GET", "/members",
        [this](http_request const&)
        { return make_response(200, json::serialize(control_.members())); });
}

void forward_balancer::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code code, int)
        {
            if (!code)
            {
                begin_stop();
                wait_for_signal();
            }
        });
}

void forward_balancer::begin_stop()
{
    if (stops_at_)
    {
        return;
    }
    stops_at_ = current_time() + linger_time;
    log_event(log_level::info, "stopping",
              {{"linger_ms", linger_time.count()}});
}

void forward_balancer::on_tick()
{
    auto const now = current_time();
    tick_late_.add(std::chrono::duration<double>(timer_.lateness()).count());
    relay_.tick(now);
    if (relay_.wants_view(now))
    {
        control_.confirm_view();
    }
    is_settled_ = is_settled_ || has_settled(now);
    if (is_ready() != was_ready_)
    {
        was_ready_ = is_ready();
        log_event(log_level::info, was_ready_ ? "ready" : "not_ready",
                  {{"routes", directory_.route_count()},
                   {"targets", directory_.targets().size()},
                   {"version", directory_.newest_version()},
                   {"stopping", stops_at_.has_value()}});
    }
    if (stops_at_ && now >= *stops_at_)
    {
        timer_.stop();
        control_.stop([this] { finish_stop(); });
    }
}

// True once this balancer can place flows: it knows all listed targets, or no
// further target has been discovered for a while.
bool forward_balancer::has_settled(time_point now) const
{
    bool const is_discovery_quiet =
        now >= last_target_added_at_ + discovery_quiet_period;
    return directory_.has_template() && !directory_.targets().empty() &&
           (directory_.knows_all_expected() || is_discovery_quiet);
}

void forward_balancer::finish_stop()
{
    relay_.stop();
    http_server_.stop();
    // Idle connections to the HTTP server would keep the event loop running.
    io_.stop();
}

void forward_balancer::on_target(target_record const& record)
{
    if (directory_.find(record.target_) == nullptr)
    {
        last_target_added_at_ = current_time();
    }
    bool const is_applied = directory_.apply(record);
    log_event(log_level::info, "target_changed",
              {{"target", record.name_},
               {"service", record.service_},
               {"incarnation", record.version_.incarnation_},
               {"sequence", record.version_.sequence_},
               {"state", to_string(record.state_)},
               {"outcome", is_applied ? "taken" : "older than the one held"}});
}

void forward_balancer::on_view_confirmed(time_point asked)
{
    directory_.confirm_view(asked);
}

void forward_balancer::on_target_list(std::vector<target_record> const& targets)
{
    directory_.expect_targets(targets);
    relay_.discover_targets(current_time());
}

void forward_balancer::on_organisation(organisation_template const& value,
                                       template_version version)
{
    auto const previous_version = directory_.newest_version();
    bool const is_applied = directory_.apply(value, version);
    log_event(
        log_level::info, "template",
        {{"organisation", value.name_},
         {"version", version},
         {"held", previous_version},
         {"routes", value.routes_.size()},
         {"outcome", is_applied ? "in force" : "older than the one held"}});
}

} // namespace daisytrail
