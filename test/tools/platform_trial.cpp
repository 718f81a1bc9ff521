// Runs the platform's programs as real processes under faults drawn from a
// seed, and checks with simulated callers and backend servers which version of
// the configuration each machine applies:
//   daisytrail-platform-trial --seed 7 --seconds 60 --work DIR --port 26000
// Prints each event and each violated rule; exits with 1 if there is a
// violation.
#include "forward/datagram_port.hpp"
#include "net/periodic_timer.hpp"
#include "platform/packet_header.hpp"
#include "support/config_judge.hpp"
#include "support/platform_fleet.hpp"
#include "support/trial_messages.hpp"
#include "support/trial_timeline.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <array>
#include <csignal>
#include <deque>
#include <iostream>
#include <random>

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace daisytrail;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds probe_interval{20};
constexpr milliseconds heartbeat_interval{400};
constexpr std::array<milliseconds, 2> retransmission_delays{milliseconds(200),
                                                            milliseconds(600)};
constexpr milliseconds probe_lifetime{1'400};
constexpr milliseconds cycle_length{10'000}; // faults, then recovery
constexpr milliseconds calm_change_interval{4'000};

class trial
{
public:
    trial(fleet_plan const& plan, std::uint64_t seed, milliseconds length,
          bool is_calm)
        : fleet_(plan), random_(seed), length_(length), is_calm_(is_calm),
          callers_(io_, fleet_.callers()),
          probes_timer_(io_, probe_interval, [this] { send_probe(); }),
          heartbeats_(io_, heartbeat_interval, [this] { send_heartbeats(); })
    {
    }

    // Returns the number of violations; throws if no probe was checked or
    // accepted.
    std::size_t run()
    {
        start();
        draw_timeline();
        io_.run_for(length_ + probe_lifetime);
        auto const violations = judge_.violations();
        for (auto const& text : violations)
        {
            std::cout << "BROKEN: " << text << '\n';
        }
        std::cout << probe_count_ << " probes, " << accepted_count_
                  << " taken, " << refused_count_ << " refused, "
                  << judge_.judged_probe_count() << " judged, "
                  << violations.size() << " broken\n";
        if (judge_.judged_probe_count() == 0 || accepted_count_ == 0)
        {
            throw error(error_kind::internal,
                        "nothing was taken or judged, so nothing was shown");
        }
        return violations.size();
    }

private:
    struct open_probe
    {
        int machine_ = 0;
        int incarnation_ = 0;
        int route_ = 0;
        std::uint16_t port_ = 0;
        std::deque<time_point> copies_sent_at_; // by copy
        bool is_decided_ = false;
    };

    void start()
    {
        fleet_.start_store();
        for (int i = 1; i <= fleet_.plan().agents_; ++i)
        {
            start_backend(i);
        }
        for (int i = 1; i <= fleet_.plan().balancers_; ++i)
        {
            start_balancer(i);
        }
        callers_.start([this](std::span<std::byte> bytes, endpoint const&)
                       { on_caller_packet(bytes); },
                       [this] { callers_.flush(); });
        probes_timer_.start();
        heartbeats_.start();
    }

    void start_backend(int number)
    {
        auto& port = backends_.emplace_back(io_, fleet_.backend(number));
        port.start(
            [this, number, &port](std::span<std::byte> bytes, endpoint const&)
            { on_backend_packet(number, port, bytes); },
            [&port] { port.flush(); });
        fleet_.start_agent(number);
    }

    void start_balancer(int number)
    {
        ++incarnations_[number];
        fleet_.start_balancer(number);
        judge_.add_fault(number, steady_clock::now(), steady_clock::now());
    }

    // Backend servers.

    void send_heartbeats()
    {
        ++heartbeat_sequence_;
        for (int i = 1; i <= fleet_.plan().agents_; ++i)
        {
            heartbeat value;
            value.service_ = platform_fleet::service(i);
            value.address_ = fleet_.backend(i);
            value.sequence_ = heartbeat_sequence_;
            timeline_.call(fleet_.agent_http(i), http::verb::put,
                           "/api/instances/i-" + std::to_string(i),
                           to_body(value), heartbeat_interval, [](bool) {});
        }
    }

    void on_backend_packet(int agent, datagram_port& port,
                           std::span<std::byte> bytes)
    {
        auto const packet = format_.read(bytes);
        if (!packet || !packet->opens_flow())
        {
            return;
        }
        record_accepted(*packet, platform_fleet::service(agent));
        auto& answer = answers_.emplace_back(make_packet(
            flag_syn | flag_ack, packet->destination_, packet->source_,
            packet->sequence_, packet->sequence_ + 1));
        port.next_head();
        port.add(fleet_.outbound(agent), 0, answer);
        port.flush();
        answers_.clear();
    }

    // Callers.

    void send_probe()
    {
        auto const id = ++probe_count_;
        auto& probe = probes_[id];
        probe.machine_ =
            1 + static_cast<int>(
                    id % static_cast<std::uint32_t>(fleet_.plan().balancers_));
        probe.incarnation_ = incarnations_[probe.machine_];
        probe.route_ = 1 + static_cast<int>(random_() % route_count);
        probe.port_ = static_cast<std::uint16_t>(1'024 + id % 60'000);
        send_copy(id);
        for (auto const after : retransmission_delays)
        {
            timeline_.run_after(after,
                                [this, id]
                                {
                                    if (!probes_.at(id).is_decided_)
                                    {
                                        send_copy(id);
                                    }
                                });
        }
    }

    void send_copy(std::uint32_t id)
    {
        auto& probe = probes_.at(id);
        auto const copy =
            static_cast<std::uint32_t>(probe.copies_sent_at_.size());
        probe.copies_sent_at_.push_back(steady_clock::now());
        send(probe, flag_syn, id, copy);
    }

    void send(open_probe const& probe, std::uint8_t flags,
              std::uint32_t sequence, std::uint32_t acknowledgement)
    {
        auto const bytes =
            make_packet(flags, {fleet_.callers().address_, probe.port_},
                        route_address(probe.route_), sequence, acknowledgement);
        callers_.next_head();
        callers_.add(fleet_.balancer_data(probe.machine_), 0, bytes);
        callers_.flush();
    }

    void on_caller_packet(std::span<std::byte> bytes)
    {
        auto const packet = format_.read(bytes);
        if (!packet)
        {
            return;
        }
        auto const found = std::ranges::find_if(
            probes_, [&](auto const& entry)
            { return entry.second.port_ == packet->destination_.port_; });
        if (found == probes_.end() || found->second.is_decided_)
        {
            return;
        }
        auto& [id, probe] = *found;
        probe.is_decided_ = true;
        if (packet->reset_)
        {
            ++refused_count_;
            judge_.add({probe.machine_, probe.incarnation_, probe.route_,
                        probe.copies_sent_at_.front(), steady_clock::now(),
                        std::nullopt});
            return;
        }
        // The caller resets the flow: a probe needs no open flow.
        send(probe, flag_reset, id + 1, packet->sequence_ + 1);
    }

    void record_accepted(flow_packet const& packet, std::string const& service)
    {
        auto const found = probes_.find(packet.sequence_);
        if (found == probes_.end())
        {
            return;
        }
        auto const& probe = found->second;
        auto const copy = std::min<std::size_t>(
            packet.syn_attempt_, probe.copies_sent_at_.size() - 1);
        ++accepted_count_;
        judge_.add({probe.machine_, probe.incarnation_, probe.route_,
                    probe.copies_sent_at_[copy], steady_clock::now(), service});
    }

    // The operator.

    void change_config()
    {
        version_ += 1 + static_cast<int>(random_() % 4);
        write_config(version_);
    }

    void write_config(int version)
    {
        config_version value{version, draw_routes(version), steady_clock::now(),
                             std::nullopt};
        judge_.add(value);
        command("/operator", to_document(version, value.routes_),
                [this, value](bool done) mutable
                {
                    if (!done)
                    {
                        // Retries, unless a newer version was written since.
                        if (value.number_ == version_)
                        {
                            timeline_.run_after(
                                milliseconds(300),
                                [this, value] { write_config(value.number_); });
                        }
                        return;
                    }
                    value.acknowledged_at_ = steady_clock::now();
                    judge_.add(value);
                    log_line("version " + std::to_string(value.number_));
                });
    }

    void command(std::string const& path, std::string const& body,
                 std::function<void(bool done)> on_end)
    {
        timeline_.call(fleet_.store_commands(), http::verb::post, path, body,
                       milliseconds(1'000), std::move(on_end));
    }

    // Faults.

    void inject_store_fault(json::object const& body)
    {
        command("/fault", json::serialize(body), [](bool) {});
    }

    // Injects a fault of the store and ends it after `time`.
    void inject_store_fault(json::object body, json::object const& end,
                            milliseconds time)
    {
        auto const now = steady_clock::now();
        if (random_() % 3 == 0)
        {
            // The fault affects some of the balancers only.
            json::array ports;
            for (int i = 1; i <= fleet_.plan().balancers_; ++i)
            {
                if (random_() % 2 == 0)
                {
                    ports.push_back(fleet_.store_address(i).port_);
                    judge_.add_fault(i, now, now + time);
                }
            }
            body["ports"] = ports;
        }
        else
        {
            judge_.add_fault(config_judge::all_machines, now, now + time);
        }
        inject_store_fault(body);
        timeline_.run_after(time, [this, end] { inject_store_fault(end); });
    }

    void change_mode(milliseconds time)
    {
        static constexpr std::array modes{"silent", "busy", "many", "reset"};
        std::string const mode = modes[random_() % modes.size()];
        log_line("store " + mode + " for " + std::to_string(time.count()) +
                 " ms");
        inject_store_fault({{"mode", mode}}, {{"mode", "serve"}}, time);
    }

    void slow_down(milliseconds time)
    {
        auto const slow_ms = 50 + random_() % 400;
        log_line("store slow by " + std::to_string(slow_ms) + " ms for " +
                 std::to_string(time.count()) + " ms");
        inject_store_fault({{"slow_ms", slow_ms}}, {{"slow_ms", 0}}, time);
    }

    void lose_answers(milliseconds time)
    {
        log_line("store loses answers for " + std::to_string(time.count()) +
                 " ms");
        inject_store_fault({{"lose_share", 0.4}}, {{"lose_share", 0.0}}, time);
    }

    void silence_connections(milliseconds)
    {
        log_line("open connections to the store fall silent");
        auto const now = steady_clock::now();
        judge_.add_fault(config_judge::all_machines, now, now);
        inject_store_fault({{"silence_connections", true}});
    }

    void drop_history(milliseconds)
    {
        log_line("the store drops its history");
        auto const now = steady_clock::now();
        judge_.add_fault(config_judge::all_machines, now, now);
        inject_store_fault({{"drop_history", true}});
    }

    void pause_store(milliseconds time)
    {
        log_line("store paused for " + std::to_string(time.count()) + " ms");
        auto const now = steady_clock::now();
        judge_.add_fault(config_judge::all_machines, now, now + time);
        fleet_.store().signal(SIGSTOP);
        timeline_.run_after(time, [this] { fleet_.store().signal(SIGCONT); });
    }

    int draw_balancer()
    {
        return 1 + static_cast<int>(random_() % static_cast<std::uint64_t>(
                                                    fleet_.plan().balancers_));
    }

    void pause_balancer(milliseconds time)
    {
        auto const number = draw_balancer();
        if (!is_up_[number])
        {
            return;
        }
        log_line("balancer-" + std::to_string(number) + " paused for " +
                 std::to_string(time.count()) + " ms");
        auto const now = steady_clock::now();
        judge_.add_fault(number, now, now + time);
        fleet_.balancer(number).signal(SIGSTOP);
        timeline_.run_after(time, [this, number]
                            { fleet_.balancer(number).signal(SIGCONT); });
    }

    void restart(int number, int signal, milliseconds pause)
    {
        if (!std::exchange(is_up_[number], false))
        {
            return;
        }
        log_line("balancer-" + std::to_string(number) + " gets signal " +
                 std::to_string(signal));
        fleet_.balancer(number).signal(SIGCONT);
        fleet_.balancer(number).signal(signal);
        auto const now = steady_clock::now();
        judge_.add_fault(number, now, now + pause + milliseconds(2'000));
        timeline_.when_ended(fleet_.balancer(number), pause,
                             [this, number]
                             {
                                 is_up_[number] = true;
                                 start_balancer(number);
                             });
    }

    void kill_balancer(milliseconds)
    {
        restart(draw_balancer(), SIGKILL, milliseconds(300));
    }

    void stop_balancer(milliseconds)
    {
        restart(draw_balancer(), SIGTERM, milliseconds(300));
    }

    void kill_all(milliseconds)
    {
        for (int i = 1; i <= fleet_.plan().balancers_; ++i)
        {
            restart(i, SIGKILL, milliseconds(300));
        }
    }

    void reload_balancer(milliseconds)
    {
        auto const number = draw_balancer();
        log_line("balancer-" + std::to_string(number) + " gets SIGHUP");
        fleet_.balancer(number).signal(SIGHUP);
    }

    void draw_fault()
    {
        using fault = void (trial::*)(milliseconds);
        static constexpr std::array<fault, 14> faults{
            &trial::silence_connections,
            &trial::silence_connections,
            &trial::change_mode,
            &trial::change_mode,
            &trial::change_mode,
            &trial::slow_down,
            &trial::lose_answers,
            &trial::drop_history,
            &trial::pause_store,
            &trial::pause_balancer,
            &trial::kill_balancer,
            &trial::stop_balancer,
            &trial::kill_all,
            &trial::reload_balancer};
        milliseconds const time(200 + random_() % 4'000);
        (this->*faults[random_() % faults.size()])(time);
    }

    // Schedules configuration changes without faults.
    void draw_calm_timeline()
    {
        for (milliseconds at(5'000); at < length_; at += calm_change_interval)
        {
            timeline_.run_after(at, [this] { change_config(); });
        }
    }

    // Schedules up to three faults at the beginning of each cycle, and
    // configuration changes at any time in it.
    void draw_timeline()
    {
        for (int i = 1; i <= fleet_.plan().balancers_; ++i)
        {
            is_up_[i] = true;
        }
        timeline_.run_after(milliseconds(300), [this] { change_config(); });
        if (is_calm_)
        {
            draw_calm_timeline();
            return;
        }
        for (milliseconds at(5'000); at + cycle_length <= length_;
             at += cycle_length)
        {
            auto const faults = 1 + random_() % 3;
            for (std::uint64_t i = 0; i < faults; ++i)
            {
                timeline_.run_after(at + milliseconds(random_() % 1'500),
                                    [this] { draw_fault(); });
            }
            auto const changes = 1 + random_() % 4;
            for (std::uint64_t i = 0; i < changes; ++i)
            {
                timeline_.run_after(
                    at + milliseconds(random_() % cycle_length.count()),
                    [this] { change_config(); });
            }
        }
    }

    asio::io_context io_;
    trial_timeline timeline_{io_};
    platform_fleet fleet_;
    std::mt19937_64 random_;
    milliseconds length_;
    bool is_calm_; // no faults are injected
    platform::packet_header format_;
    datagram_port callers_;
    std::deque<datagram_port> backends_;
    std::deque<packet_bytes> answers_; // until they are sent
    periodic_timer probes_timer_;
    periodic_timer heartbeats_;
    config_judge judge_;
    std::map<std::uint32_t, open_probe> probes_;
    std::map<int, int> incarnations_;
    std::map<int, bool> is_up_;
    std::uint64_t heartbeat_sequence_ = 0;
    std::uint32_t probe_count_ = 0;
    std::uint64_t accepted_count_ = 0;
    std::uint64_t refused_count_ = 0;
    int version_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Real processes of the platform under faults from a seed");
    fleet_plan plan;
    std::uint64_t seed = 1;
    unsigned seconds = 60;
    app.add_option("--seed", seed, "of the timeline");
    app.add_option("--seconds", seconds, "length");
    app.add_option("--programs", plan.programs_, "folder of the programs")
        ->required();
    app.add_option("--work", plan.work_, "folder for settings and logs")
        ->required();
    app.add_option("--port", plan.first_port_,
                   "first of 6 ports a process, and a few more");
    app.add_option("--balancers", plan.balancers_, "number of balancers");
    app.add_option("--agents", plan.agents_, "number of agents");
    app.add_option("--watchers", plan.store_watchers_,
                   "balancers that read the store");
    bool is_calm = false;
    app.add_flag("--calm", is_calm, "changes without faults");
    CLI11_PARSE(app, argc, argv);
    try
    {
        trial run(plan, seed, std::chrono::seconds(seconds), is_calm);
        return run.run() == 0 ? 0 : 1;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "platform-trial: " << failure.what() << '\n';
        return 2;
    }
}
