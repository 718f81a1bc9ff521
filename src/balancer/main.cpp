// daisytrail-balancer: selects an agent for each packet from the fabric and
// forwards the packet to it.
#include "balancer/balancer.hpp"
#include "config/settings_file.hpp"
#include "net/daemon.hpp"
#include "net/log.hpp"
#include "net/settings_follower.hpp"

int main(int argc, char** argv)
{
    using namespace daisytrail;
    balancer_settings settings;
    return run_daemon(
        argc, argv,
        {"daisytrail-balancer", "Forwards packets from the fabric to agents.",
         [&](std::string const& path)
         { settings = load_settings(path, parse_balancer_settings); },
         [&](std::string const& path)
         {
             start_log("daisytrail-balancer", settings.common_.name_);
             boost::asio::io_context io;
             balancer process(io, settings);
             settings_follower const follower(
                 io, path,
                 [&path](std::string const& text) {
                     return check_settings(path, text, parse_balancer_settings)
                         .common_;
                 },
                 [&process](std::vector<endpoint> const& seeds)
                 { process.set_seeds(seeds); });
             io.run();
         }});
}
