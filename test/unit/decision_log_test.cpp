// Test of the rate limit for log lines about single flows.
#include "forward/decision_log.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

int admitted(decision_log& log, line_priority priority, time_point now)
{
    constexpr int tries = 1'000;
    int result = 0;
    for (int i = 0; i < tries; ++i)
    {
        result += log.admit(now, priority) ? 1 : 0;
    }
    return result;
}

} // namespace

// Guards against routine lines, as of searches, using up the budget for
// important lines, as of resets.
TEST_CASE("routine lines don't suppress important lines")
{
    decision_log log;
    auto const routine = admitted(log, line_priority::routine, start);
    auto const important = admitted(log, line_priority::important, start);
    CHECK(important > 0);
    CHECK(routine + important == 200);
    auto const later = start + std::chrono::seconds(10);
    CHECK(admitted(log, line_priority::important, later) == 200);
    CHECK(admitted(log, line_priority::routine, later) == 0);
}
