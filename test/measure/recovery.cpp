// Recovery after a power failure of all VMs, on virtual time: with SYNs queued
// by agents and without, and with balancers that place flows at once or late.
#include "support/recovery_model.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

struct variant
{
    char const* name_;
    bool queues_syns_;
    duration first_placement_delay_;
};

constexpr std::array variants{
    variant{"no queue, placed after 470 ms", false, 470ms},
    variant{"no queue, placed after 60 ms", false, 60ms},
    variant{"queue, placed after 470 ms", true, 470ms},
    variant{"queue, placed after 60 ms", true, 60ms},
};

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

void measure(variant const& which, double arrivals_per_second)
{
    constexpr std::uint64_t seeds = 10;
    recovery_outcome sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        recovery_scenario scenario;
        scenario.queues_syns_ = which.queues_syns_;
        scenario.first_placement_delay_ = which.first_placement_delay_;
        scenario.arrivals_per_second_ = arrivals_per_second;
        scenario.seed_ = seed;
        auto const outcome = run_recovery(scenario);
        sum.asked_ += outcome.asked_;
        sum.on_time_ += outcome.on_time_;
        sum.late_ += outcome.late_;
        sum.unserved_ += outcome.unserved_;
        sum.refusals_ += outcome.refusals_;
        sum.expired_attempts_ += outcome.expired_attempts_;
        sum.time_to_normal_ += outcome.time_to_normal_;
    }
    auto const normal =
        std::chrono::duration<double>(sum.time_to_normal_).count() / seeds;
    std::printf("%-30s %5.0f/s  on time %.3f  late %.3f  unserved %.4f  "
                "refusals %6zu  attempts lost %6zu  normal after %.2f s\n",
                which.name_, arrivals_per_second,
                share(sum.on_time_, sum.asked_), share(sum.late_, sum.asked_),
                share(sum.unserved_, sum.asked_), sum.refusals_,
                sum.expired_attempts_, normal);
}

} // namespace

int main()
{
    for (auto const arrivals_per_second : {320.0, 400.0, 460.0})
    {
        for (auto const& which : variants)
        {
            measure(which, arrivals_per_second);
        }
    }
}
