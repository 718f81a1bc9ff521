// Case: a target starts while the time of day of its machine is 2.4 s ahead and
// crashes; the time of day jumps back, and the target starts again. Later it
// drains.
#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace review;

constexpr std::uint16_t vip_port = 8443;
constexpr std::uint64_t clock_jump_ms = 2'400;
constexpr int flows_per_second = 40;

// Clients open new flows, each for one request.
void play_clients(fleet& all, std::string const& vip, milliseconds time,
                  std::function<bool()> const& done = {})
{
    auto const until = clock::now() + time;
    auto next_flow = clock::now();
    while (clock::now() < until && !(done && done()))
    {
        while (clock::now() >= next_flow)
        {
            next_flow += milliseconds(1'000 / flows_per_second);
            all.open_flow(vip, vip_port);
        }
        for (auto& flow : all.flows())
        {
            if (flow->is_open && flow->answers == 0 && !flow->waits &&
                flow->end == flow_end::none)
            {
                all.send_request(*flow, milliseconds(1'000));
            }
        }
        all.run(milliseconds(5));
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
    for (std::string const zone :
         {"lj-a", "lj-a", "lj-b", "lj-b", "kr-a", "kr-a", "nm-a"})
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
    auto const id = "i-" + sides[0]->name;
    for (std::size_t i = 1; i < sides.size(); ++i)
    {
        all.add_target(*sides[i], "i-" + sides[i]->name, unix_ms());
    }
    if (!all.run(milliseconds(12'000), [&] { return all.all_ready(2); }))
    {
        throw std::runtime_error("the balancers don't become ready");
    }

    auto const ahead = has_trouble ? clock_jump_ms : 0;
    auto const first_born = unix_ms() + ahead;
    log.line("target " + id + " starts, born " + std::to_string(first_born) +
             "; its clock is " + std::to_string(ahead) + " ms ahead");
    all.add_target(*sides[0], id, first_born);
    all.run(milliseconds(1'200));
    all.targets().pop_back();
    log.line("target " + id + " crashes");
    all.run(milliseconds(500));
    auto const born = unix_ms();
    log.line("target " + id + " starts again, born " + std::to_string(born) +
             "; its clock is right");
    auto& restarted = all.add_target(*sides[0], id, born);
    all.run(milliseconds(7'000));

    play_clients(all, vip, milliseconds(3'000));
    log.line("target " + id + " is to drain");
    restarted.drain();
    play_clients(all, vip, milliseconds(9'000));

    std::size_t served = 0;
    for (auto& flow : all.flows())
    {
        served += flow->answers > 0 ? 1 : 0;
    }
    auto const text = std::to_string(served) + " requests were served, " +
                      std::to_string(restarted.requests_run()) +
                      " of them by the target that drained, " +
                      std::to_string(restarted.late_flows()) +
                      " of these on flows opened later than drainMs after the "
                      "acknowledgement";
    log.line(text);
    std::cout << text << '\n';
    if (served < 100 || !restarted.was_acknowledged_draining(milliseconds(0)))
    {
        throw std::runtime_error(
            "too little was served, or no acknowledgement");
    }
    return restarted.late_flows() > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::cerr << "usage: clock-jump RECORD WORK PROGRAMS STORE\n";
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
