// A target and the agent beside it crash within a second and start again. Later
// a balancer is restarted by plan, and clients go on in their open flows.
//   case_two_restarts RECORD PROGRAMS TROUBLE
#include "site.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace
{

using namespace review;

std::string const balancers[] = {machine_at(1, 1), machine_at(1, 2),
                                 machine_at(1, 3)};
std::string const machines[] = {machine_at(2, 1), machine_at(2, 2),
                                machine_at(2, 3)};
std::string const vip = machine_at(100, 1);
constexpr std::uint16_t vip_port = 443;
constexpr int slots = 4;
constexpr milliseconds work{20};
constexpr int flows = 18;
// A target announces itself "approximately every heartbeatMs", 770 ms here.
constexpr milliseconds first_beat{700};
constexpr milliseconds crash_time{2'000};
// "A process that exits or is killed is restarted after a short delay."
constexpr milliseconds restart_delay{300};
// stableWindowMs, and two seconds.
constexpr milliseconds calm_time{6'000};

std::string document()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + vip +
           "\",\"prefix\":\"/443/\",\"type\":\"safe\",\"timeoutMs\":3000,"
           "\"sloMs\":200,\"prio\":1,\"service\":\"orders\",\"attempts\":2}],"
           "\"services\":[{\"name\":\"orders\",\"healthPath\":\"/health\","
           "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"idleTimeoutMs\":15000}}";
}

int play(site& site, bool has_trouble)
{
    site.set_seeds({balancers[0], balancers[1], balancers[2]});
    site.start_store();
    if (!site.configure(document()))
    {
        return 2;
    }
    std::vector<target*> targets;
    for (auto const& machine : balancers)
    {
        site.start_balancer(machine);
    }
    for (auto const& machine : machines)
    {
        site.start_agent(machine, "orders");
        targets.push_back(&site.add_target(machine, "orders", slots, work));
        targets.back()->start("i-" + machine);
    }
    bool const is_up = site.run_until(
        [&]
        {
            return std::ranges::all_of(balancers, [&](std::string const& each)
                                       { return site.is_ready(each); });
        },
        milliseconds(10'000));
    site.run(milliseconds(10'000));

    // The target and the agent of the first machine.
    auto& target = *targets.front();
    if (has_trouble)
    {
        target.crash();
        site.run(crash_time);
        target.start("i-" + machines[0] + "-again", first_beat);
        site.run(milliseconds(20));
    }
    std::vector<std::shared_ptr<attempt>> open;
    for (int i = 0; i < flows; ++i)
    {
        open.push_back(site.open(vip, vip_port, balancers[0]));
        site.run(milliseconds(5));
    }
    site.run(milliseconds(50));
    if (has_trouble)
    {
        site.log().line("the agent on " + machines[0] + " is killed");
        site.children().kill_and_wait(machines[0]);
        site.run(restart_delay);
        site.start_agent(machines[0], "orders");
    }
    site.run(calm_time);

    // By plan: the first balancer stops; its flows go to another one.
    site.log().line("SIGTERM to the balancer on " + balancers[0]);
    site.children().signal(balancers[0], SIGTERM);
    site.run_until([&] { return site.children().has_ended(balancers[0]); },
                   milliseconds(6'000));
    site.run(restart_delay);
    site.start_balancer(balancers[0]);
    auto const answered = std::ranges::count(
        open, end::answered, [](auto const& each) { return each->outcome; });
    for (auto const& each : open)
    {
        if (each->outcome == end::answered)
        {
            site.request_again(*each, balancers[1]);
        }
    }
    site.run(milliseconds(8'000));
    auto const count = [&](end wanted)
    {
        return std::ranges::count(
            open, wanted, [](auto const& each) { return each->outcome; });
    };
    site.log().line(std::to_string(answered) + " flows were open; then " +
                    std::to_string(count(end::answered)) + " answered, " +
                    std::to_string(count(end::reset)) + " reset, no answer: " +
                    std::to_string(count(end::no_answer)));
    std::cout << count(end::reset) << " of " << answered
              << " open flows were reset\n";
    if (!is_up || answered == 0)
    {
        return 2;
    }
    return count(end::reset) > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        return 2;
    }
    try
    {
        review::site site(argv[1], argv[2]);
        return play(site, std::string(argv[3]) != "0");
    }
    catch (std::exception const& failure)
    {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
