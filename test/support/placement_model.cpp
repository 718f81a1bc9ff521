// Discrete-event simulation of placement.
#include "support/placement_model.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numbers>
#include <queue>
#include <random>

namespace daisytrail::test
{

namespace
{

constexpr double report_ms = 100;
constexpr double late_threshold_ms = 150;
constexpr double demand_period_ms = 5'000; // of the sinusoidal demand

struct request
{
    double arrived_ = 0;
    double work_ms_ = 0; // at speed 1
};

struct backend
{
    double speed_ = 1;
    std::deque<request> waiting_;
    std::uint32_t running_ = 0;
    double busy_ms_ = 0;
    forward_target target_;
};

struct event
{
    double at_ = 0;
    enum class kind : std::uint8_t
    {
        arrival,
        end,
        report
    } kind_ = kind::arrival;
    std::size_t backend_ = 0; // for `end`
    double arrived_ = 0;      // for `end`

    bool operator<(event const& other) const
    {
        return at_ > other.at_;
    }
};

time_point to_time(double ms)
{
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms))};
}

class model
{
public:
    model(placement_scenario const& scenario, placement_choice const& choose)
        : scenario_(scenario), choose_(choose), random_(scenario.seed_)
    {
        backends_.resize(scenario.speeds_.size());
        for (std::size_t i = 0; i < backends_.size(); ++i)
        {
            auto& value = backends_[i];
            value.speed_ = scenario.speeds_[i];
            value.target_.record_.target_ = hash_name("t" + std::to_string(i));
            value.target_.record_.slots_ = scenario.slots_;
            value.target_.record_.failure_domain_ = scenario.domains_[i];
            value.target_.record_.state_ = member_state::ready;
            value.target_.load_.accepts_ = true;
            members_.push_back(&value.target_);
        }
    }

    placement_outcome run()
    {
        events_.push({0, event::kind::arrival, 0, 0});
        events_.push({0, event::kind::report, 0, 0});
        while (!events_.empty() && events_.top().at_ < scenario_.duration_ms_)
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at_;
            handle(next);
        }
        return result();
    }

private:
    void handle(event const& value)
    {
        switch (value.kind_)
        {
        case event::kind::arrival:
            handle_arrival();
            break;
        case event::kind::end:
            end(value);
            break;
        case event::kind::report:
            report();
            break;
        }
    }

    double arrival_rate() const
    {
        auto const amplitude = scenario_.peak_ - 1;
        return scenario_.arrivals_per_ms_ *
               (1 + amplitude * std::sin(2 * std::numbers::pi * now_ /
                                         demand_period_ms));
    }

    void handle_arrival()
    {
        std::exponential_distribution<double> gap(arrival_rate());
        std::lognormal_distribution<double> work(
            std::log(scenario_.service_ms_) - 0.125, 0.5);
        auto const index = choose_(members_, random_(), to_time(now_));
        auto& chosen = backends_[index];
        ++chosen.target_.placed_since_report_;
        chosen.waiting_.push_back({now_, work(random_)});
        start(index);
        events_.push({now_ + gap(random_), event::kind::arrival, 0, 0});
    }

    void start(std::size_t index)
    {
        auto& value = backends_[index];
        while (value.running_ < scenario_.slots_ && !value.waiting_.empty())
        {
            auto const next = value.waiting_.front();
            value.waiting_.pop_front();
            ++value.running_;
            auto const run_ms = next.work_ms_ / value.speed_;
            value.busy_ms_ += run_ms;
            events_.push(
                {now_ + run_ms, event::kind::end, index, next.arrived_});
        }
    }

    void end(event const& value)
    {
        --backends_[value.backend_].running_;
        times_.push_back(now_ - value.arrived_);
        start(value.backend_);
    }

    void report()
    {
        for (auto& value : backends_)
        {
            auto& load = value.target_.load_;
            load.in_flight_ = static_cast<std::uint32_t>(value.running_ +
                                                         value.waiting_.size());
            load.mean_in_flight_ +=
                (load.in_flight_ - load.mean_in_flight_) / 10;
            load.service_micros_ = static_cast<std::uint32_t>(
                scenario_.service_ms_ * 1'000 / value.speed_);
            value.target_.has_report_ = true;
            value.target_.placed_since_report_ = 0;
        }
        events_.push({now_ + report_ms, event::kind::report, 0, 0});
    }

    placement_outcome result()
    {
        std::ranges::sort(times_);
        placement_outcome outcome;
        auto const count = times_.size();
        outcome.p50_ms_ = times_[count / 2];
        outcome.p99_ms_ = times_[count * 99 / 100];
        auto const late =
            times_.end() - std::ranges::upper_bound(times_, late_threshold_ms);
        outcome.late_share_ =
            static_cast<double>(late) / static_cast<double>(count);
        double total_busy_ms = 0;
        double max_busy_ms = 0;
        for (auto const& value : backends_)
        {
            total_busy_ms += value.busy_ms_;
            max_busy_ms = std::max(max_busy_ms, value.busy_ms_);
        }
        outcome.imbalance_ =
            max_busy_ms * static_cast<double>(backends_.size()) / total_busy_ms;
        return outcome;
    }

    placement_scenario const& scenario_;
    placement_choice const& choose_;
    std::mt19937_64 random_;
    std::vector<backend> backends_;
    forward_directory::target_list members_;
    std::priority_queue<event> events_;
    std::vector<double> times_; // to answer
    double now_ = 0;
};

std::size_t index_of(forward_directory::target_list const& members,
                     forward_target const* target)
{
    return static_cast<std::size_t>(std::ranges::find(members, target) -
                                    members.begin());
}

double requests_of(forward_target const& target)
{
    return target.load_.in_flight_ + target.placed_since_report_;
}

} // namespace

placement_outcome run_placement(placement_scenario const& scenario,
                                placement_choice const& choose)
{
    return model(scenario, choose).run();
}

placement_choice by_place_flow()
{
    return [](forward_directory::target_list const& members, std::uint64_t flow,
              time_point now)
    {
        placement_request request;
        request.flow_hash_ = flow;
        request.own_domain_ = "a";
        request.kilobytes_ = 0.1;
        request.now_ = now;
        return index_of(members, place_flow(members, request, {}));
    };
}

placement_choice by_hash()
{
    return [](forward_directory::target_list const& members, std::uint64_t flow,
              time_point)
    {
        return static_cast<std::size_t>(flow % members.size());
    };
}

placement_choice by_least_requests()
{
    return [](forward_directory::target_list const& members, std::uint64_t,
              time_point)
    {
        auto const least = std::ranges::min_element(
            members, {},
            [](forward_target const* value) { return requests_of(*value); });
        return static_cast<std::size_t>(least - members.begin());
    };
}

placement_choice by_two_choices()
{
    return [](forward_directory::target_list const& members, std::uint64_t flow,
              time_point)
    {
        auto const first = static_cast<std::size_t>(flow % members.size());
        auto const second =
            static_cast<std::size_t>((flow >> 32U) % members.size());
        return requests_of(*members[first]) <= requests_of(*members[second])
                   ? first
                   : second;
    };
}

} // namespace daisytrail::test
