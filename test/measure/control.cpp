// Measures the control plane with real processes: bytes, processor time,
// memory and store calls at 25 to 200 processes, and the time until a change,
// a join and a death are known. The figures with loss come from the cores on
// virtual time, since the processes' own sockets lose nothing on loopback.
#include "net/http_call.hpp"
#include "rpc/authenticator.hpp"
#include "rpc/control_messages.hpp"
#include "store/etcd_store.hpp"
#include "support/control_fleet.hpp"
#include "support/measure_report.hpp"

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
#include <sstream>
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

// Seconds of processor time and megabytes of resident memory.
std::pair<double, double> usage(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string const text(std::istreambuf_iterator<char>(in), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> words{std::istream_iterator<std::string>(fields),
                                   {}};
    auto const ticks = std::stod(words.at(11)) + std::stod(words.at(12));
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
            std::stod(words.at(21)) *
                static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6};
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
                if (line.at("revision").to_number<revision>() == at)
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
        cpu.push_back(usage(each.pid_).first);
    }
    std::this_thread::sleep_for(window);
    auto const after = fleet.pages("/metrics", false);
    constexpr double length = std::chrono::duration<double>(window).count();
    idle_cost sums[2];
    double counts[2] = {0, 0};
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        auto const& each = fleet.processes()[i];
        auto const [used, memory] = usage(each.pid_);
        auto& sum = sums[each.balancer_ ? 0 : 1];
        counts[each.balancer_ ? 0 : 1] += 1;
        auto const grown = [&](char const* name)
        {
            return metric(after[i], name) - metric(before[i], name);
        };
        sum.sent_ += grown("daisytrail_control_sent_bytes_total") / length;
        sum.received_ +=
            grown("daisytrail_control_received_bytes_total") / length;
        sum.core_ += (used - cpu[i]) / length * 100;
        sum.memory_ += memory;
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

// The same events in the cores on virtual time, 5% of all datagrams lost.
void measure_loss(int size)
{
    constexpr int seeds = 10;
    std::vector<double> change;
    std::vector<double> join;
    std::vector<double> death;
    auto const in_seconds = [](duration time)
    {
        return std::chrono::duration<double>(time).count();
    };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        test::control_fleet fleet(seed, 0.05);
        test::fill(fleet, size / 5, size - size / 5);
        fleet.offer(fleet.at("b0"), 2, std::string(3'000, 'x'));
        change.push_back(in_seconds(fleet.run_until(
            [&]
            {
                return fleet.all_of([](test::process& each)
                                    { return each.templates_["org"] == 2; });
            },
            seconds(60))));
        fleet.add_agent("late", 7);
        join.push_back(in_seconds(fleet.run_until(
            [&] { return fleet.all_see("late", member_state::ready); },
            seconds(60))));
        fleet.run_for(seconds(3));
        fleet.at("late").alive_ = false;
        death.push_back(in_seconds(fleet.run_until(
            [&] { return fleet.all_see("late", member_state::dead); },
            seconds(60))));
    }
    measure_report report("cores on virtual time, 5% loss, " +
                          std::to_string(size) + " processes, seeds 1 to 10");
    for (auto* values : {&change, &join, &death})
    {
        std::ranges::sort(*values);
    }
    report.add("change of 3 kB in force, median", change[seeds / 2], "s");
    report.at_most("change of 3 kB in force, worst", change.back(), "s", 12);
    report.add("join known to all, worst", join.back(), "s");
    report.at_most("death known to all, worst", death.back(), "s", 5);
    std::cout << report.text() << std::flush;
}

std::size_t datagram_bytes(control_message const& message)
{
    constexpr std::size_t headers = 28;
    return encode_control(message).size() + seal_bytes + headers;
}

// What an agent receives for one change of a template and one of a record when
// its interests are its organisation, service and failure domain.
void measure_categories()
{
    measure_report report("bytes to one agent, by scheme of delivery");
    constexpr double changes_a_day = 30'000;
    constexpr double organisations = 1'000;
    constexpr double day = 86'400;
    item const one{item_kind::organisation, 1, {41, 0}, member_state::ready};
    auto const notice = datagram_bytes(digest_message{0, {one}, false});
    std::string body(1'000, '\0');
    std::mt19937 random(1);
    std::ranges::generate(body, [&] { return static_cast<char>(random()); });
    auto const chunk =
        datagram_bytes(template_chunk{"hamutenya", 41, 0, 3, body});
    auto const request = datagram_bytes(template_request{1, 41, 1});
    auto const transfer = static_cast<double>(3 * (chunk + request));
    // One identifier a category: a change in three of them is told thrice.
    auto const listed =
        datagram_bytes(digest_message{0, {one, one, one}, false});
    report.add("notice of a change", static_cast<double>(notice), "B");
    report.add("template of 3 kB, transferred", transfer, "B");
    report.add("all templates to every process",
               changes_a_day / day * (transfer + 3.0 * double(notice)), "B/s");
    report.add("only its organisation's (chosen)",
               changes_a_day / day / organisations *
                   (transfer + 3.0 * double(notice)),
               "B/s");
    report.add("three overlapping categories, a notice each",
               3.0 * static_cast<double>(notice), "B a change");
    report.add("the same as one list of categories",
               static_cast<double>(listed), "B a change");
    std::cout << report.text() << std::flush;
}

void measure_table()
{
    measure_report report("membership table of the large fleet");
    constexpr int balancers = 18'000;
    constexpr int targets = 95'000;
    auto const memory = usage(getpid()).second;
    member_table table;
    auto const start = steady_clock::now();
    for (int i = 0; i < balancers + targets; ++i)
    {
        auto record = test::make_member(
            "member-" + std::to_string(i),
            i < balancers ? balancer_service : static_cast<service_id>(i / 2),
            static_cast<std::uint16_t>(i));
        record.failure_domain_ = "lafrenz";
        table.merge(record, time_point{});
    }
    std::chrono::duration<double> const built = steady_clock::now() - start;
    report.add("building it", built.count(), "s");
    report.at_most("memory", usage(getpid()).second - memory, "MB", 256);
    constexpr int rounds = 100'000;
    auto const look = steady_clock::now();
    std::size_t sum = 0;
    for (std::uint64_t i = 0; i < rounds; ++i)
    {
        sum += table.observers(i * 0x9E3779B97F4A7C15ULL, 3).size();
    }
    std::chrono::duration<double> const looked = steady_clock::now() - look;
    report.add("observers of one target", looked.count() / rounds * 1e6, "us");
    report.add("observers found", static_cast<double>(sum) / rounds, "");
    std::map<std::uint64_t, int> load;
    for (auto const& [id, entry] : table.all())
    {
        if (entry.record_.service_ != balancer_service)
        {
            for (auto const balancer : table.observers(id, 3))
            {
                ++load[balancer];
            }
        }
    }
    int most = 0;
    for (auto const& [id, count] : load)
    {
        most = std::max(most, count);
    }
    report.add("targets that a balancer observes, mean",
               3.0 * targets / balancers, "");
    report.add("targets that a balancer observes, most", most, "");
    record_version version{2, 0};
    auto const change = steady_clock::now();
    constexpr int changed = 10'000;
    for (int i = 0; i < changed; ++i)
    {
        auto record =
            test::make_member("member-" + std::to_string(balancers + i),
                              static_cast<service_id>((balancers + i) / 2), 1);
        record.version_ = version;
        table.merge(record, time_point{});
    }
    std::chrono::duration<double> const took = steady_clock::now() - change;
    report.add("one change of a target", took.count() / changed * 1e6, "us");
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
        measure_table();
        measure_categories();
        for (auto const size : sizes)
        {
            measure_size(size);
        }
        for (auto const size : sizes)
        {
            measure_loss(size);
        }
    }
    catch (std::exception const& failure)
    {
        std::cerr << "measure-control: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
