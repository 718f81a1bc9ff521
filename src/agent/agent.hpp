// The agent process. Connects the data path, the service mode, the
// announcements of the backend server and the control plane.
#pragma once

#include "agent/announcement.hpp"
#include "agent/data_path.hpp"
#include "agent/flow_service.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"
#include "net/periodic_timer.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/settings.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace daisytrail
{

class agent : public control_events
{
public:
    agent(boost::asio::io_context& io, agent_settings const& settings,
          metrics& metrics);

    // Starts to serve flows and HTTP requests. `membership` must outlive the
    // agent.
    void start(agent_membership& membership);

    // Begins a graceful stop: takes no new work, waits until all flows have
    // ended or the drain timeout of the service has passed, then calls `done`.
    void drain(std::function<void()> done);

    void stop();

    http_server& http()
    {
        return http_server_;
    }

    void on_target(target_record const& record) override;
    void on_organisation(organisation_template const& value,
                         template_version version) override;

private:
    void add_http_routes();
    http_response announce(http_request const& request);
    http_response health() const;
    void set_service(service_template const& service);
    void on_tick();
    void update_backend(time_point now);
    void publish(time_point now);
    bool merge(target_record const& record);
    void update_view();
    void end_drain_if_done(time_point now);

    boost::asio::io_context& io_;
    agent_settings settings_;
    metrics& metrics_;
    http_server http_server_;
    periodic_timer timer_;
    agent_membership* membership_ = nullptr; // null before start()
    // Newest record of each target of this agent's service.
    std::map<target_id, target_record> targets_;
    backend_monitor backend_monitor_;
    backend_status backend_status_; // last status given to flow_service_
    std::optional<service_template> service_;
    std::unique_ptr<flow_service> flow_service_; // null until service_ is set
    std::unique_ptr<data_path> data_path_;       // null before start()
    std::optional<target_status> published_status_;

    // Empty unless the agent is draining.
    std::function<void()> on_drained_;
    time_point earliest_drain_end_{};
    time_point drain_deadline_{};
};

} // namespace daisytrail
