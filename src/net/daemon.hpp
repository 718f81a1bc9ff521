// Command line and exit status that both daemons share.
#pragma once

#include <functional>
#include <string>

namespace daisytrail
{

// What tells one daemon from the other.
struct daemon_definition
{
    std::string name_;        // "daisytrail-agent"
    std::string description_; // first line of --help
    // Reads and checks the settings file; throws daisytrail::error.
    std::function<void(std::string const& path)> load_;
    // Runs until the graceful stop has ended.
    std::function<void()> run_;
};

// Handles --settings, --check-settings, --version and --help; returns the exit
// status, after a failure that of error_responses.
int run_daemon(int argc, char** argv, daemon_definition const& definition);

} // namespace daisytrail
