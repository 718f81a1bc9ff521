// Command line options of the stand-in backend server.
#pragma once

#include <CLI/CLI.hpp>

#include <cstdint>
#include <string>

namespace daisytrail
{

struct backend_options
{
    std::string listen_;
    std::string agent_;
    std::string name_ = "backend";
    std::string service_ = "service";
    std::string ledger_file_; // kept when the process is killed
    std::uint32_t slots_ = 4;
    std::uint32_t max_connections_ = 2'000;
    std::uint32_t max_queued_ = 64;
    double speed_ = 1.0; // 2 halves the service time
    double work_ms_ = 5.0;
    std::uint64_t seed_ = 1;

    void add_to(CLI::App& app)
    {
        app.add_option("--listen", listen_, "address and port")->required();
        app.add_option("--agent", agent_, "HTTP endpoint of its agent");
        app.add_option("--name", name_);
        app.add_option("--service", service_);
        app.add_option("--ledger", ledger_file_, "append orders here");
        app.add_option("--slots", slots_);
        app.add_option("--connections", max_connections_);
        app.add_option("--queue", max_queued_, "shed above this many waiting");
        app.add_option("--speed", speed_, "2 is twice as fast");
        app.add_option("--work-ms", work_ms_, "default service time");
        app.add_option("--seed", seed_);
    }
};

} // namespace daisytrail
