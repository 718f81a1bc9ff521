// Runs the platform's programs as real processes through restarts, joins,
// drains and pauses drawn from a seed, and checks with simulated callers and
// backend servers that open flows stay with their own backend server:
//   daisytrail-flow-trial --seed 7 --seconds 24 --work DIR --port 28000
// Prints each event and each violated rule; exits with 1 if there is a
// violation.
#include "forward/datagram_port.hpp"
#include "net/periodic_timer.hpp"
#include "platform/packet_header.hpp"
#include "support/flow_ends.hpp"
#include "support/flow_judge.hpp"
#include "support/platform_fleet.hpp"
#include "support/trial_rotation.hpp"
#include "support/trial_timeline.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace
{

using namespace daisytrail;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using verb = boost::beast::http::verb;

constexpr milliseconds step_interval{20};
constexpr milliseconds heartbeat_interval{500};
constexpr int backend_slots = 64;

constexpr milliseconds callers_start{2'500};
constexpr milliseconds callers_ramp_duration{
    1'500}; // until half of the flows are open
constexpr milliseconds disruption_start{5'000}; // disruption begins ...
constexpr milliseconds disruption_margin{
    3'000}; // ... and ends before the trial
constexpr milliseconds drain_duration{2'000};
constexpr milliseconds slow_start_duration{
    4'000}; // late SYN+ACKs of a new server

class trial
{
public:
    trial(fleet_plan const& plan, std::uint64_t seed, milliseconds length,
          std::size_t flows)
        : fleet_(plan), random_(seed), length_(length),
          target_flow_count_(flows), callers_(io_, fleet_.callers()),
          steps_(io_, step_interval, [this] { step(); }),
          heartbeats_(io_, heartbeat_interval, [this] { send_heartbeats(); })
    {
    }

    // Returns the number of violations; throws if no flow was checked.
    std::size_t run()
    {
        start();
        draw_timeline();
        io_.run_for(length_);
        for (auto const& text : judge_.violations())
        {
            std::cout << "BROKEN: " << text << '\n';
        }
        report();
        if (judge_.judged_flow_count() == 0)
        {
            throw error(error_kind::internal,
                        "no flow was open, so nothing was shown");
        }
        return judge_.violations().size();
    }

private:
    struct backend
    {
        backend(boost::asio::io_context& io, int number, endpoint const& local)
            : flows_(number), port_(io, local)
        {
        }

        flow_backend flows_;
        datagram_port port_;
        heartbeat heartbeat_;
        bool is_up_ = true;                  // its agent
        bool has_ended_ = false;             // with its agent
        milliseconds handshake_delay_{0};    // of its SYN+ACKs ...
        time_point handshake_delay_until_{}; // ... up to here
    };

    void start()
    {
        fleet_.start_store();
        for (int i = 1; i <= fleet_.plan().agents_; ++i)
        {
            start_backend();
        }
        for (int i = 1; i <= fleet_.plan().balancers_; ++i)
        {
            start_balancer(i);
        }
        callers_.start([this](std::span<std::byte> bytes, endpoint const&)
                       { on_caller_packet(bytes); },
                       [this] { callers_.flush(); });
        timeline_.run_after(milliseconds(500), [this] { write_config(); });
        heartbeats_.start();
        rotation_.start();
        steps_.start();
    }

    void start_balancer(int number)
    {
        fleet_.start_balancer(number);
        is_balancer_up_[number] = true;
    }

    int start_backend()
    {
        auto const number = static_cast<int>(backends_.size()) + 1;
        auto const local = fleet_.backend(number);
        auto& value = *backends_.emplace_back(
            std::make_unique<backend>(io_, number, local));
        value.heartbeat_.service_ = platform_fleet::service(number);
        value.heartbeat_.address_ = local;
        value.heartbeat_.slots_ = backend_slots;
        value.heartbeat_.sequence_ = 0;
        value.port_.start(
            [this, number](std::span<std::byte> bytes, endpoint const&)
            { on_backend_packet(number, bytes); },
            [&value] { value.port_.flush(); });
        fleet_.start_agent(number);
        return number;
    }

    void write_config()
    {
        route_services routes;
        for (int route = 1; route <= route_count; ++route)
        {
            routes[route] = {platform_fleet::service(route)};
        }
        timeline_.call(fleet_.store_commands(), verb::post, "/operator",
                       to_document(1, routes), milliseconds(1'000),
                       [this](bool done)
                       {
                           if (!done)
                           {
                               timeline_.run_after(milliseconds(100),
                                                   [this] { write_config(); });
                           }
                       });
    }

    // Backend servers.

    backend& at(int number)
    {
        return *backends_[static_cast<std::size_t>(number) - 1];
    }

    void send_heartbeats()
    {
        check_processes();
        for (int i = 1; i <= static_cast<int>(backends_.size()); ++i)
        {
            if (!at(i).has_ended_)
            {
                send_heartbeat(i);
            }
        }
    }

    void send_heartbeat(int number)
    {
        auto& value = at(number).heartbeat_;
        ++value.sequence_;
        timeline_.call(fleet_.agent_http(number), verb::put,
                       "/api/instances/i-" + std::to_string(number),
                       to_body(value), heartbeat_interval, [](bool) {});
    }

    void on_backend_packet(int number, std::span<std::byte const> bytes)
    {
        auto const packet = format_.read(bytes);
        if (!packet)
        {
            return;
        }
        auto& value = at(number);
        auto const flow = packet->source_.port_;
        auto const now = steady_clock::now();
        if (!packet->opens_flow())
        {
            judge_.on_delivered(flow, number, now);
        }
        auto const outcome = value.flows_.on_packet(bytes, *packet, now);
        if (outcome.has_opened_)
        {
            judge_.on_open(flow, number, now);
        }
        for (auto const& answer : outcome.answers_)
        {
            if (!outcome.is_handshake_ || now >= value.handshake_delay_until_)
            {
                send_from_backend(number, answer);
                continue;
            }
            timeline_.run_after(value.handshake_delay_, [this, number, answer]
                                { send_from_backend(number, answer); });
        }
    }

    void send_from_backend(int number, packet_bytes const& bytes)
    {
        auto& value = at(number);
        if (!value.has_ended_)
        {
            value.port_.next_head();
            value.port_.add(fleet_.outbound(number), 0, bytes);
            value.port_.flush();
        }
    }

    // Callers.

    void step()
    {
        auto const now = steady_clock::now();
        auto const before = std::exchange(last_step_at_, now);
        if (now < started_at_ + callers_start)
        {
            return;
        }
        longest_step_ = std::max(longest_step_, now - before);
        // Half of the flows open before the disruption begins, the others
        // during the rest of the trial.
        auto const elapsed_share = [&](milliseconds time)
        {
            return std::min(1.0, std::chrono::duration<double>(
                                     now - started_at_ - callers_start) /
                                     std::chrono::duration<double>(time));
        };
        auto const target_count = static_cast<std::size_t>(
            (elapsed_share(callers_ramp_duration) +
             elapsed_share(length_ - callers_start)) /
            2 * static_cast<double>(target_flow_count_));
        while (flows_.size() < target_count)
        {
            open_flow(now);
        }
        for (auto at = flows_.begin(); at != flows_.end();)
        {
            send(at->first, at->second.tick(now));
            at = at->second.has_ended() ? end_flow(at) : std::next(at);
        }
    }

    void open_flow(time_point now)
    {
        auto const port = ++last_port_;
        auto const route = 1 + static_cast<int>(random_() % route_count);
        flows_.try_emplace(port, endpoint{fleet_.callers().address_, port},
                           route_address(route), random_(), now);
    }

    std::map<std::uint16_t, flow_caller>::iterator
    end_flow(std::map<std::uint16_t, flow_caller>::iterator at)
    {
        auto const& [port, caller] = *at;
        ++end_counts_[static_cast<std::size_t>(caller.state())];
        if (caller.state() == caller_state::timed_out)
        {
            judge_.on_timeout(port);
        }
        return flows_.erase(at);
    }

    void send(std::uint16_t port, std::vector<packet_bytes> const& packets)
    {
        for (auto const& bytes : packets)
        {
            auto const packet = *format_.read(bytes);
            auto const number =
                rotation_.balancer_of(packet.flow_from_caller());
            if (packet.fin_)
            {
                judge_.on_end(port);
            }
            judge_.on_sent(port, -number, steady_clock::now());
            callers_.next_head();
            callers_.add(fleet_.balancer_data(number), 0, bytes);
        }
        callers_.flush();
    }

    void on_caller_packet(std::span<std::byte const> bytes)
    {
        auto const packet = format_.read(bytes);
        auto const found =
            packet ? flows_.find(packet->destination_.port_) : flows_.end();
        if (found == flows_.end())
        {
            return;
        }
        auto const now = steady_clock::now();
        auto& [port, caller] = *found;
        if (packet->reset_)
        {
            judge_.on_reset(port,
                            is_balancer_reset(bytes)
                                ? 0
                                : flow_backend::reset_sender(*packet),
                            now);
        }
        send(port, caller.on_packet(*packet, now));
    }

    void check_processes()
    {
        for (auto const& [number, is_up] : is_balancer_up_)
        {
            check(is_up, fleet_.balancer(number),
                  "balancer-" + std::to_string(number));
        }
        for (int i = 1; i <= static_cast<int>(backends_.size()); ++i)
        {
            check(at(i).is_up_, fleet_.agent(i), "agent-" + std::to_string(i));
        }
        check(true, fleet_.store(), "store");
    }

    static void check(bool is_up, child_process& process,
                      std::string const& name)
    {
        if (is_up && process.has_ended())
        {
            throw error(error_kind::unavailable,
                        name + " has ended; its log tells why (a taken port?)");
        }
    }

    // Disruption.

    std::uint64_t draw(std::uint64_t min_value, std::uint64_t max_value)
    {
        return min_value + random_() % (max_value - min_value + 1);
    }

    milliseconds draw_time(std::uint64_t min_value, std::uint64_t max_value)
    {
        return milliseconds(draw(min_value, max_value));
    }

    void restart_next_balancer()
    {
        auto const& plan = fleet_.plan();
        auto const count = plan.balancers_ -
                           (plan.newer_key_acceptance_ ==
                                    newer_key_acceptance::all_but_last_balancer
                                ? 1
                                : 0);
        auto const number = 1 + restarted_balancers_++ % count;
        if (!std::exchange(is_balancer_up_[number], false))
        {
            return;
        }
        log_line("balancer-" + std::to_string(number) + " restarts");
        fleet_.balancer(number).signal(SIGTERM);
        timeline_.when_ended(fleet_.balancer(number), draw_time(200, 600),
                             [this, number] { start_balancer(number); });
    }

    void restart_next_agent()
    {
        auto const number = 1 + restarted_agents_++ % fleet_.plan().agents_;
        auto& value = at(number);
        if (value.heartbeat_.is_draining_ ||
            !std::exchange(value.is_up_, false))
        {
            return;
        }
        log_line("agent-" + std::to_string(number) + " restarts");
        fleet_.agent(number).signal(SIGCONT);
        fleet_.agent(number).signal(SIGTERM);
        timeline_.when_ended(fleet_.agent(number), draw_time(100, 400),
                             [this, number]
                             {
                                 fleet_.start_agent(number);
                                 at(number).is_up_ = true;
                             });
    }

    void add_backend()
    {
        auto const number = start_backend();
        log_line("agent-" + std::to_string(number) + " joins");
        if (draw(0, 1) == 0)
        {
            delay_handshakes(number, draw_time(200, 900), slow_start_duration);
        }
    }

    void delay_handshakes(int number, milliseconds handshake_delay,
                          milliseconds time)
    {
        log_line("server " + std::to_string(number) + " answers SYNs after " +
                 std::to_string(handshake_delay.count()) + " ms for " +
                 std::to_string(time.count()) + " ms");
        at(number).handshake_delay_ = handshake_delay;
        at(number).handshake_delay_until_ = steady_clock::now() + time;
    }

    void drain(int number)
    {
        if (std::exchange(at(number).heartbeat_.is_draining_, true))
        {
            return;
        }
        log_line("server " + std::to_string(number) + " drains");
        send_heartbeat(number);
        timeline_.run_after(drain_duration, [this, number] { end(number); });
    }

    void end(int number)
    {
        auto& value = at(number);
        if (!value.is_up_)
        {
            timeline_.run_after(milliseconds(100),
                                [this, number] { end(number); });
            return;
        }
        log_line("server " + std::to_string(number) + " ends");
        value.has_ended_ = true;
        value.is_up_ = false;
        value.port_.stop();
        judge_.on_server_end(number);
        timeline_.call(fleet_.agent_http(number), verb::delete_,
                       "/api/instances/i-" + std::to_string(number), {},
                       milliseconds(1'000),
                       [this, number](bool)
                       { fleet_.agent(number).signal(SIGTERM); });
    }

    int draw_backend()
    {
        return static_cast<int>(draw(1, backends_.size()));
    }

    void pause_agent(int number)
    {
        if (!at(number).is_up_)
        {
            return;
        }
        auto const time = draw_time(300, 1'000);
        log_line("agent-" + std::to_string(number) + " paused for " +
                 std::to_string(time.count()) + " ms");
        auto const now = steady_clock::now();
        judge_.on_disturbance(number, now, now + time);
        fleet_.agent(number).signal(SIGSTOP);
        timeline_.run_after(time, [this, number]
                            { fleet_.agent(number).signal(SIGCONT); });
    }

    void draw_timeline()
    {
        auto const repeat = [this](milliseconds first, std::uint64_t min_value,
                                   std::uint64_t max_value, auto task)
        {
            for (auto when = first; when < length_ - disruption_margin;
                 when += draw_time(min_value, max_value))
            {
                timeline_.run_after(when, task);
            }
        };
        repeat(disruption_start, 1'200, 2'000,
               [this] { restart_next_balancer(); });
        repeat(disruption_start, 400, 900, [this] { restart_next_agent(); });
        repeat(disruption_start, 800, 2'000, [this] { add_backend(); });
        repeat(disruption_start + drain_duration, 2'000, 5'000,
               [this] { drain(draw_backend()); });
        repeat(disruption_start, 300, 600,
               [this]
               {
                   delay_handshakes(draw_backend(), draw_time(100, 900),
                                    draw_time(1'000, 3'000));
               });
        repeat(disruption_start, 2'000, 4'000,
               [this] { pause_agent(draw_backend()); });
    }

    std::size_t count_ended(caller_state state) const
    {
        return end_counts_[static_cast<std::size_t>(state)];
    }

    void report() const
    {
        auto reset_delays = judge_.ownerless_reset_delays();
        std::ranges::sort(reset_delays);
        auto const ms = [](duration value)
        {
            return std::chrono::duration_cast<milliseconds>(value).count();
        };
        std::cout << "flows without a server: " << reset_delays.size()
                  << " reset";
        if (!reset_delays.empty())
        {
            std::cout << " (median "
                      << ms(reset_delays[reset_delays.size() / 2])
                      << " ms, worst " << ms(reset_delays.back()) << " ms)";
        }
        std::cout << ", " << judge_.timed_out_ownerless_flow_count()
                  << " left in silence; with a server: "
                  << judge_.timed_out_flow_count() << " left in silence\n"
                  << "SYNs: " << count_ended(caller_state::refused)
                  << " refused, " << count_ended(caller_state::unanswered)
                  << " without an answer\n"
                  << "the trial itself stood still for up to "
                  << ms(longest_step_) << " ms\n"
                  << judge_.judged_flow_count() << " flows judged, "
                  << judge_.violations().size() << " broken\n";
    }

    boost::asio::io_context io_;
    trial_timeline timeline_{io_};
    platform_fleet fleet_;
    trial_rotation rotation_{io_, timeline_, fleet_};
    std::mt19937_64 random_;
    milliseconds length_;
    std::size_t target_flow_count_;
    time_point started_at_ = steady_clock::now();
    time_point last_step_at_ = started_at_;
    duration longest_step_{};
    platform::packet_header format_;
    datagram_port callers_;
    std::vector<std::unique_ptr<backend>> backends_; // from number 1
    std::map<int, bool> is_balancer_up_;
    std::map<std::uint16_t, flow_caller> flows_; // key: the caller's port
    std::uint16_t last_port_ = 1'024;
    std::array<std::size_t, static_cast<std::size_t>(caller_state::count)>
        end_counts_{};
    flow_judge judge_;
    int restarted_balancers_ = 0;
    int restarted_agents_ = 0;
    periodic_timer steps_;
    periodic_timer heartbeats_;
};

newer_key_acceptance parse_newer_key_acceptance(std::string const& name,
                                                std::uint64_t seed)
{
    auto const found = std::ranges::find(newer_key_acceptance_names, name);
    auto const index = found == newer_key_acceptance_names.end()
                           ? seed % newer_key_acceptance_names.size()
                           : static_cast<std::size_t>(
                                 found - newer_key_acceptance_names.begin());
    return static_cast<newer_key_acceptance>(index);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Flows through real processes of the platform");
    fleet_plan plan;
    plan.balancers_ = 5;
    plan.agents_ = 16;
    std::uint64_t seed = 1;
    unsigned seconds = 24;
    std::size_t flows = 500;
    app.add_option("--seed", seed, "of the timeline");
    app.add_option("--seconds", seconds, "length");
    app.add_option("--programs", plan.programs_, "folder of the programs")
        ->required();
    app.add_option("--work", plan.work_, "folder for settings and logs")
        ->required();
    app.add_option("--port", plan.first_port_, "first of 400 ports");
    app.add_option("--balancers", plan.balancers_, "number of balancers");
    app.add_option("--agents", plan.agents_, "number of agents at the start");
    app.add_option("--flows", flows, "open flows");
    std::string acceptance_name;
    app.add_option("--hearing", acceptance_name,
                   "whole, one_deaf or old_deaf; drawn by default")
        ->check(CLI::IsMember(newer_key_acceptance_names));
    CLI11_PARSE(app, argc, argv);
    try
    {
        plan.newer_key_acceptance_ =
            parse_newer_key_acceptance(acceptance_name, seed);
        log_line(
            "seed " + std::to_string(seed) + ", hearing " +
            std::string(newer_key_acceptance_names[static_cast<std::size_t>(
                plan.newer_key_acceptance_)]));
        trial run(plan, seed, std::chrono::seconds(seconds), flows);
        return run.run() == 0 ? 0 : 1;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "flow-trial: " << failure.what() << '\n';
        return 2;
    }
}
