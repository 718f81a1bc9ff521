// Measures the control plane with real processes: bytes, processor time,
// memory and store calls at 25 to 200 processes, and the time until a change,
// a join and a death are known. Figures with loss: measure/membership.cpp.
#include "net/http_call.hpp"
#include "store/etcd_store.hpp"
#include "support/measure_report.hpp"
#include "support/process_usage.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace daisytrail;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::uint16_t port_base = 23'100;
constexpr std::uint16_t store_port = 23'099;
constexpr auto window = seconds(12);
constexpr auto settle_time = seconds(8);
constexpr int changes = 5;
constexpr ipv4 loopback = 0x7F000001;
constexpr char const* key =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

struct running
{
    pid_t pid_ = 0;
    endpoint http_;
    bool balancer_ = false;
    std::string name_;
};

std::filesystem::path bin_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

pid_t start_program(std::string const& program,
                    std::vector<std::string> arguments)
{
    auto path = (bin_folder() / program).string();
    std::vector<char*> words{path.data()};
    for (auto& argument : arguments)
    {
        words.push_back(argument.data());
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, "/dev/null",
                                     O_WRONLY, 0);
    pid_t pid = 0;
    if (posix_spawn(&pid, path.c_str(), &files, nullptr, words.data(),
                    environ) != 0)
    {
        throw error(error_kind::unavailable, "can't start " + path);
    }
    posix_spawn_file_actions_destroy(&files);
    return pid;
}

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Runs one fleet and ends it with its life.
class real_fleet
{
public:
    real_fleet()
        : folder_(std::filesystem::temp_directory_path() /
                  ("measure-control-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder_);
        store_pid_ =
            start_program("stand-in-store", {"--listen", address(store_port)});
        std::this_thread::sleep_for(seconds(1));
        store_ = std::make_unique<etcd_store>(
            io_, std::vector<endpoint>{{loopback, store_port}});
    }

    ~real_fleet()
    {
        for (auto const& each : processes_)
        {
            kill(each.pid_, SIGKILL);
            waitpid(each.pid_, nullptr, 0);
        }
        kill(store_pid_, SIGKILL);
        waitpid(store_pid_, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }

    real_fleet(real_fleet const&) = delete;
    real_fleet& operator=(real_fleet const&) = delete;

    void add(bool balancer)
    {
        int const port = port_base + 4 * static_cast<int>(processes_.size());
        auto const name = (balancer ? "b" : "t") + std::to_string(port);
        json::object settings{
            {"name", name},
            {"failure_domain", "lafrenz"},
            {"control", address(port)},
            {"http", address(port + 1)},
            {"seeds", json::array{address(port_base), address(port_base + 4),
                                  address(port_base + 8)}},
            {"keys", json::array{key}}};
        if (balancer)
        {
            settings["data"] = address(port + 2);
            settings["stores"] = json::array{address(store_port)};
        }
        else
        {
            settings["organisation"] = "hamutenya";
            // Services of about seven targets, as today.
            settings["service"] = "s" + std::to_string(processes_.size() / 7);
            settings["tunnel"] = address(port + 2);
            settings["rpc"] = address(port + 3);
            settings["fabric"] = json::array{address(store_port)};
        }
        auto const file = folder_ / (name + ".json");
        std::ofstream(file) << json::serialize(settings);
        auto const pid =
            start_program(balancer ? "daisytrail-balancer" : "daisytrail-agent",
                          {"--settings", file.string()});
        processes_.push_back({pid,
                              {loopback, static_cast<std::uint16_t>(port + 1)},
                              balancer,
                              name});
    }

    // Bodies of the page from every process, empty where it failed.
    std::vector<std::string> pages(std::string const& path, bool balancers_only)
    {
        std::vector<std::string> bodies(processes_.size());
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            if (balancers_only && !processes_[i].balancer_)
            {
                continue;
            }
            http_request request{boost::beast::http::verb::get, path, 11};
            async_http_call(io_, processes_[i].http_, request, seconds(3),
                            [&bodies, i](http_outcome const& outcome)
                            {
                                if (!outcome.error_)
                                {
                                    bodies[i] = outcome.response_.body();
                                }
                            });
        }
        io_.restart();
        io_.run();
        return bodies;
    }

    json::value store_stats()
    {
        std::string body;
        http_request request{boost::beast::http::verb::get, "/stats", 11};
        async_http_call(io_, {loopback, store_port}, request, seconds(3),
                        [&body](http_outcome const& outcome)
                        { body = outcome.response_.body(); });
        io_.restart();
        io_.run();
        return json::parse(body);
    }

    // Writes a template and returns its revision.
    revision write_template(int number)
    {
        auto const text =
            R"({"name":"hamutenya","services":[{"name":"depot-orders",)"
            R"("vips":["203.0.113.10:80"],"mode":"stream","limits":)"
            R"({"connections":)" +
            std::to_string(1'000 + number) + "}}]}";
        json::object const value{{"change_id", std::to_string(number)},
                                 {"who", "measure"},
                                 {"when", "2026-12-04T00:00:00Z"},
                                 {"template", text}};
        revision at = 0;
        store_->swap({},
                     {{std::string(template_prefix) + "hamutenya",
                       json::serialize(value), false, 0}},
                     [&at](store_answer const& answer)
                     { at = answer.revision_; });
        io_.restart();
        io_.run();
        return at;
    }

    std::vector<running>& processes()
    {
        return processes_;
    }

private:
    boost::asio::io_context io_;
    std::filesystem::path folder_;
    pid_t store_pid_ = 0;
    std::unique_ptr<etcd_store> store_;
    std::vector<running> processes_;
};

double metric(std::string const& page, std::string const& name)
{
    auto const at = page.find('\n' + name + ' ');
    return at == std::string::npos
               ? 0
               : std::strtod(page.c_str() + at + name.size() + 2, nullptr);
}

std::size_t count_state(std::string const& members, std::string const& name,
                        std::string const& states)
{
    auto const at = members.find("{\"name\":\"" + name + "\"");
    if (at == std::string::npos)
    {
        return 0;
    }
    auto const end = members.find('}', at);
    auto const entry = members.substr(at, end - at);
    auto const state = entry.find("\"state\":\"");
    auto const word =
        entry.substr(state + 9, entry.find('"', state + 9) - state - 9);
    return states.find(word) != std::string::npos ? 1 : 0;
}

// Seconds until every balancer shows the member in one of the states.
double time_until_seen(real_fleet& fleet, std::string const& name,
                       std::string const& states)
{
    auto const start = steady_clock::now();
    std::chrono::duration<double> passed{};
    while (passed < seconds(20))
    {
        auto const bodies = fleet.pages("/members", true);
        passed = steady_clock::now() - start;
        bool all = true;
        for (std::size_t i = 0; i < bodies.size(); ++i)
        {
            all = all && (!fleet.processes()[i].balancer_ ||
                          count_state(bodies[i], name, states) == 1);
        }
        if (all)
        {
            return passed.count();
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return -1;
}

// Seconds from acceptance until each process adopted the revision; a process
// that has not is reported as 60 s.
std::vector<double> adoption_times(real_fleet& fleet, revision at,
                                   std::int64_t accepted_ms)
{
    std::vector<double> times;
    for (auto const& body : fleet.pages("/adopted", false))
    {
        double time = 60;
        if (!body.empty())
        {
            auto const record = json::parse(body);
            for (auto const& line : record.at("records").as_array())
            {
                if (line.at("version").to_number<template_version>() == at)
                {
                    time = static_cast<double>(
                               line.at("at_ms").to_number<std::int64_t>() -
                               accepted_ms) /
                           1e3;
                }
            }
        }
        times.push_back(time);
    }
    return times;
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct idle_cost
{
    double sent_ = 0;     // bytes a second
    double received_ = 0; // bytes a second
    double core_ = 0;     // per cent of a core
    double memory_ = 0;   // MB
};

// Idle cost of one role: the mean over its processes.
std::pair<idle_cost, idle_cost> measure_idle(real_fleet& fleet)
{
    auto const before = fleet.pages("/metrics", false);
    std::vector<double> cpu;
    for (auto const& each : fleet.processes())
    {
        cpu.push_back(read_usage(each.pid_).processor_seconds_);
    }
    std::this_thread::sleep_for(window);
    auto const after = fleet.pages("/metrics", false);
    constexpr double length = std::chrono::duration<double>(window).count();
    idle_cost sums[2];
    double counts[2] = {0, 0};
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        auto const& each = fleet.processes()[i];
        auto const usage = read_usage(each.pid_);
        auto& sum = sums[each.balancer_ ? 0 : 1];
        counts[each.balancer_ ? 0 : 1] += 1;
        auto const grown = [&](char const* name)
        {
            return metric(after[i], name) - metric(before[i], name);
        };
        sum.sent_ += grown("daisytrail_control_sent_bytes_total") / length;
        sum.received_ +=
            grown("daisytrail_control_received_bytes_total") / length;
        sum.core_ += (usage.processor_seconds_ - cpu[i]) / length * 100;
        sum.memory_ += usage.resident_megabytes_;
    }
    for (int role = 0; role < 2; ++role)
    {
        sums[role].sent_ /= counts[role];
        sums[role].received_ /= counts[role];
        sums[role].core_ /= counts[role];
        sums[role].memory_ /= counts[role];
    }
    return {sums[0], sums[1]};
}

std::int64_t total_calls(json::value const& stats)
{
    std::int64_t sum = 0;
    for (auto const& [path, count] : stats.at("calls").as_object())
    {
        sum += count.to_number<std::int64_t>();
    }
    return sum;
}

void report_role(measure_report& report, std::string const& role,
                 idle_cost const& cost)
{
    report.at_most(role + ": sent", cost.sent_, "B/s", 9'000);
    report.add(role + ": received", cost.received_, "B/s");
    report.at_most(role + ": processor", cost.core_, "% of a core", 2.9);
    report.at_most(role + ": memory", cost.memory_, "MB", 256);
}

void measure_size(int size)
{
    measure_report report("control plane, " + std::to_string(size) +
                          " processes (a fifth of them balancers)");
    real_fleet fleet;
    for (int i = 0; i < size; ++i)
    {
        fleet.add(i < size / 5);
    }
    auto const formed = time_until_seen(fleet, fleet.processes().back().name_,
                                        "joining ready draining");
    report.add("start until the last target is known", formed, "s");
    std::this_thread::sleep_for(settle_time);
    auto const calls = total_calls(fleet.store_stats());
    auto const [balancer, agent] = measure_idle(fleet);
    auto const minute =
        static_cast<double>(total_calls(fleet.store_stats()) - calls) * 60 /
        std::chrono::duration<double>(window).count();
    report_role(report, "balancer", balancer);
    report_role(report, "agent", agent);
    report.add("store calls", minute, "a minute");
    std::vector<double> times;
    for (int i = 0; i < changes; ++i)
    {
        auto const at = fleet.write_template(i);
        auto const accepted = wall_ms();
        std::this_thread::sleep_for(seconds(3));
        auto const some = adoption_times(fleet, at, accepted);
        times.insert(times.end(), some.begin(), some.end());
    }
    std::ranges::sort(times);
    report.add("change in force, median", times[times.size() / 2], "s");
    report.at_most("change in force, worst", times.back(), "s", 12);
    fleet.add(false);
    auto const& late = fleet.processes().back();
    report.add("join known to all",
               time_until_seen(fleet, late.name_, "joining ready draining"),
               "s");
    kill(late.pid_, SIGKILL);
    report.at_most("death known to all",
                   time_until_seen(fleet, late.name_, "dead"), "s", 5);
    std::cout << report.text() << std::flush;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        std::vector<int> sizes;
        for (int i = 1; i < argc; ++i)
        {
            sizes.push_back(std::atoi(argv[i]));
        }
        if (sizes.empty())
        {
            sizes = {25, 50, 100, 200};
        }
        for (auto const size : sizes)
        {
            measure_size(size);
        }
    }
    catch (std::exception const& failure)
    {
        std::cerr << "measure-control: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
