// Case: the machines that were the seeds of all nodes have been replaced. Then
// all balancers lose power for some seconds, a target is added, and two
// balancers are restarted in turn.
#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace review;

constexpr std::uint16_t vip_port = 8443;
constexpr std::size_t flow_count = 60;
constexpr milliseconds roll_gap{1'300};

std::string seeds_of(std::vector<machine*> const& edges)
{
    std::string result;
    for (auto const* each : edges)
    {
        result += (result.empty() ? "\"" : ",\"") + each->ip + ':' +
                  std::to_string(control_port) + '"';
    }
    return result;
}

// Sends a request on each flow that had an answer to its first one.
void send_second_requests(fleet& all)
{
    for (auto& flow : all.flows())
    {
        if (flow->end == flow_end::none && flow->answers == 1)
        {
            all.send_request(*flow, milliseconds(1'000));
        }
    }
}

int play(bool has_trouble, record& log, std::string const& work,
         std::string const& programs, std::string const& store)
{
    fleet all(work, programs, store, log);
    all.client_zone = "lj-a";
    auto const vip = all.net() + "9.1";
    std::vector<machine*> edges;
    std::vector<machine*> sides;
    // The first three are the seeds in all settings.
    for (std::string const zone :
         {"lj-b", "lj-b", "nm-a", "lj-a", "lj-a", "kr-a", "kr-a"})
    {
        edges.push_back(&all.add_edge(zone));
    }
    for (std::string const zone :
         {"lj-a", "lj-a", "lj-b", "lj-b", "kr-a", "kr-a", "nm-a"})
    {
        sides.push_back(&all.add_side(zone, "order-portal"));
    }
    all.start_store();
    all.put_config(
        7, R"({"version":7,"routes":[{"name":"r-orders","host":")" + vip +
               R"(","prefix":"/8443/","type":"safe","timeoutMs":1000,)"
               R"("sloMs":150,"prio":2,"service":"order-portal",)"
               R"("attempts":2}],"services":[{"name":"order-portal",)"
               R"("healthPath":"/health","maxConns":2000,"protocol":"h1",)"
               R"("tls":false}],"limits":{"idleTimeoutMs":15000}})");
    for (auto* each : edges)
    {
        all.start(*each);
    }
    for (auto* each : sides)
    {
        all.start(*each);
    }
    all.run(milliseconds(300));
    for (auto* each : sides)
    {
        all.add_target(*each, "i-" + each->name, unix_ms());
    }
    if (!all.run(milliseconds(12'000), [&] { return all.all_ready(2); }))
    {
        throw std::runtime_error("the balancers don't become ready");
    }
    all.run(milliseconds(6'000));

    log.line("planned work: three machines are added, three others leave");
    for (std::string const zone : {"lj-b", "lj-b", "nm-a"})
    {
        edges.push_back(&all.add_edge(zone));
        all.start(*edges.back());
    }
    all.run(milliseconds(3'000));
    for (std::size_t i = 0; i < 3; ++i)
    {
        all.signal(*edges[i], SIGTERM);
        all.run(roll_gap);
    }
    all.run(milliseconds(4'000));
    std::vector<machine*> const lasting(edges.begin() + 3, edges.end());
    auto const fresh_seeds = seeds_of({edges[3], edges[5], edges[7]});
    for (auto* each : lasting)
    {
        each->seeds = fresh_seeds;
    }

    if (has_trouble)
    {
        log.line("all balancers lose power");
        for (auto* each : lasting)
        {
            all.signal(*each, SIGKILL);
        }
        all.run(milliseconds(4'500));
        for (auto* each : lasting)
        {
            all.has_ended(*each);
            all.start(*each);
        }
        all.run(milliseconds(1'500));
        if (!all.run(milliseconds(10'000), [&] { return all.all_ready(2); }))
        {
            throw std::runtime_error("the balancers don't come back");
        }
    }
    all.run(milliseconds(7'000));

    log.line("planned work: a target is added");
    auto& node = all.add_side("lj-b", "order-portal");
    node.seeds = fresh_seeds;
    all.start(node);
    all.run(milliseconds(300));
    all.add_target(node, "i-" + node.name, unix_ms());
    all.run(milliseconds(5'000));

    for (std::size_t i = 0; i < flow_count; ++i)
    {
        auto& flow = all.open_flow(vip, vip_port);
        all.run(milliseconds(200), [&] { return flow.is_open; });
        if (flow.is_open)
        {
            all.send_request(flow, milliseconds(1'000));
            all.run(milliseconds(15));
        }
    }
    all.run(milliseconds(500));

    log.line("planned work: a balancer is restarted");
    all.signal(*edges[3], SIGTERM);
    all.run(milliseconds(6'000), [&] { return all.has_ended(*edges[3]); });
    all.run(milliseconds(100));
    all.start(*edges[3]);
    all.run(milliseconds(1'000));
    if (!all.run(milliseconds(6'000), [&] { return all.all_ready(2); }))
    {
        throw std::runtime_error("the restarted balancer doesn't come back");
    }
    all.run(milliseconds(1'000));
    send_second_requests(all);
    all.run(milliseconds(4'000));

    std::size_t open = 0;
    std::size_t served = 0;
    std::size_t broken = 0;
    for (auto& flow : all.flows())
    {
        open += flow->answers >= 1 ? 1 : 0;
        served += flow->answers >= 2 ? 1 : 0;
        broken += flow->answers >= 1 && flow->end == flow_end::system_reset;
    }
    auto const text = std::to_string(open) + " flows were open, " +
                      std::to_string(served) +
                      " were served again after the planned work, " +
                      std::to_string(broken) +
                      " were reset by the system while their targets lived";
    log.line(text);
    std::cout << text << '\n';
    if (open < flow_count / 2)
    {
        throw std::runtime_error("too few flows were open");
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::cerr << "usage: gone-seeds RECORD WORK PROGRAMS STORE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        char const* const trouble = std::getenv("TROUBLE");
        review::record log(argv[1]);
        return play(trouble == nullptr || std::string(trouble) != "0", log,
                    argv[2], argv[3], argv[4]);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "can't run: " << failure.what() << '\n';
        return 2;
    }
}
