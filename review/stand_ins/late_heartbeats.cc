// Case: the targets have crashed and new incarnations run at their addresses.
// The nodes beside them are restarted in turn, and late heartbeats of the
// former incarnations arrive meanwhile. Then a node is added to the zone of the
// clients.
#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace review;

constexpr std::uint16_t vip_port = 8443;
constexpr std::size_t flow_count = 48;

// Delivers heartbeats that the former incarnations of the targets sent before
// they crashed: one to each node every 600 ms, at most twelve.
class late_heartbeats
{
public:
    late_heartbeats(std::vector<machine const*> nodes, std::uint64_t born,
                    record& log)
        : nodes_(std::move(nodes)), born_(born), log_(log),
          thread_([this] { run(); })
    {
    }

    ~late_heartbeats()
    {
        is_stopped_ = true;
        thread_.join();
    }

private:
    void run()
    {
        constexpr milliseconds stagger{97};
        constexpr milliseconds interval{600};
        constexpr std::uint64_t first_seq = 5;
        constexpr std::uint64_t count = 12;
        log_.line("late heartbeats of the former incarnations arrive");
        std::vector<clock::time_point> next;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            next.push_back(clock::now() + stagger * static_cast<int>(i));
        }
        std::vector<std::uint64_t> seq(nodes_.size(), first_seq);
        while (!is_stopped_)
        {
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                if (clock::now() >= next[i] && seq[i] < first_seq + count)
                {
                    next[i] += interval;
                    send(*nodes_[i], seq[i]++);
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    void send(machine const& node, std::uint64_t seq)
    {
        int const status = http_call(
            node.ip, control_port, "PUT", "/api/instances/" + former_id(node),
            R"({"service":")" + node.service + R"(","address":")" + node.ip +
                ':' + std::to_string(app_port) + R"(","zone":")" + node.zone +
                R"(","version":"v1","slots":4,"state":"ready",)"
                R"("coldLeftMs":0,"seq":)" +
                std::to_string(seq) + R"(,"born":)" + std::to_string(born_) +
                '}',
            milliseconds(200));
        log_.line("late heartbeat " + std::to_string(seq) + " of " +
                  former_id(node) + ": " + std::to_string(status));
    }

    static std::string former_id(machine const& node)
    {
        return "i-former-" + node.name;
    }

    std::vector<machine const*> nodes_;
    std::uint64_t born_;
    record& log_;
    std::atomic<bool> is_stopped_{false};
    std::thread thread_;
};

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

    // The former incarnations, which crash.
    auto const former_born = unix_ms();
    for (auto* each : sides)
    {
        all.add_target(*each, "i-former-" + each->name, former_born);
    }
    if (!all.run(milliseconds(12'000), [&] { return all.all_ready(2); }))
    {
        throw std::runtime_error("the balancers don't become ready");
    }
    all.run(milliseconds(11'000));
    all.targets().clear();
    log.line("the former incarnations crash");
    all.run(milliseconds(2'000));
    for (auto* each : sides)
    {
        all.add_target(*each, "i-" + each->name, unix_ms());
        all.run(milliseconds(110));
    }
    all.run(milliseconds(6'000));

    for (std::size_t i = 0; i < flow_count; ++i)
    {
        auto& flow = all.open_flow(vip, vip_port);
        all.run(milliseconds(200), [&] { return flow.is_open; });
        if (flow.is_open)
        {
            all.send_request(flow, milliseconds(1'000));
            all.run(milliseconds(20));
        }
    }
    all.run(milliseconds(500));

    std::unique_ptr<late_heartbeats> late;
    if (has_trouble)
    {
        late = std::make_unique<late_heartbeats>(
            std::vector<machine const*>(sides.begin(), sides.end()),
            former_born, log);
    }

    // Planned work: the nodes beside five of the seven targets are stopped and
    // started in turn.
    for (std::size_t i = 0; i < 5; ++i)
    {
        auto& node = *sides[i];
        auto const begun = clock::now();
        all.signal(node, SIGTERM);
        all.run(milliseconds(6'000), [&] { return all.has_ended(node); });
        all.run(milliseconds(100));
        all.start(node);
        auto const left = std::chrono::duration_cast<milliseconds>(
            begun + milliseconds(1'300) - clock::now());
        all.run(std::max(left, milliseconds(0)));
    }
    late.reset();
    // Longer than stableWindowMs: every machine is in touch again.
    all.run(milliseconds(4'300));

    // Planned work: a machine is added, so that the routers' hash changes.
    auto& added = all.add_edge("lj-a");
    all.start(added);
    if (!all.run(milliseconds(10'000), [&] { return all.all_ready(3); }))
    {
        throw std::runtime_error("the added balancer doesn't become ready");
    }
    for (auto& flow : all.flows())
    {
        if (flow->end == flow_end::none && flow->answers == 1)
        {
            all.send_request(*flow, milliseconds(1'000));
            all.run(milliseconds(20));
        }
    }
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
    auto const text =
        std::to_string(open) + " flows were open, " + std::to_string(served) +
        " were served again after the planned work, " + std::to_string(broken) +
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
        std::cerr << "usage: late-heartbeats RECORD WORK PROGRAMS STORE\n";
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
