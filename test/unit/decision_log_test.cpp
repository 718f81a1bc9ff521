// The budget of log lines about single flows.
#include "forward/decision_log.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};

int admitted(decision_log& log, line_rank rank, time_point now)
{
    constexpr int tries = 1'000;
    int result = 0;
    for (int i = 0; i < tries; ++i)
    {
        result += log.admit(now, rank) ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("lines of searches suppressed the lines of resets")
{
    decision_log log;
    auto const routine = admitted(log, line_rank::routine, start);
    auto const vital = admitted(log, line_rank::vital, start);
    CHECK(vital > 0);
    CHECK(routine + vital == 200);
    auto const later = start + std::chrono::seconds(10);
    CHECK(admitted(log, line_rank::vital, later) == 200);
    CHECK(admitted(log, line_rank::routine, later) == 0);
}
