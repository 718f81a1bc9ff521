// Machines beside targets of one service are lost for good over time. Then the
// targets of another service crash, one after the other, and start again.
//   case_lost_machines RECORD PROGRAMS TROUBLE
#include "site.h"

#include <algorithm>
#include <iostream>

namespace
{

using namespace review;

std::string const balancers[] = {machine_at(1, 1), machine_at(1, 2)};
std::string const order_machines[] = {machine_at(2, 1), machine_at(2, 2)};
std::string const proof_machines[] = {machine_at(2, 3), machine_at(2, 4)};
// Addresses of the routes r-1, r-2 and r-3.
std::string const vips[] = {machine_at(100, 1), machine_at(100, 2),
                            machine_at(100, 3)};
constexpr int slots = 4;
constexpr milliseconds work{30};
constexpr int waves = 4;
constexpr int machines_per_wave = 26;
constexpr milliseconds crash_time{4'870};
// The largest of configApplyMs and stableWindowMs, and a second.
constexpr milliseconds calm_time{5'000};

std::string route(std::string const& name, std::string const& host,
                  std::string const& service)
{
    return "{\"name\":\"" + name + "\",\"host\":\"" + host +
           "\",\"prefix\":\"/443/\",\"type\":\"safe\",\"timeoutMs\":3000,"
           "\"sloMs\":200,\"prio\":1,\"service\":\"" +
           service + "\",\"attempts\":2}";
}

std::string document(int version)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           route("r-1", vips[0], "orders") + "," +
           route("r-2", vips[1], "proofs") +
           (version > 1 ? "," + route("r-3", vips[2], "orders") : "") +
           "],\"services\":[{\"name\":\"orders\",\"healthPath\":\"/health\","
           "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false},"
           "{\"name\":\"proofs\",\"healthPath\":\"/health\",\"maxConns\":2000,"
           "\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"idleTimeoutMs\":15000}}";
}

// Requests of clients, one after another through the balancers in turn.
struct counts
{
    int sent = 0;
    int answered = 0;
    int refused = 0; // reset before the flow opened
    int other = 0;
};

counts send_requests(site& site, std::string const& vip, int number,
                     milliseconds gap, std::string const& what)
{
    std::vector<std::shared_ptr<attempt>> attempts;
    for (int i = 0; i < number; ++i)
    {
        attempts.push_back(site.request(vip, 443, balancers[i % 2]));
        site.run(gap);
    }
    site.run(milliseconds(1'500));
    counts result;
    for (auto const& each : attempts)
    {
        ++result.sent;
        result.answered += each->outcome == end::answered;
        result.refused += each->outcome == end::refused;
        result.other +=
            each->outcome != end::answered && each->outcome != end::refused;
    }
    site.log().line(what + ": sent " + std::to_string(result.sent) +
                    ", answered " + std::to_string(result.answered) +
                    ", refused by the system " +
                    std::to_string(result.refused) + ", other " +
                    std::to_string(result.other));
    return result;
}

// One wave: machines with a target each are added, and lost for good later.
void lose_machines(site& site, int wave)
{
    std::vector<std::string> machines;
    std::vector<target*> added;
    for (int i = 1; i <= machines_per_wave; ++i)
    {
        auto const machine = machine_at(10 + wave, i);
        machines.push_back(machine);
        site.start_agent(machine, "proofs");
        auto& target = site.add_target(machine, "proofs", slots, work);
        target.start("i-" + std::to_string(wave) + "-" + std::to_string(i));
        added.push_back(&target);
        site.run(milliseconds(30));
    }
    send_requests(site, vips[1], 10, milliseconds(100),
                  "wave " + std::to_string(wave));
    for (std::size_t i = 0; i < machines.size(); ++i)
    {
        site.children().kill_and_wait(machines[i]);
        added[i]->crash();
        site.run(milliseconds(60));
    }
    site.log().line("wave " + std::to_string(wave) + " is lost for good");
}

// The target is down for crash_time. The other one serves meanwhile.
void crash_and_restart(site& site, target& crashing, std::size_t number,
                       bool has_trouble)
{
    auto const crashed_at = clock::now();
    if (has_trouble)
    {
        crashing.crash();
    }
    send_requests(site, vips[0], 40, milliseconds(15),
                  "target " + std::to_string(number) + " is down, r-1");
    while (clock::now() < crashed_at + crash_time)
    {
        site.run(milliseconds(10));
    }
    if (has_trouble)
    {
        crashing.start("i-o" + std::to_string(number) + "-again");
    }
    site.run(calm_time);
    send_requests(site, vips[0], 40, milliseconds(30),
                  "target " + std::to_string(number) + " is back, r-1");
}

int play(site& site, bool has_trouble)
{
    site.set_seeds({balancers[0], balancers[1]});
    site.start_store();
    if (!site.configure(document(1)))
    {
        return 2;
    }
    for (auto const& machine : balancers)
    {
        site.start_balancer(machine);
    }
    std::vector<target*> orders;
    for (int i = 0; i < 2; ++i)
    {
        site.start_agent(order_machines[i], "orders");
        orders.push_back(
            &site.add_target(order_machines[i], "orders", slots, work));
        orders.back()->start("i-o" + std::to_string(i));
    }
    site.run(milliseconds(1'500));
    for (int i = 0; i < 2; ++i)
    {
        site.start_agent(proof_machines[i], "proofs");
        site.add_target(proof_machines[i], "proofs", slots, work)
            .start("i-p" + std::to_string(i));
    }
    bool const is_up = site.run_until(
        [&]
        { return site.is_ready(balancers[0]) && site.is_ready(balancers[1]); },
        milliseconds(10'000));
    site.run(milliseconds(3'000));
    auto const before =
        send_requests(site, vips[0], 20, milliseconds(50), "before, r-1");
    if (!is_up || before.answered < before.sent)
    {
        return 2;
    }
    for (int wave = 1; wave <= waves; ++wave)
    {
        if (has_trouble)
        {
            lose_machines(site, wave);
        }
        else
        {
            site.run(milliseconds(6'000));
        }
    }
    site.run(milliseconds(5'000));
    for (std::size_t i = 0; i < orders.size(); ++i)
    {
        crash_and_restart(site, *orders[i], i, has_trouble);
    }
    site.run(calm_time);
    site.configure(document(2));
    site.run(calm_time);
    for (auto const& machine : balancers)
    {
        site.log().line("ready " + machine + ": " +
                        (site.is_ready(machine) ? "200" : "no"));
        site.log().line("view " + site.page(machine, ports::ready, "/view"));
    }
    auto const after =
        send_requests(site, vips[2], 60, milliseconds(150), "after, r-3");
    send_requests(site, vips[0], 20, milliseconds(50), "after, r-1");
    std::cout << after.refused << " of " << after.sent
              << " requests of a route that is there were refused\n";
    return after.refused > 0 ? 1 : 0;
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
