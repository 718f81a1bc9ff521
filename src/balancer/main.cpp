// daisytrail-balancer: picks an agent for each packet that the fabric sends.
#include "balancer/balancer.hpp"
#include "net/log.hpp"

#include <daisytrail/error.hpp>
#include <daisytrail/settings.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

using namespace daisytrail;

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw error(error_kind::not_found, "can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

balancer_settings load_settings(std::string const& path)
{
    auto parsed = parse_balancer_settings(read_file(path));
    if (parsed.errors_.empty())
    {
        return std::move(parsed.value_);
    }
    std::string faults;
    for (auto const& fault : parsed.errors_)
    {
        faults += '\n' + path + ':' + to_string(fault);
    }
    throw error(error_kind::invalid_argument, "settings refused:" + faults);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("daisytrail-balancer: forwards packets to agents");
    std::string settings_path;
    bool check_only = false;
    app.add_option("--settings", settings_path, "settings file")->required();
    app.add_flag("--check-settings", check_only,
                 "check the settings file and exit");
    app.set_version_flag("--version", DAISYTRAIL_VERSION);
    CLI11_PARSE(app, argc, argv);
    try
    {
        auto const settings = load_settings(settings_path);
        if (check_only)
        {
            std::cout << settings_path << ": settings are valid\n";
            return 0;
        }
        start_log("daisytrail-balancer", settings.common_.name_);
        boost::asio::io_context io;
        balancer process(io, settings);
        io.run();
        log_event(log_level::info, "stopped");
        return 0;
    }
    catch (error const& failure)
    {
        std::cerr << failure.what() << '\n';
        return answer_for(failure.kind()).exit_code_;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "internal error: " << failure.what() << '\n';
        return answer_for(error_kind::internal).exit_code_;
    }
}
