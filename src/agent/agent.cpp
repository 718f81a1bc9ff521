// Handles announcements, templates, target records and the drain of an agent.
#include "agent/agent.hpp"

#include "agent/requests_service.hpp"
#include "agent/stream_service.hpp"
#include "net/log.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{100};

// Maximum age of the view of a balancer. For this time after the start of a
// drain, balancers may still send SYNs, which the agent has to forward to other
// targets.
constexpr auto max_view_lag = std::chrono::seconds(5);

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

bool same_backend(backend_status const& left, backend_status const& right)
{
    return left.address_ == right.address_ && left.ready_ == right.ready_ &&
           left.slots_ == right.slots_ &&
           left.connections_ == right.connections_;
}

// Creates the flow service of one service mode.
using service_factory =
    std::unique_ptr<flow_service> (*)(boost::asio::io_context&, metrics&);

template <typename Service>
std::unique_ptr<flow_service> make_flow_service(boost::asio::io_context& io,
                                                metrics& metrics)
{
    return std::make_unique<Service>(io, metrics);
}

constexpr std::array<service_factory,
                     static_cast<std::size_t>(service_mode::count)>
    service_factories{make_flow_service<stream_service>,
                      make_flow_service<requests_service>};

} // namespace

agent::agent(boost::asio::io_context& io, agent_settings const& settings,
             metrics& metrics)
    : io_(io), settings_(settings), metrics_(metrics),
      http_server_(io, settings.common_.http_),
      timer_(io, tick_interval, [this] { on_tick(); })
{
}

void agent::start(agent_membership& membership)
{
    membership_ = &membership;
    data_path_ = std::make_unique<data_path>(
        io_, settings_, membership.self().version_.incarnation_, metrics_,
        [this](std::shared_ptr<tcp_flow> flow)
        {
            if (flow_service_)
            {
                flow_service_->accept(std::move(flow));
            }
            else
            {
                flow->abort();
            }
        });
    if (service_)
    {
        data_path_->set_service(*service_);
    }
    publish(current_time());
    add_http_routes();
    data_path_->start();
    timer_.start();
}

void agent::stop()
{
    timer_.stop();
    http_server_.stop();
    data_path_->stop();
}

void agent::add_http_routes()
{
    http_server_.route("POST", "/v1/announce",
                       [this](http_request const& request)
                       { return announce(request); });
    http_server_.route("GET", "/health",
                       [this](http_request const&) { return health(); });
    http_server_.route("GET", "/metrics",
                       [this](http_request const&) {
                           return make_response(200, metrics_.text(),
                                                "text/plain; version=0.0.4");
                       });
    http_server_.route("GET", "/flows",
                       [this](http_request const&) {
                           return make_response(
                               200,
                               boost::json::serialize(data_path_->describe()));
                       });
}

http_response agent::announce(http_request const& request)
{
    auto const now = current_time();
    backend_monitor_.on_announcement(parse_announcement(request.body()), now);
    update_backend(now);
    publish(now);
    return make_response(200, "{}");
}

http_response agent::health() const
{
    auto const& self = membership_->self();
    boost::json::object const body{{"name", self.name_},
                                   {"state", to_string(self.state_)},
                                   {"weight", self.weight_},
                                   {"incarnation", self.version_.incarnation_},
                                   {"template", service_.has_value()},
                                   {"backend", backend_status_.ready_},
                                   {"flows", data_path_->open_flows()}};
    bool const healthy = service_ && backend_status_.ready_;
    return make_response(healthy ? 200 : 503, boost::json::serialize(body));
}

void agent::on_target(target_record const& record)
{
    if (record.service_ !=
        hash_name(settings_.organisation_ + "/" + settings_.service_))
    {
        return;
    }
    if (merge(record))
    {
        update_view();
    }
}

void agent::on_organisation(organisation_template const& value,
                            template_version version)
{
    if (value.name_ != settings_.organisation_)
    {
        return;
    }
    auto const found = std::ranges::find(value.services_, settings_.service_,
                                         &service_template::name_);
    if (found == value.services_.end())
    {
        log_event(log_level::error, "service_missing",
                  {{"service", settings_.service_}, {"version", version}});
        return;
    }
    set_service(*found);
    log_event(log_level::info, "template_adopted", {{"version", version}});
}

void agent::set_service(service_template const& service)
{
    if (!flow_service_)
    {
        auto const mode = static_cast<std::size_t>(service.mode_);
        flow_service_ = service_factories[mode](io_, metrics_);
    }
    else if (service_->mode_ != service.mode_)
    {
        // Open flows can't change their mode, so the new mode takes effect at
        // the next start of the process.
        log_event(log_level::error, "mode_change_needs_restart");
    }
    service_ = service;
    if (!runs_in(service, settings_.common_.failure_domain_))
    {
        log_event(log_level::warning, "outside_failure_domains",
                  {{"failure_domain", settings_.common_.failure_domain_}});
    }
    flow_service_->update(service, backend_status_);
    if (data_path_)
    {
        data_path_->set_service(service);
        update_view();
        publish(current_time());
    }
}

void agent::on_tick()
{
    auto const now = current_time();
    update_backend(now);
    publish(now);
    data_path_->set_incarnation(membership_->self().version_.incarnation_);
    end_drain_if_done(now);
}

void agent::update_backend(time_point now)
{
    auto const status = backend_monitor_.status(now);
    if (same_backend(status, backend_status_))
    {
        return;
    }
    backend_status_ = status;
    if (flow_service_)
    {
        flow_service_->update(*service_, status);
    }
}

void agent::publish(time_point now)
{
    // Without a template the VIPs of the service are unknown, so the agent
    // takes no flows.
    bool const takes_no_work =
        on_drained_ != nullptr || !service_ ||
        !runs_in(*service_, settings_.common_.failure_domain_);
    auto const status = backend_monitor_.make_target_status(now, takes_no_work);
    if (status == published_status_)
    {
        return;
    }
    published_status_ = status;
    membership_->publish(status);
    log_event(
        log_level::info, "published",
        {{"state", to_string(status.state_)}, {"weight", status.weight_}});
    // Updates the view of the flow table immediately, so that its decisions use
    // the new state of this agent.
    if (merge(membership_->self()))
    {
        update_view();
    }
}

// Stores a record. Returns true if the target was unknown or the record
// superseded the stored one.
bool agent::merge(target_record const& record)
{
    auto const [entry, inserted] = targets_.try_emplace(record.target_, record);
    if (!inserted && !supersedes(record, entry->second))
    {
        return false;
    }
    entry->second = record;
    return true;
}

void agent::update_view()
{
    if (!data_path_)
    {
        return;
    }
    std::vector<target_record> records;
    for (auto const& [id, record] : targets_)
    {
        records.push_back(record);
    }
    data_path_->set_view(records);
    if (flow_service_ && membership_ != nullptr)
    {
        flow_service_->set_targets(records, membership_->self());
    }
}

void agent::drain(std::function<void()> done)
{
    if (on_drained_)
    {
        return;
    }
    auto const now = current_time();
    auto const timeout = service_ ? service_->limits_.drain_timeout_
                                  : std::chrono::milliseconds(0);
    on_drained_ = std::move(done);
    earliest_drain_end_ = now + max_view_lag;
    drain_deadline_ = now + timeout;
    log_event(
        log_level::info, "draining",
        {{"flows", data_path_->open_flows()}, {"timeout_ms", timeout.count()}});
    publish(now);
    if (flow_service_)
    {
        flow_service_->drain(drain_deadline_);
    }
}

void agent::end_drain_if_done(time_point now)
{
    if (!on_drained_ || now < earliest_drain_end_)
    {
        return;
    }
    auto const work = flow_service_ ? flow_service_->open_work_count() : 0;
    bool const idle = work == 0 && data_path_->open_flows() == 0;
    if (!idle && now < drain_deadline_)
    {
        return;
    }
    data_path_->abort_flows();
    auto status = *published_status_;
    status.state_ = member_state::left;
    membership_->publish(status);
    timer_.stop();
    log_event(log_level::info, "drained",
              {{"flows", data_path_->open_flows()}});
    on_drained_();
}

} // namespace daisytrail
