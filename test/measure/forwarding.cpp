// Measures the balancer's choice, view and data path; prints each figure with
// its goal.
#include "support/choice_digest.hpp"
#include "support/choice_strategies.hpp"
#include "support/measure_report.hpp"
#include "support/relay_bench.hpp"

#include <daisytrail/dispatch.hpp>
#include <daisytrail/view.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <map>
#include <random>
#include <time.h>
#include <unordered_map>

namespace daisytrail
{

namespace
{

constexpr std::size_t large_services = 43'000;
constexpr std::size_t large_targets = 95'000;
constexpr std::size_t largest_service = 2'000;
constexpr std::uint64_t seed = 20'261'204;

// Processor time of this thread, so that a busy machine disturbs less.
double thread_nanoseconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 +
           static_cast<double>(now.tv_nsec);
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

// Nanoseconds of one call of `call(i)`: the median of several runs.
double time_call(std::uint32_t calls,
                 std::function<std::uint64_t(std::uint32_t)> const& run)
{
    constexpr int runs = 9;
    std::vector<double> times;
    std::uint64_t sink = 0;
    for (int i = 0; i < runs; ++i)
    {
        double const begin = thread_nanoseconds();
        sink += run(calls);
        times.push_back((thread_nanoseconds() - begin) / calls);
    }
    // Keeps the calls from being optimised away.
    [[maybe_unused]] std::uint64_t volatile kept = sink;
    return median(times);
}

void measure_pick(measure_report& report)
{
    constexpr std::uint32_t calls = 100'000;
    constexpr double goal_ns = 100.0;
    std::vector<std::uint64_t> flows(calls);
    for (std::uint32_t i = 0; i < calls; ++i)
    {
        flows[i] = nth_flow(i);
    }
    for (std::size_t const size :
         {1, 3, 4, 7, 16, 32, 64, 96, 128, 500, 2'000, 10'000})
    {
        auto const table =
            service_table::from_members(make_members(size, {1, 4}));
        double const time =
            time_call(calls,
                      [&](std::uint32_t)
                      {
                          std::uint64_t sum = 0;
                          for (auto const flow : flows)
                          {
                              sum += table.pick(flow).candidates_[0].target_;
                          }
                          return sum;
                      });
        report.at_most("one pick among " + std::to_string(size), time, "ns",
                       goal_ns);
    }
}

// The fleet at the size of the letter, with one service of 2,000 targets.
struct large_fleet
{
    fleet_view view_;
    std::vector<endpoint> vips_;
    std::vector<target_record> records_;
    double view_bytes_ = 0.0;
};

std::vector<target_record> make_large_records()
{
    std::mt19937_64 random(seed);
    std::vector<target_record> records;
    for (std::size_t i = 0; i < large_targets; ++i)
    {
        target_record record;
        record.name_ = "target-" + std::to_string(i);
        record.failure_domain_ = "failure-domain-" + std::to_string(i % 23);
        record.target_ = hash_name(record.name_);
        record.version_ = {1'796'000'000'000 + i, 1};
        record.tunnel_ = {0x0B000000 + static_cast<ipv4>(i), 4'000};
        record.weight_ = i % 2 == 0 ? 1 : 4;
        record.state_ = member_state::ready;
        // Each service has one target at least, the first one 2,000.
        std::size_t service = random() % large_services;
        if (i < large_services)
        {
            service = i;
        }
        else if (i < large_services + largest_service)
        {
            service = 0;
        }
        record.service_ = hash_name("org/service-" + std::to_string(service));
        records.push_back(record);
    }
    return records;
}

double allocated_bytes()
{
    auto const usage = ::mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

void fill_large_fleet(large_fleet& fleet)
{
    constexpr std::size_t services_each = 100;
    fleet.records_ = make_large_records();
    for (std::size_t i = 0; i < large_services; ++i)
    {
        fleet.vips_.push_back({0xC6120000 + static_cast<ipv4>(i), 443});
    }
    double const before = allocated_bytes();
    for (std::size_t first = 0; first < large_services; first += services_each)
    {
        organisation_template organisation;
        organisation.name_ = "organisation-" + std::to_string(first);
        for (std::size_t i = first; i < first + services_each; ++i)
        {
            service_template service;
            service.name_ = "service-" + std::to_string(i);
            service.id_ = hash_name("org/" + service.name_);
            service.vips_ = {fleet.vips_[i]};
            organisation.services_.push_back(std::move(service));
        }
        fleet.view_.apply(organisation);
    }
    for (auto const& record : fleet.records_)
    {
        fleet.view_.apply(record);
    }
    fleet.view_bytes_ = allocated_bytes() - before;
}

// As the forwarder does: look up a batch, prefetch, choose.
std::uint64_t pick_in_batches(large_fleet const& fleet,
                              std::vector<flow_key> const& flows)
{
    constexpr std::size_t batch = 64;
    std::uint64_t sum = 0;
    std::array<service_entry const*, batch> services{};
    for (std::size_t first = 0; first + batch <= flows.size(); first += batch)
    {
        for (std::size_t i = 0; i < batch; ++i)
        {
            services[i] = fleet.view_.find(flows[first + i].vip_);
            __builtin_prefetch(services[i]);
        }
        for (auto const* service : services)
        {
            service->table_.prefetch();
        }
        for (std::size_t i = 0; i < batch; ++i)
        {
            auto const flow = hash_flow(flows[first + i]);
            sum += services[i]->table_.pick(flow).candidates_[0].target_;
        }
    }
    return sum;
}

std::uint64_t pick_one_by_one(large_fleet const& fleet,
                              std::vector<flow_key> const& flows)
{
    std::uint64_t sum = 0;
    for (auto const& flow : flows)
    {
        auto const& table = fleet.view_.find(flow.vip_)->table_;
        sum += table.pick(hash_flow(flow)).candidates_[0].target_;
    }
    return sum;
}

void measure_large_pick(measure_report& report, large_fleet const& fleet)
{
    constexpr std::uint32_t calls = 200'000;
    constexpr double goal_ns = 100.0;
    std::mt19937_64 random(seed);
    std::vector<flow_key> flows(calls);
    for (std::uint32_t i = 0; i < calls; ++i)
    {
        flows[i] = {{0x0A000000 + i, 40'000},
                    fleet.vips_[random() % fleet.vips_.size()]};
    }
    report.at_most("VIP lookup and pick, 95,000 targets, in batches",
                   time_call(calls, [&](std::uint32_t)
                             { return pick_in_batches(fleet, flows); }),
                   "ns", goal_ns);
    report.at_most("VIP lookup and pick, 95,000 targets, one by one",
                   time_call(calls, [&](std::uint32_t)
                             { return pick_one_by_one(fleet, flows); }),
                   "ns", goal_ns);
}

// Median and worst microseconds of a leave or a join through the view.
void measure_changes(measure_report& report, std::string const& name,
                     fleet_view& view, std::vector<target_record> records)
{
    constexpr std::size_t changes = 1'000;
    constexpr double goal_us = 1'000.0;
    std::vector<double> times;
    for (std::size_t i = 0; i < changes; ++i)
    {
        auto& record = records[i * 7'919 % records.size()];
        record.version_.sequence_ += 1;
        record.state_ = record.state_ == member_state::ready
                            ? member_state::left
                            : member_state::ready;
        double const begin = thread_nanoseconds();
        view.apply(record);
        times.push_back((thread_nanoseconds() - begin) / 1e3);
    }
    report.at_most("join or leave, " + name + ", median", median(times), "us",
                   goal_us);
    std::ranges::sort(times);
    report.at_most("join or leave, " + name + ", 99 of 100",
                   times[changes * 99 / 100], "us", goal_us);
    report.at_most("join or leave, " + name + ", worst of 1,000",
                   std::ranges::max(times), "us", goal_us);
}

void measure_all_changes(measure_report& report, large_fleet& fleet)
{
    fleet_view today;
    auto today_records =
        std::vector<target_record>(fleet.records_.begin() + large_services,
                                   fleet.records_.begin() + large_services + 7);
    for (auto const& record : today_records)
    {
        today.apply(record);
    }
    measure_changes(report, "7 targets", today, today_records);
    measure_changes(report, "95,000 targets", fleet.view_, fleet.records_);
    measure_changes(
        report, "service of 2,000", fleet.view_,
        {fleet.records_.begin() + large_services,
         fleet.records_.begin() + large_services + largest_service});
}

using flow_shares = std::unordered_map<target_id, double>;

std::vector<target_id> first_targets(std::vector<table_member> const& members,
                                     std::uint32_t flows)
{
    auto const table = service_table::from_members(members);
    std::vector<target_id> targets;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        targets.push_back(table.pick(nth_flow(i)).candidates_[0].target_);
    }
    return targets;
}

// Largest share of flows over the share that the weight entitles to.
double imbalance(std::vector<table_member> const& members, std::uint32_t flows)
{
    double total = 0.0;
    std::unordered_map<target_id, double> counts;
    for (auto const& member : members)
    {
        total += member.weight_;
    }
    for (auto const target : first_targets(members, flows))
    {
        counts[target] += 1.0;
    }
    double worst = 0.0;
    for (auto const& member : members)
    {
        double const due = flows * member.weight_ / total;
        worst = std::max(worst, counts[member.candidate_.target_] / due);
    }
    return worst;
}

void measure_imbalance(measure_report& report)
{
    constexpr std::uint32_t flows = 20'000;
    constexpr double goal = 1.15;
    for (std::size_t const size : {3, 4, 7})
    {
        auto const name = std::to_string(size) + " targets, ";
        report.at_most("imbalance, " + name + "equal weights",
                       imbalance(make_members(size), flows), "max/mean", goal);
        report.at_most("imbalance, " + name + "weights 4:1",
                       imbalance(make_members(size, {4, 1}), flows), "max/mean",
                       goal);
    }
    // As many flows a target as above with 7.
    constexpr std::uint32_t flows_each = flows / 7;
    for (std::size_t const size : {40, 200, 2'000})
    {
        auto const count = static_cast<std::uint32_t>(size) * flows_each;
        report.at_most("imbalance, " + std::to_string(size) +
                           " targets, 4:1, 2,857 flows each",
                       imbalance(make_members(size, {4, 1}), count), "max/mean",
                       goal);
    }
}

// Flows whose first candidate differs, over the least that the change of
// shares needs.
double moved_ratio(std::vector<table_member> const& before,
                   std::vector<table_member> const& after, std::uint32_t flows)
{
    auto const old_targets = first_targets(before, flows);
    auto const new_targets = first_targets(after, flows);
    std::map<target_id, double> gain;
    auto const add_shares =
        [&gain](std::vector<table_member> const& members, double sign)
    {
        double total = 0.0;
        for (auto const& member : members)
        {
            total += member.weight_;
        }
        for (auto const& member : members)
        {
            gain[member.candidate_.target_] += sign * member.weight_ / total;
        }
    };
    add_shares(before, -1.0);
    add_shares(after, 1.0);
    double least = 0.0;
    for (auto const& [target, change] : gain)
    {
        least += std::max(change, 0.0);
    }
    double moved = 0.0;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        moved += old_targets[i] != new_targets[i] ? 1.0 : 0.0;
    }
    return moved / (least * flows);
}

void measure_moves(measure_report& report)
{
    for (std::size_t const size : {3, 7, 30, 64, 96, 200, 2'000})
    {
        auto const flows = static_cast<std::uint32_t>(
            std::clamp<std::size_t>(size * 2'000, 50'000, 400'000));
        auto const more = make_members(size + 1, {4, 1});
        auto const members =
            std::vector<table_member>(more.begin(), more.end() - 1);
        auto heavier = members;
        heavier.back().weight_ *= 2;
        auto const name = std::to_string(size) + " targets";
        report.add("flows moved by a join, " + name,
                   moved_ratio(members, more, flows), "of least");
        report.add("flows moved by a doubled weight, " + name,
                   moved_ratio(members, heavier, flows), "of least");
    }
}

// Broken flows when one target joins and another leaves, while balancers learn
// of it one after the other and packets go through any of them.
double broken_share(choice_strategy& strategy, std::size_t balancers)
{
    constexpr std::uint32_t flows = 20'000;
    std::mt19937_64 random(seed);
    auto const all = make_members(9, {4, 1});
    std::vector<table_member> const before(all.begin(), all.begin() + 7);
    std::vector<table_member> const after(all.begin() + 1, all.begin() + 8);
    std::vector<target_id> owners;
    for (std::size_t balancer = 0; balancer < balancers; ++balancer)
    {
        strategy.update(balancer, before);
    }
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        owners.push_back(
            strategy.reachable_targets(random() % balancers, nth_flow(i))
                .front());
    }
    std::vector<bool> broken(flows, false);
    double lost = 0.0;
    for (std::size_t balancer = 0; balancer < balancers; ++balancer)
    {
        strategy.update(balancer, after);
        for (std::uint32_t i = 0; i < flows; ++i)
        {
            auto const reached =
                strategy.reachable_targets(random() % balancers, nth_flow(i));
            bool const gone = owners[i] == all[0].candidate_.target_;
            if (!gone && !broken[i] &&
                std::ranges::find(reached, owners[i]) == reached.end())
            {
                broken[i] = true;
                lost += 1.0;
            }
        }
    }
    return lost / flows;
}

void measure_strategies(measure_report& report)
{
    constexpr std::size_t balancers = 3;
    for (auto const& strategy :
         {make_ranked_strategy(balancers), make_modulo_strategy(balancers),
          make_flow_table_strategy(balancers)})
    {
        report.add("flows broken by a swap of 1 of 7, " +
                       std::string(strategy->name()),
                   100.0 * broken_share(*strategy, balancers), "%");
    }
}

void measure_relay(measure_report& report, std::uint16_t port)
{
    constexpr int rounds = 5;
    constexpr double goal = 0.8;
    for (std::size_t const bytes : {100, 1'400})
    {
        std::vector<double> bare;
        std::vector<double> product;
        std::vector<double> ratios;
        std::vector<double> cpu_bare;
        std::vector<double> cpu_product;
        std::uint64_t allocations = 0;
        for (int round = 0; round < rounds; ++round)
        {
            auto const first = run_relay(hop_kind::bare, {port, bytes, 0.5});
            auto const second =
                run_relay(hop_kind::forwarder, {port, bytes, 0.5});
            bare.push_back(first.packets_per_second_);
            product.push_back(second.packets_per_second_);
            ratios.push_back(second.packets_per_second_ /
                             first.packets_per_second_);
            cpu_bare.push_back(first.cpu_seconds_per_packet_ * 1e9);
            cpu_product.push_back(second.cpu_seconds_per_packet_ * 1e9);
            allocations += second.allocations_;
        }
        auto const name = std::to_string(bytes) + " byte packets";
        report.add("bare relay, " + name, median(bare), "packets/s");
        report.add("balancer, " + name, median(product), "packets/s");
        report.at_least("balancer over bare relay, " + name, median(ratios),
                        "ratio", goal);
        report.add("CPU of the bare relay, " + name, median(cpu_bare),
                   "ns/packet");
        report.add("CPU of the balancer, " + name, median(cpu_product),
                   "ns/packet");
        report.at_most("allocations of the balancer, " + name,
                       static_cast<double>(allocations), "in 2.5 s", 0.0);
    }
}

void measure_large(measure_report& report)
{
    constexpr double goal_megabytes = 128.0;
    large_fleet fleet;
    fill_large_fleet(fleet);
    report.at_most("view of 95,000 targets, 43,000 VIPs",
                   fleet.view_bytes_ / 1e6, "MB", goal_megabytes);
    report.add("view a target", fleet.view_bytes_ / large_targets, "bytes");
    measure_large_pick(report, fleet);
    measure_all_changes(report, fleet);
}

} // namespace

} // namespace daisytrail

int main(int argc, char** argv)
{
    using namespace daisytrail;
    constexpr std::uint16_t default_port = 21'500;
    auto const port = argc > 1 ? static_cast<std::uint16_t>(std::atoi(argv[1]))
                               : default_port;
    measure_report report("forwarding");
    measure_pick(report);
    measure_large(report);
    measure_imbalance(report);
    measure_moves(report);
    measure_strategies(report);
    measure_relay(report, port);
    char digest[64];
    std::snprintf(digest, sizeof(digest), "choice digest %016llx",
                  static_cast<unsigned long long>(choice_digest(2'000)));
    report.note(digest);
    std::fputs(report.text().c_str(), stdout);
    return 0;
}
