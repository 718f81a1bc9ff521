// Replays the return of power after all VMs lost it: the backlog of all callers
// meets backend servers that have just started.
#include "support/recovery_model.hpp"

#include <doctest/doctest.h>

#include <cstdint>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

recovery_outcome replay(std::uint64_t seed, bool queues_syns,
                        duration first_placement_delay = 60ms)
{
    recovery_scenario scenario;
    scenario.seed_ = seed;
    scenario.queues_syns_ = queues_syns;
    scenario.first_placement_delay_ = first_placement_delay;
    return run_recovery(scenario);
}

double unserved_share(recovery_outcome const& outcome)
{
    return static_cast<double>(outcome.unserved_) /
           static_cast<double>(outcome.asked_);
}

} // namespace

// The backend servers run enough requests to serve every caller before its
// deadline. Full ones refused requests instead, and each refusal used up one of
// a caller's attempts.
TEST_CASE("agents that queue SYNs bring callers through a power failure")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        auto const queued = replay(seed, true);
        CHECK(queued.refusals_ == 0);
        CHECK(unserved_share(queued) <= 0.01);
        auto const unqueued = replay(seed, false);
        CHECK(unqueued.refusals_ > 0);
        CHECK(queued.unserved_ < unqueued.unserved_ / 4);
    }
}

// Balancers that learned of the targets late dropped the SYNs of callers, and
// the backlog grew meanwhile.
TEST_CASE("balancers that place flows at once leave a smaller backlog")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        auto const at_once = replay(seed, true);
        auto const late = replay(seed, true, 470ms);
        CHECK(at_once.unserved_ < late.unserved_);
        CHECK(at_once.on_time_ > late.on_time_);
    }
}
