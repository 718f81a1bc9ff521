// Parses a daemon's command line, runs the daemon and sets its exit status.
#include "net/daemon.hpp"

#include "net/log.hpp"
#include "net/settings_follower.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

namespace daisytrail
{

int run_daemon(int argc, char** argv, daemon_definition const& definition)
{
    CLI::App app(definition.description_, definition.name_);
    std::string settings_path;
    bool check_only = false;
    app.add_option("--settings", settings_path,
                   "settings file: JSON with comments")
        ->required();
    app.add_flag("--check-settings", check_only,
                 "check the settings file and exit");
    app.set_version_flag("--version", DAISYTRAIL_VERSION);
    CLI11_PARSE(app, argc, argv);
    ignore_early_reload_signal();
    try
    {
        definition.load_(settings_path);
        if (check_only)
        {
            std::cout << settings_path << ": settings are valid\n";
            return 0;
        }
        definition.run_(settings_path);
        log_event(log_level::info, "stopped");
        return 0;
    }
    catch (error const& failure)
    {
        std::cerr << failure.what() << '\n';
        return response_for(failure.kind()).exit_code_;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "internal error: " << failure.what() << '\n';
        return response_for(error_kind::internal).exit_code_;
    }
}

} // namespace daisytrail
