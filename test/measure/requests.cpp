// measure-requests: policy under load and faults on virtual time, the product
// beside two baselines with the same arrivals; medians over seeds.
#include "support/request_model.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace
{

using namespace daisytrail;
using namespace daisytrail::model;
using std::chrono::milliseconds;

constexpr double crest_begin_s = 4.0; // full load
constexpr double crest_end_s = 14.0;
constexpr double calm_s = 16.0;
constexpr double warm_up_s = 5.0;
constexpr double fault_at_s = 10.0;
constexpr double refusal_goal_s = 0.050;
constexpr std::size_t short_class = 0;
constexpr std::size_t long_class = 1;

load_class short_load(double share)
{
    return {{false, 1, milliseconds(20)},
            share,
            milliseconds(20),
            milliseconds(1'000)};
}

load_class straggler_load(double share)
{
    return {{true, 1, milliseconds(600)},
            share,
            milliseconds(600),
            milliseconds(30'000)};
}

load_class low_load(double share)
{
    return {{false, 3, milliseconds(20)},
            share,
            milliseconds(20),
            milliseconds(1'000)};
}

double quantile(std::vector<double> values, double level)
{
    if (values.empty())
    {
        return 0.0;
    }
    auto const index = static_cast<std::size_t>(
        level * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

using filter = std::function<bool(request_record const&)>;

std::vector<double> latencies(result const& from, filter const& wanted)
{
    std::vector<double> values;
    for (auto const& record : from.requests_)
    {
        if (!record.refused_ && record.ended_s_ >= 0 && wanted(record))
        {
            values.push_back(record.ended_s_ - record.arrived_s_);
        }
    }
    return values;
}

// One figure of a scenario, with its goal.
struct figure
{
    char const* name_;
    char const* goal_;
    bool (*is_met_)(double);
    std::function<double(std::array<result, 2> const&)> read_;
};

struct experiment
{
    char const* name_;
    scenario main_;
    scenario reference_; // the same load without the difficulty
    std::vector<figure> figures_;
};

double share_of(result const& from, filter const& among, filter const& counted)
{
    double all = 0;
    double hits = 0;
    for (auto const& record : from.requests_)
    {
        if (among(record))
        {
            all += 1;
            hits += counted(record) ? 1 : 0;
        }
    }
    return all > 0 ? hits / all : 0.0;
}

bool any(double)
{
    return true;
}

experiment crest()
{
    scenario what;
    what.classes_ = {short_load(0.8), low_load(0.2)};
    what.load_ = {{0, 0.3}, {2, 0.3}, {4, 1.5}, {14, 1.5}, {16, 0.3}};
    what.seconds_ = 30.0;
    auto const in_crest = [](request_record const& r)
    {
        return r.arrived_s_ >= crest_begin_s && r.arrived_s_ < crest_end_s;
    };
    auto const goodput = [](std::array<result, 2> const& runs)
    {
        double work = 0;
        for (auto const& r : runs[0].requests_)
        {
            bool const good = !r.refused_ && r.ended_s_ - r.arrived_s_ <= 1.0 &&
                              r.ended_s_ >= crest_begin_s + 1.0 &&
                              r.ended_s_ < crest_end_s;
            work += good ? r.service_s_ : 0.0;
        }
        auto const capacity =
            static_cast<double>(runs[0].busy_s_.size() * slots_per_target);
        return work / (capacity * (crest_end_s - crest_begin_s - 1.0));
    };
    auto const admitted = [in_crest](std::array<result, 2> const& runs)
    {
        return quantile(
            latencies(runs[0], [&](request_record const& r)
                      { return in_crest(r) && r.class_ == short_class; }),
            0.99);
    };
    auto const told = [in_crest](std::array<result, 2> const& runs)
    {
        return share_of(
            runs[0],
            [&](request_record const& r) { return r.refused_ && in_crest(r); },
            [](request_record const& r)
            { return r.ended_s_ - r.arrived_s_ <= refusal_goal_s; });
    };
    auto const refused = [in_crest](std::array<result, 2> const& runs)
    {
        return share_of(runs[0], in_crest,
                        [](request_record const& r) { return r.refused_; });
    };
    // Last answer that took five times a usual run, after the load fell.
    auto const normal = [](std::array<result, 2> const& runs)
    {
        double last = crest_end_s;
        for (auto const& r : runs[0].requests_)
        {
            bool const slow = r.refused_ || r.ended_s_ - r.arrived_s_ > 0.1;
            if (slow && r.arrived_s_ >= crest_end_s)
            {
                last = std::max(last, r.arrived_s_);
            }
        }
        return last - crest_end_s;
    };
    return {"crest: load 0.3 to 1.5 in 2 s, held 10 s, and back",
            what,
            {},
            {{"goodput / capacity", ">= 0.90",
              [](double v) { return v >= 0.9; }, goodput},
             {"p99 of admitted short, s", "<= 1.0",
              [](double v) { return v <= 1.0; }, admitted},
             {"refusals told within 50 ms", ">= 0.99",
              [](double v) { return v >= 0.99; }, told},
             {"share refused", "-", any, refused},
             {"s to normal", "-", any, normal}}};
}

experiment head_of_line()
{
    scenario what;
    what.classes_ = {short_load(0.95), straggler_load(0.05)};
    what.load_ = {{0, 0.7}};
    auto plain = what;
    plain.classes_ = {short_load(1.0), straggler_load(0.0)};
    auto const p99 = [](result const& from)
    {
        return quantile(latencies(from,
                                  [](request_record const& r) {
                                      return r.class_ == short_class &&
                                             r.arrived_s_ > warm_up_s;
                                  }),
                        0.99);
    };
    auto const stretch = [](std::array<result, 2> const& runs)
    {
        std::vector<double> values;
        for (auto const& r : runs[0].requests_)
        {
            if (r.class_ == long_class && !r.refused_ && r.service_s_ > 0)
            {
                values.push_back((r.ended_s_ - r.arrived_s_) / r.service_s_);
            }
        }
        return quantile(values, 0.99);
    };
    return {"head of line: 5% stragglers, 30 times as long, load 0.7",
            what,
            plain,
            {{"p99 short / without stragglers", "<= 1.5",
              [](double v) { return v <= 1.5; },
              [p99](std::array<result, 2> const& runs)
              {
                  return p99(runs[0]) / p99(runs[1]);
              }},
             {"p99 short, s", "-", any,
              [p99](std::array<result, 2> const& runs)
              {
                  return p99(runs[0]);
              }},
             {"p99 long / own run time", "-", any, stretch}}};
}

experiment unknown_stragglers()
{
    auto made = head_of_line();
    made.name_ = "head of line, stragglers that no class names";
    made.main_.classes_[long_class].config_ =
        made.main_.classes_[short_class].config_;
    return made;
}

experiment speeds()
{
    scenario what;
    what.classes_ = {short_load(1.0)};
    what.load_ = {{0, 0.7}};
    what.speeds_ = {0.4, 0.6, 0.8, 1.0, 1.2, 1.4, 1.6};
    auto const spread = [](std::array<result, 2> const& runs)
    {
        auto const& busy = runs[0].busy_s_;
        double sum = 0;
        for (auto const value : busy)
        {
            sum += value;
        }
        return *std::max_element(busy.begin(), busy.end()) *
               static_cast<double>(busy.size()) / sum;
    };
    auto const p99 = [](std::array<result, 2> const& runs)
    {
        return quantile(latencies(runs[0], [](auto const&) { return true; }),
                        0.99);
    };
    auto const refused = [](std::array<result, 2> const& runs)
    {
        return share_of(
            runs[0], [](auto const&) { return true; },
            [](request_record const& r) { return r.refused_; });
    };
    return {"speeds 1:4, load 0.7, flows spread evenly",
            what,
            {},
            {{"utilisation max / mean", "<= 1.10",
              [](double v) { return v <= 1.1; }, spread},
             {"p99, s", "-", any, p99},
             {"share refused", "-", any, refused}}};
}

experiment faulty(char const* name, fault kind)
{
    scenario what;
    what.classes_ = {short_load(1.0)};
    what.load_ = {{0, 0.6}};
    what.fault_ = kind;
    what.fault_at_s_ = fault_at_s;
    auto const after = [](request_record const& r)
    {
        return r.arrived_s_ >= fault_at_s;
    };
    auto const spoiled = [after](std::array<result, 2> const& runs)
    {
        return share_of(runs[0], after,
                        [](request_record const& r) {
                            return r.failed_ || r.refused_ ||
                                   r.ended_s_ - r.arrived_s_ > 0.1;
                        });
    };
    // End of the last 250 ms in which it started over a fifth of its share.
    auto const passed_over = [](std::array<result, 2> const& runs)
    {
        constexpr double window = 0.25;
        std::vector<double> starts(static_cast<std::size_t>(20.0 / window) + 1);
        auto all = starts;
        for (auto const& r : runs[0].requests_)
        {
            auto const since = r.started_s_ - fault_at_s;
            if (since >= 0 && since < 20.0)
            {
                auto const at = static_cast<std::size_t>(since / window);
                all[at] += 1;
                starts[at] += r.target_ == 0 ? 1 : 0;
            }
        }
        double last = 0;
        for (std::size_t i = 0; i < starts.size(); ++i)
        {
            auto const fair =
                all[i] / static_cast<double>(runs[0].busy_s_.size());
            if (starts[i] > fair / 5)
            {
                last = static_cast<double>(i + 1) * window;
            }
        }
        return last;
    };
    return {name,
            what,
            {},
            {{"share spoiled after the fault", "-", any, spoiled},
             {"s until passed over", "-", any, passed_over}}};
}

void print(experiment const& what, std::uint64_t seeds)
{
    std::printf("\n%s\n%-32s %-8s", what.name_, "", "goal");
    for (auto const* const name : strategy_names)
    {
        std::printf(" %12s", name);
    }
    std::printf("\n");
    std::vector<std::array<std::vector<double>, strategy_count>> values(
        what.figures_.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        for (std::size_t how = 0; how < strategy_count; ++how)
        {
            std::array<result, 2> runs;
            runs[0] = run(what.main_, static_cast<strategy>(how), seed);
            if (!what.reference_.classes_.empty())
            {
                runs[1] =
                    run(what.reference_, static_cast<strategy>(how), seed);
            }
            for (std::size_t i = 0; i < what.figures_.size(); ++i)
            {
                values[i][how].push_back(what.figures_[i].read_(runs));
            }
        }
    }
    for (std::size_t i = 0; i < what.figures_.size(); ++i)
    {
        auto const& read = what.figures_[i];
        std::printf("%-32s %-8s", read.name_, read.goal_);
        for (auto const& of_one : values[i])
        {
            std::printf(" %12.3f", quantile(of_one, 0.5));
        }
        bool const has_goal = read.goal_[0] != '-';
        bool const met = read.is_met_(quantile(values[i][0], 0.5));
        std::printf("  %s\n", !has_goal ? "" : met ? "met" : "NOT MET");
    }
}

void print_scale(std::uint64_t seeds)
{
    std::printf("\nsize of the service, speeds 1:4, load 0.7\n"
                "%-32s %12s %12s %12s\n",
                "targets", "messages/req", "ns/req", "p99 ms");
    for (std::size_t const times : {1U, 2U, 4U, 8U})
    {
        auto what = speeds().main_;
        what.targets_ *= times;
        what.seconds_ = 15.0;
        std::vector<double> messages;
        std::vector<double> cost;
        std::vector<double> p99;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            auto const out = run(what, strategy::product, seed);
            messages.push_back(static_cast<double>(out.messages_) /
                               static_cast<double>(out.requests_.size()));
            cost.push_back(out.decision_ns_);
            p99.push_back(quantile(
                latencies(out, [](auto const&) { return true; }), 0.99));
        }
        std::printf("%-32zu %12.3f %12.0f %12.1f\n", what.targets_,
                    quantile(messages, 0.5), quantile(cost, 0.5),
                    quantile(p99, 0.5) * 1e3);
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seeds = 9;
    CLI::App app("Policy of requests on virtual time, beside baselines");
    app.add_option("--seeds", seeds, "runs with seeds 1 to N; medians");
    CLI11_PARSE(app, argc, argv);
    std::printf("seeds 1 to %llu, 7 targets of 4 slots, hop 0.7 ms\n",
                static_cast<unsigned long long>(seeds));
    print(crest(), seeds);
    print(head_of_line(), seeds);
    print(unknown_stragglers(), seeds);
    print(speeds(), seeds);
    print(faulty("one target silently 10 times slower, load 0.6", fault::slow),
          seeds);
    print(faulty("one target fails fast, load 0.6", fault::fails_fast), seeds);
    print_scale(seeds);
    return 0;
}
