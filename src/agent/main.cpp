// daisytrail-agent: owns the flows of one backend server.
#include "agent/agent.hpp"
#include "config/settings_file.hpp"
#include "net/agent_control.hpp"
#include "net/daemon.hpp"
#include "net/log.hpp"
#include "net/settings_follower.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>

namespace
{

using namespace daisytrail;

void run_agent(std::string const& path, agent_settings const& settings)
{
    start_log("daisytrail-agent", settings.common_.name_);
    boost::asio::io_context io;
    metrics counters;
    agent process(io, settings, counters);
    agent_control control(io, settings, counters, process);
    process.http().route("GET", "/adopted",
                         [&control](http_request const&) {
                             return make_response(200, boost::json::serialize(
                                                           control.adopted()));
                         });
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code code, int)
        {
            if (code)
            {
                return;
            }
            process.drain(
                [&]
                {
                    control.stop(
                        [&]
                        {
                            process.stop();
                            io.stop();
                        });
                });
        });
    // Starts before the control plane, so that the first published state takes
    // no work until the backend server has announced itself.
    process.start(control);
    control.start();
    log_event(log_level::info, "started",
              {{"version", DAISYTRAIL_VERSION},
               {"service", settings.organisation_ + "/" + settings.service_},
               {"tunnel", to_string(settings.tunnel_)},
               {"control", to_string(settings.common_.control_)},
               {"http", to_string(settings.common_.http_)}});
    settings_follower const follower(
        io, path,
        [&path](std::string const& text)
        { return check_settings(path, text, parse_agent_settings).common_; },
        [&control](std::vector<endpoint> const& seeds)
        { control.set_seeds(seeds); });
    io.run();
}

} // namespace

int main(int argc, char** argv)
{
    agent_settings settings;
    return run_daemon(
        argc, argv,
        {"daisytrail-agent", "Owns the flows of one backend server.",
         [&](std::string const& path)
         { settings = load_settings(path, parse_agent_settings); },
         [&](std::string const& path)
         {
             run_agent(path, settings);
         }});
}
