// Command line and exit status of the daemons.
#pragma once

#include <functional>
#include <string>

namespace daisytrail
{

// Name, help text and functions of one daemon.
struct daemon_definition
{
    std::string name_;        // such as "daisytrail-agent"
    std::string description_; // first line of --help
    // Reads and checks the settings file. Throws daisytrail::error.
    std::function<void(std::string const& path)> load_;
    // Runs the daemon until its graceful stop is complete. The settings file at
    // `path` may change meanwhile.
    std::function<void(std::string const& path)> run_;
};

// Handles --settings, --check-settings, --version and --help, and runs the
// daemon. Returns the exit status; error_responses defines it for each kind of
// error.
int run_daemon(int argc, char** argv, daemon_definition const& definition);

} // namespace daisytrail
