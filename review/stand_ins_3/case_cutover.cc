// A change of the configuration moves a route from one service to another while
// new flows of the route wait for room at the former service.
//   case_cutover RECORD PROGRAMS TROUBLE
#include "site.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace
{

using namespace review;

constexpr milliseconds config_apply{3'000};
constexpr milliseconds rollback_slack{250};
constexpr std::uint16_t vip_port = 443;
std::string const vip = machine_at(100, 1);
std::string const balancers[] = {machine_at(1, 1), machine_at(1, 2)};
std::string const old_machines[] = {machine_at(2, 1), machine_at(2, 2)};
std::string const new_machines[] = {machine_at(2, 3), machine_at(2, 4)};
constexpr int slots = 2;
constexpr milliseconds work{300};
// Requests of clients at the moment of the change: of one burst, which is less
// than a target's slots and its queue take.
constexpr int burst = 14;
constexpr int rounds = 3;

std::string document(int version, std::string const& service)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + vip +
           "\",\"prefix\":\"/443/\",\"type\":\"safe\",\"timeoutMs\":3000,"
           "\"sloMs\":200,\"prio\":1,\"split\":[{\"service\":\"" +
           service +
           "\",\"weight\":100}],\"attempts\":2}],"
           "\"services\":[{\"name\":\"till-a\",\"healthPath\":\"/health\","
           "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false},"
           "{\"name\":\"till-b\",\"healthPath\":\"/health\",\"maxConns\":2000,"
           "\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"idleTimeoutMs\":15000}}";
}

struct run_of_request
{
    std::string id;
    std::string service;
    clock::time_point opening_sent_at{};
    clock::time_point at{};
};

int play(site& site, bool has_trouble)
{
    site.set_seeds({balancers[0], balancers[1]});
    site.start_store();
    if (!site.configure(document(1, "till-a")))
    {
        return 2;
    }
    for (auto const& machine : balancers)
    {
        site.start_balancer(machine);
    }
    for (int i = 0; i < 2; ++i)
    {
        site.start_agent(old_machines[i], "till-a");
        site.start_agent(new_machines[i], "till-b");
        site.add_target(old_machines[i], "till-a", slots, work)
            .start("i-a" + std::to_string(i));
        site.add_target(new_machines[i], "till-b", slots, work)
            .start("i-b" + std::to_string(i));
    }
    bool const is_up = site.run_until(
        [&]
        { return site.is_ready(balancers[0]) && site.is_ready(balancers[1]); },
        milliseconds(10'000));
    site.run(milliseconds(10'000));
    if (!is_up || site.request(vip, vip_port, balancers[0]) == nullptr)
    {
        return 2;
    }
    site.run(milliseconds(1'000));

    std::vector<run_of_request> runs;
    site.on_run = [&](target const& by, std::string const& id,
                      clock::time_point opening_sent_at)
    {
        runs.push_back({id, by.service(), opening_sent_at, clock::now()});
    };
    int broken = 0;
    std::string service = "till-a";
    for (int round = 1; round <= rounds; ++round)
    {
        runs.clear();
        std::vector<std::shared_ptr<attempt>> burst_attempts;
        for (int i = 0; i < burst; ++i)
        {
            burst_attempts.push_back(site.request(vip, vip_port, balancers[0]));
        }
        site.run(milliseconds(50));
        auto const former = service;
        if (has_trouble)
        {
            service = service == "till-a" ? "till-b" : "till-a";
            site.configure(document(1 + round, service));
        }
        auto const acknowledged_at = clock::now();
        // Clients go on as usual.
        for (int i = 0; i < 12; ++i)
        {
            burst_attempts.push_back(site.request(vip, vip_port, balancers[0]));
            site.run(milliseconds(50));
        }
        site.run(milliseconds(6'000));

        // The first opening packet that a target of the new service took.
        std::optional<clock::time_point> effect_at;
        for (auto const& each : runs)
        {
            bool const is_effect = has_trouble && each.service == service;
            if (is_effect && (!effect_at || each.at < *effect_at))
            {
                effect_at = each.at;
            }
        }
        for (auto const& each : runs)
        {
            if (!has_trouble || each.service != former)
            {
                continue;
            }
            bool const regresses =
                effect_at && each.opening_sent_at > *effect_at + rollback_slack;
            bool const is_late =
                each.opening_sent_at > acknowledged_at + config_apply;
            if (!regresses && !is_late)
            {
                continue;
            }
            ++broken;
            auto const ms = [&](clock::time_point since)
            {
                return std::to_string(std::chrono::duration_cast<milliseconds>(
                                          each.opening_sent_at - since)
                                          .count());
            };
            site.log().line("BROKEN: " + each.id + " ran at " + former +
                            "; its opening packet was sent " + ms(*effect_at) +
                            " ms after a target of " + service +
                            " had seen the effect of version " +
                            std::to_string(1 + round));
        }
        auto const answered =
            std::ranges::count(burst_attempts, end::answered,
                               [](auto const& each) { return each->outcome; });
        site.log().line("round " + std::to_string(round) + ": " +
                        std::to_string(answered) + " of " +
                        std::to_string(burst_attempts.size()) + " answered");
        if (answered == 0)
        {
            return 2;
        }
    }
    std::cout << broken << " requests ran at the old service\n";
    return broken > 0 ? 1 : 0;
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
