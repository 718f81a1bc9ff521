// Measures the cores of the control plane: spread of changes and deaths on
// virtual time with loss, since the processes' own sockets lose nothing on
// loopback; bytes by scheme of delivery; and the table of the large fleet.
#include "rpc/authenticator.hpp"
#include "rpc/control_messages.hpp"
#include "support/control_fleet.hpp"
#include "support/measure_report.hpp"
#include "support/process_usage.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace
{

using namespace daisytrail;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Processes of a fleet, a fifth of them balancers.
constexpr int sizes[] = {25, 50, 100, 200};

using process_filter = std::function<bool(std::string const& name)>;

// 5% of all datagrams are lost.
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
        test::build_fleet(fleet, size / 5, size - size / 5);
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
            [&]
            { return fleet.all_balancers_hold("late", member_state::ready); },
            seconds(60))));
        fleet.run_for(seconds(3));
        fleet.at("late").is_alive_ = false;
        death.push_back(in_seconds(fleet.run_until(
            [&]
            { return fleet.all_balancers_hold("late", member_state::dead); },
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

// All balancers are replaced at once. The agents reach the new ones through
// three seeds, which all have, and nobody reads a stored list.
void measure_replacement(int agents)
{
    int const balancers = agents / 5; // as in the large fleet
    constexpr std::uint32_t bytes_per_second = 9'000;
    test::control_fleet fleet(1, 0.01);
    fleet.limit_control_bytes(bytes_per_second);
    test::build_fleet(fleet, balancers, agents, "");
    for (int i = 0; i < balancers; ++i)
    {
        fleet.at("b" + std::to_string(i)).is_alive_ = false;
    }
    // The observers have been forgotten when the new balancers start.
    fleet.run_for(seconds(4));
    fleet.set_seeds({});
    std::vector<endpoint> seeds;
    for (int i = 0; i < balancers; ++i)
    {
        auto& started = fleet.add_balancer("n" + std::to_string(i));
        if (seeds.size() < 3)
        {
            seeds.push_back(started.self().control_);
        }
    }
    fleet.run_for(seconds(3));
    for (int i = 0; i < agents; ++i)
    {
        fleet.at("t" + std::to_string(i)).agent_->set_seeds(seeds);
    }
    auto const count_known = [&](process_filter const& knows)
    {
        int known = 0;
        for (int i = 0; i < agents; ++i)
        {
            known += knows("t" + std::to_string(i)) ? 1 : 0;
        }
        return known;
    };
    auto const is_observed = [&](std::string const& name)
    {
        return fleet.at(name).agent_->observer_count() > 0;
    };
    auto const is_known = [&](std::string const& name)
    {
        return fleet.all_balancers_hold(name, member_state::ready);
    };
    auto const messages = fleet.messages();
    fleet.run_for(seconds(1));
    auto const first_second = fleet.messages() - messages;
    auto const observed = fleet.run_until(
        [&] { return count_known(is_observed) == agents; }, seconds(120));
    auto const known = fleet.run_until(
        [&] { return count_known(is_known) == agents; }, seconds(120));
    measure_report report("all balancers replaced, three seeds, " +
                          std::to_string(agents) + " targets");
    auto const in_seconds = [](duration time)
    {
        return std::chrono::duration<double>(time).count();
    };
    report.add("control messages in the first second",
               static_cast<double>(first_second), "");
    report.add("last agent observed", 1 + in_seconds(observed), "s");
    report.add("last target known to all", 1 + in_seconds(observed + known),
               "s");
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
    auto const memory = read_usage(getpid()).resident_megabytes_;
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
    report.at_most("memory", read_usage(getpid()).resident_megabytes_ - memory,
                   "MB", 256);
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

int main()
{
    try
    {
        measure_table();
        measure_categories();
        for (auto const size : sizes)
        {
            measure_loss(size);
        }
        for (auto const agents : {100, 200, 400})
        {
            measure_replacement(agents);
        }
    }
    catch (std::exception const& failure)
    {
        std::cerr << "measure-membership: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
