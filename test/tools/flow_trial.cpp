// Plays the platform's programs as real processes through planned work and
// pauses drawn from a seed, with callers and backend servers that see whether
// open flows stay with their own backend server:
//   daisytrail-flow-trial --seed 7 --seconds 24 --work DIR --port 28000
// Prints what it does and each broken rule; exits with 1 if there is one.
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

constexpr milliseconds callers_from{2'500};
constexpr milliseconds callers_ramp{1'500}; // until half of them have begun
constexpr milliseconds work_from{5'000};    // disruption begins ...
constexpr milliseconds work_until{3'000};   // ... and ends before the trial
constexpr milliseconds drain_time{2'000};
constexpr milliseconds cold_time{4'000}; // a new backend server answers late

class trial
{
public:
    trial(fleet_plan const& plan, std::uint64_t seed, milliseconds length,
          std::size_t flows)
        : fleet_(plan), random_(seed), length_(length), wanted_flows_(flows),
          callers_(io_, fleet_.callers()),
          steps_(io_, step_interval, [this] { step(); }),
          heartbeats_(io_, heartbeat_interval, [this] { send_heartbeats(); })
    {
    }

    // Returns the number of broken rules; throws if there was nothing to judge.
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
        if (judge_.judged() == 0)
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
        bool is_up_ = true;        // its agent
        bool has_ended_ = false;   // with its agent
        milliseconds lateness_{0}; // of its SYN+ACKs ...
        time_point late_until_{};  // ... up to here
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
        timeline_.later(milliseconds(500), [this] { write_config(); });
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
                               timeline_.later(milliseconds(100),
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
        timeline_.call(fleet_.agent_page(number), verb::put,
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
            judge_.on_reached(flow, number, now);
        }
        auto const outcome = value.flows_.on_packet(bytes, *packet, now);
        if (outcome.has_opened_)
        {
            judge_.on_open(flow, number, now);
        }
        for (auto const& answer : outcome.answers_)
        {
            if (!outcome.is_handshake_ || now >= value.late_until_)
            {
                send_from_backend(number, answer);
                continue;
            }
            timeline_.later(value.lateness_, [this, number, answer]
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
        auto const before = std::exchange(stepped_, now);
        if (now < begin_ + callers_from)
        {
            return;
        }
        longest_step_ = std::max(longest_step_, now - before);
        // Half of the flows are there before the work, the others join later.
        auto const part = [&](milliseconds time)
        {
            return std::min(1.0, std::chrono::duration<double>(now - begin_ -
                                                               callers_from) /
                                     std::chrono::duration<double>(time));
        };
        auto const wanted = static_cast<std::size_t>(
            (part(callers_ramp) + part(length_ - callers_from)) / 2 *
            static_cast<double>(wanted_flows_));
        while (flows_.size() < wanted)
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
        ++ends_[static_cast<std::size_t>(caller.state())];
        if (caller.state() == caller_state::gave_up)
        {
            judge_.on_give_up(port);
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
                            is_reset_of_balancer(bytes)
                                ? 0
                                : flow_backend::sender_of_reset(*packet),
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

    std::uint64_t draw(std::uint64_t least, std::uint64_t most)
    {
        return least + random_() % (most - least + 1);
    }

    milliseconds draw_time(std::uint64_t least, std::uint64_t most)
    {
        return milliseconds(draw(least, most));
    }

    void restart_next_balancer()
    {
        auto const& plan = fleet_.plan();
        auto const count = plan.balancers_ -
                           (plan.hearing_ == control_hearing::one_deaf ? 1 : 0);
        auto const number = 1 + restarted_balancers_++ % count;
        if (!std::exchange(is_balancer_up_[number], false))
        {
            return;
        }
        say("balancer-" + std::to_string(number) + " restarts");
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
        say("agent-" + std::to_string(number) + " restarts");
        fleet_.agent(number).signal(SIGCONT);
        fleet_.agent(number).signal(SIGTERM);
        timeline_.when_ended(fleet_.agent(number), draw_time(100, 400),
                             [this, number]
                             {
                                 fleet_.start_agent(number);
                                 at(number).is_up_ = true;
                             });
    }

    void join()
    {
        auto const number = start_backend();
        say("agent-" + std::to_string(number) + " joins");
        if (draw(0, 1) == 0)
        {
            answer_late(number, draw_time(200, 900), cold_time);
        }
    }

    void answer_late(int number, milliseconds lateness, milliseconds time)
    {
        say("server " + std::to_string(number) + " answers SYNs after " +
            std::to_string(lateness.count()) + " ms for " +
            std::to_string(time.count()) + " ms");
        at(number).lateness_ = lateness;
        at(number).late_until_ = steady_clock::now() + time;
    }

    void drain(int number)
    {
        if (std::exchange(at(number).heartbeat_.is_draining_, true))
        {
            return;
        }
        say("server " + std::to_string(number) + " drains");
        send_heartbeat(number);
        timeline_.later(drain_time, [this, number] { end(number); });
    }

    void end(int number)
    {
        auto& value = at(number);
        if (!value.is_up_)
        {
            timeline_.later(milliseconds(100), [this, number] { end(number); });
            return;
        }
        say("server " + std::to_string(number) + " ends");
        value.has_ended_ = true;
        value.is_up_ = false;
        value.port_.stop();
        judge_.on_server_end(number);
        timeline_.call(fleet_.agent_page(number), verb::delete_,
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
        say("agent-" + std::to_string(number) + " paused for " +
            std::to_string(time.count()) + " ms");
        auto const now = steady_clock::now();
        judge_.on_disturbance(number, now, now + time);
        fleet_.agent(number).signal(SIGSTOP);
        timeline_.later(time, [this, number]
                        { fleet_.agent(number).signal(SIGCONT); });
    }

    void draw_timeline()
    {
        auto const repeat = [this](milliseconds first, std::uint64_t least,
                                   std::uint64_t most, auto task)
        {
            for (auto when = first; when < length_ - work_until;
                 when += draw_time(least, most))
            {
                timeline_.later(when, task);
            }
        };
        repeat(work_from, 1'200, 2'000, [this] { restart_next_balancer(); });
        repeat(work_from, 400, 900, [this] { restart_next_agent(); });
        repeat(work_from, 800, 2'000, [this] { join(); });
        repeat(work_from + drain_time, 2'000, 5'000,
               [this] { drain(draw_backend()); });
        repeat(work_from, 300, 600,
               [this] {
                   answer_late(draw_backend(), draw_time(100, 900),
                               draw_time(1'000, 3'000));
               });
        repeat(work_from, 2'000, 4'000,
               [this] { pause_agent(draw_backend()); });
    }

    std::size_t ended(caller_state state) const
    {
        return ends_[static_cast<std::size_t>(state)];
    }

    void report() const
    {
        auto told = judge_.ownerless_resets();
        std::ranges::sort(told);
        auto const ms = [](duration value)
        {
            return std::chrono::duration_cast<milliseconds>(value).count();
        };
        std::cout << "flows without a server: " << told.size() << " reset";
        if (!told.empty())
        {
            std::cout << " (median " << ms(told[told.size() / 2])
                      << " ms, worst " << ms(told.back()) << " ms)";
        }
        std::cout << ", " << judge_.ownerless_in_silence()
                  << " left in silence; with a server: "
                  << judge_.left_in_silence() << " left in silence\n"
                  << "SYNs: " << ended(caller_state::refused) << " refused, "
                  << ended(caller_state::unopened) << " without an answer\n"
                  << "the trial itself stood still for up to "
                  << ms(longest_step_) << " ms\n"
                  << judge_.judged() << " flows judged, "
                  << judge_.violations().size() << " broken\n";
    }

    boost::asio::io_context io_;
    trial_timeline timeline_{io_};
    platform_fleet fleet_;
    trial_rotation rotation_{io_, timeline_, fleet_};
    std::mt19937_64 random_;
    milliseconds length_;
    std::size_t wanted_flows_;
    time_point begin_ = steady_clock::now();
    time_point stepped_ = begin_;
    duration longest_step_{};
    platform::packet_header format_;
    datagram_port callers_;
    std::vector<std::unique_ptr<backend>> backends_; // from number 1
    std::map<int, bool> is_balancer_up_;
    std::map<std::uint16_t, flow_caller> flows_; // by the caller's port
    std::uint16_t last_port_ = 1'024;
    std::array<std::size_t, static_cast<std::size_t>(caller_state::count)>
        ends_{};
    flow_judge judge_;
    int restarted_balancers_ = 0;
    int restarted_agents_ = 0;
    periodic_timer steps_;
    periodic_timer heartbeats_;
};

control_hearing to_hearing(std::string const& name, std::uint64_t seed)
{
    auto const found = std::ranges::find(control_hearing_names, name);
    auto const index =
        found == control_hearing_names.end()
            ? seed % control_hearing_names.size()
            : static_cast<std::size_t>(found - control_hearing_names.begin());
    return static_cast<control_hearing>(index);
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
    std::string hearing;
    app.add_option("--hearing", hearing,
                   "whole, one_deaf or old_deaf; drawn by default")
        ->check(CLI::IsMember(control_hearing_names));
    CLI11_PARSE(app, argc, argv);
    try
    {
        plan.hearing_ = to_hearing(hearing, seed);
        say("seed " + std::to_string(seed) + ", hearing " +
            std::string(control_hearing_names[static_cast<std::size_t>(
                plan.hearing_)]));
        trial run(plan, seed, std::chrono::seconds(seconds), flows);
        return run.run() == 0 ? 0 : 1;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "flow-trial: " << failure.what() << '\n';
        return 2;
    }
}
