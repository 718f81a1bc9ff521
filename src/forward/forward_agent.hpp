// Agent process in mode `forward`: runs the data path of one backend server,
// processes its announcements, publishes its state to the membership protocol
// and stops gracefully.
#pragma once

#include "forward/agent_relay.hpp"
#include "net/agent_control.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"
#include "net/periodic_timer.hpp"

#include <daisytrail/backend_lifecycle.hpp>
#include <daisytrail/control.hpp>
#include <daisytrail/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <optional>
#include <vector>

namespace daisytrail
{

class forward_agent : public control_events
{
public:
    // Binds all sockets and starts the agent; throws error(unavailable) if an
    // address is in use. `format` must outlive the agent.
    forward_agent(boost::asio::io_context& io,
                  forward_agent_settings const& settings,
                  packet_format const& format);

    // Processes an announcement of the backend server. The admission of new
    // flows follows the announced state at once.
    // Returns false if what it says isn't in force here: the announcement must
    // then not be acknowledged.
    bool on_announcement(backend_announcement const& value);

    // Processes the end of the backend server's run with this id.
    void on_backend_end(std::string const& id);

    // Replaces the balancers to contact first.
    void set_seeds(std::vector<endpoint> const& seeds);

    http_server& http()
    {
        return http_server_;
    }

    void on_target(target_record const& record) override;
    void on_organisation(organisation_template const& value,
                         template_version version) override;

private:
    void add_http_routes();
    void wait_for_signal();
    void begin_stop();
    void on_tick();
    void publish();
    void finish_stop_if_idle(time_point now);
    void finish_stop();
    member_state published_state() const;

    boost::asio::io_context& io_;
    forward_agent_settings settings_;
    metrics metrics_;
    backend_lifecycle lifecycle_;
    http_server http_server_;
    agent_relay relay_;
    agent_control control_;
    periodic_timer timer_;
    histogram& tick_late_;
    boost::asio::signal_set signals_;
    std::optional<target_status> published_;
    std::optional<time_point> stopping_since_;
};

} // namespace daisytrail
