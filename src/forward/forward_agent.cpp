// Start, announcements and graceful stop of an agent in mode `forward`.
#include "forward/forward_agent.hpp"

#include "net/log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds tick_interval{50};
// Minimum duration of the stop, in which balancers receive the report that no
// new flows are accepted.
constexpr std::chrono::milliseconds min_stop_time{400};
// Maximum duration of the stop, in which requests in flight may complete.
constexpr std::chrono::milliseconds max_stop_time{2'500};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

// In this mode an agent passes packets regardless of the other agents of its
// service and of the template.
agent_settings without_service(agent_settings settings)
{
    settings.follows_service_ = false;
    return settings;
}

} // namespace

forward_agent::forward_agent(boost::asio::io_context& io,
                             forward_agent_settings const& settings,
                             packet_format const& format)
    : io_(io), settings_(settings), lifecycle_(settings.agent_.service_),
      http_server_(io, settings.agent_.common_.http_),
      relay_(io, settings, format, lifecycle_, metrics_),
      control_(io, without_service(settings.agent_), metrics_, *this),
      timer_(io, tick_interval, [this] { on_tick(); }),
      tick_late_(metrics_.latency("daisytrail_tick_late_seconds")),
      signals_(io, SIGTERM, SIGINT)
{
    add_http_routes();
    wait_for_signal();
    relay_.start();
    publish();
    control_.start();
    timer_.start();
    log_event(log_level::info, "started",
              {{"version", DAISYTRAIL_VERSION},
               {"service", settings_.agent_.service_},
               {"tunnel", to_string(settings_.agent_.tunnel_)},
               {"backend", to_string(settings_.backend_)},
               {"control", to_string(settings_.agent_.common_.control_)}});
}

void forward_agent::add_http_routes()
{
    http_server_.route(
        "GET", "/health",
        [this](http_request const&)
        {
            bool const accepts = relay_.accepts_flows(current_time());
            json::object const body{
                {"phase", to_string(lifecycle_.phase())},
                {"accepts", accepts},
                {"under_way", relay_.requests_in_flight()},
                {"state", to_string(control_.self().state_)}};
            return make_response(accepts ? 200 : 503, json::serialize(body));
        });
    http_server_.route("GET", "/metrics",
                       [this](http_request const&) {
                           return make_response(200, metrics_.text(),
                                                "text/plain; version=0.0.4");
                       });
}

void forward_agent::set_seeds(std::vector<endpoint> const& seeds)
{
    control_.set_seeds(seeds);
}

bool forward_agent::on_announcement(backend_announcement const& value)
{
    auto const previous_phase = lifecycle_.phase();
    auto const previous_run_count = lifecycle_.run_count();
    auto const outcome = lifecycle_.on_announcement(value, current_time());
    bool const is_new_run = previous_run_count != lifecycle_.run_count();
    bool const is_change = outcome != announcement_outcome::accepted ||
                           previous_phase != lifecycle_.phase() || is_new_run;
    if (is_new_run)
    {
        relay_.on_new_run();
    }
    relay_.set_slots(lifecycle_.last_announcement().slots_);
    if (is_change)
    {
        log_event(log_level::info, "announcement",
                  {{"run", value.id_},
                   {"started", value.started_at_ms_},
                   {"sequence", value.sequence_},
                   {"said", to_string(value.phase_)},
                   {"before", to_string(previous_phase)},
                   {"after", to_string(lifecycle_.phase())},
                   {"outcome", to_string(outcome)}});
        relay_.report_now(current_time());
    }
    publish();
    return lifecycle_.is_in_force(value, outcome);
}

void forward_agent::on_backend_end(std::string const& id)
{
    bool const is_current = lifecycle_.on_end(id);
    log_event(log_level::info, "backend_ended",
              {{"run", id},
               {"current_run", lifecycle_.last_announcement().id_},
               {"outcome", is_current ? "gone" : "not the current run"},
               {"certain", lifecycle_.has_certainly_ended()}});
    if (is_current)
    {
        relay_.report_now(current_time());
        publish();
    }
}

member_state forward_agent::published_state() const
{
    // Balancers no longer ask the agent of a target that has left for flows.
    if (lifecycle_.has_certainly_ended())
    {
        return member_state::left;
    }
    bool const takes_flows =
        lifecycle_.phase() == backend_phase::ready && !stopping_since_;
    return takes_flows ? member_state::ready : member_state::draining;
}

void forward_agent::publish()
{
    target_status status;
    status.slots_ = std::max(1U, lifecycle_.last_announcement().slots_);
    status.state_ = published_state();
    if (status == published_)
    {
        return;
    }
    published_ = status;
    control_.publish(status);
    log_event(log_level::info, "published",
              {{"state", to_string(status.state_)},
               {"slots", status.slots_},
               {"run", lifecycle_.last_announcement().id_}});
}

void forward_agent::wait_for_signal()
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

void forward_agent::begin_stop()
{
    if (stopping_since_)
    {
        return;
    }
    stopping_since_ = current_time();
    log_event(log_level::info, "stopping",
              {{"phase", to_string(lifecycle_.phase())},
               {"under_way", relay_.requests_in_flight()}});
    relay_.set_stopping();
    relay_.report_now(current_time());
    publish();
}

void forward_agent::on_tick()
{
    auto const now = current_time();
    tick_late_.add(std::chrono::duration<double>(timer_.lateness()).count());
    relay_.tick(now);
    if (stopping_since_)
    {
        finish_stop_if_idle(now);
    }
}

// The backend server may keep running while its agent restarts, which only
// delays the packets of its flows. Therefore the stop waits, up to its maximum
// duration, for a moment without requests in flight.
void forward_agent::finish_stop_if_idle(time_point now)
{
    bool const may_end = now >= *stopping_since_ + min_stop_time;
    bool const must_end = now >= *stopping_since_ + max_stop_time;
    if (must_end || (may_end && relay_.requests_in_flight() == 0))
    {
        timer_.stop();
        finish_stop();
    }
}

void forward_agent::finish_stop()
{
    auto const end = [this]
    {
        relay_.stop();
        http_server_.stop();
        // Idle connections to the HTTP server would keep the event loop
        // running.
        io_.stop();
    };
    if (lifecycle_.has_certainly_ended())
    {
        control_.stop(end);
    }
    else
    {
        control_.halt();
        end();
    }
}

void forward_agent::on_target(target_record const&) {}

void forward_agent::on_organisation(organisation_template const&,
                                    template_version)
{
}

} // namespace daisytrail
