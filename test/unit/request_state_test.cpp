// Tests of the state machine of requests and of the table of outcomes.
#include <daisytrail/error.hpp>
#include <daisytrail/request_state.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

TEST_CASE("a request that was never started may end with a not-run outcome")
{
    request_state state(false);
    state.enqueue();
    state.reserve();
    CHECK(state.settle(request_outcome::shed) == request_outcome::shed);
}

TEST_CASE("a not-run outcome that is requested after the start becomes lost")
{
    request_state state(false);
    state.enqueue();
    state.start();
    CHECK(state.settle(request_outcome::no_backend) == request_outcome::lost);
}

TEST_CASE("a withdrawn request may end with a not-run outcome")
{
    request_state state(false);
    state.enqueue();
    state.start();
    state.withdraw();
    CHECK(state.settle(request_outcome::refused_by_backend) ==
          request_outcome::refused_by_backend);
}

TEST_CASE("a not-run outcome becomes lost if an earlier run was lost")
{
    request_state state(true);
    state.enqueue();
    state.start();
    state.repeat();
    CHECK(state.settle(request_outcome::deadline_passed) ==
          request_outcome::lost);
}

TEST_CASE("a request that isn't repeatable never starts twice")
{
    request_state state(false);
    state.enqueue();
    state.start();
    CHECK_THROWS_AS(state.start(), error);
    CHECK_THROWS_AS(state.repeat(), error);
    CHECK_THROWS_AS(state.enqueue(), error);
    CHECK(state.starts() == 1);
}

TEST_CASE("a second outcome of a request is rejected")
{
    request_state state(false);
    state.settle(request_outcome::malformed);
    CHECK_THROWS_AS(state.settle(request_outcome::answered), error);
}

TEST_CASE("the statuses of unknown and not-run outcomes differ")
{
    for (auto const& answer : outcome_responses)
    {
        if (answer.verdict_ == outcome_verdict::unknown)
        {
            CHECK(answer.status_ != 503);
            CHECK(answer.advice_ != retry_advice::later);
        }
        if (answer.verdict_ == outcome_verdict::not_run)
        {
            CHECK(answer.status_ != 502);
            CHECK(answer.status_ != 504);
        }
    }
}
