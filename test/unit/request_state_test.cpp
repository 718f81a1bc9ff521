// Tests of the request's state machine and its table of outcomes.
#include <daisytrail/error.hpp>
#include <daisytrail/request_state.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

TEST_CASE("a request that was never started may be called not run")
{
    request_state state(false);
    state.enqueue();
    state.reserve();
    CHECK(state.settle(request_outcome::shed) == request_outcome::shed);
}

TEST_CASE("after the start a wanted not-run outcome becomes lost")
{
    request_state state(false);
    state.enqueue();
    state.start();
    CHECK(state.settle(request_outcome::no_backend) == request_outcome::lost);
}

TEST_CASE("a withdrawn start may be called not run")
{
    request_state state(false);
    state.enqueue();
    state.start();
    state.withdraw();
    CHECK(state.settle(request_outcome::refused_by_backend) ==
          request_outcome::refused_by_backend);
}

TEST_CASE("a repeatable request that was lost once may have run")
{
    request_state state(true);
    state.enqueue();
    state.start();
    state.repeat();
    CHECK(state.settle(request_outcome::deadline_passed) ==
          request_outcome::lost);
}

TEST_CASE("an order never starts twice")
{
    request_state state(false);
    state.enqueue();
    state.start();
    CHECK_THROWS_AS(state.start(), error);
    CHECK_THROWS_AS(state.repeat(), error);
    CHECK_THROWS_AS(state.enqueue(), error);
    CHECK(state.starts() == 1);
}

TEST_CASE("a request has one outcome")
{
    request_state state(false);
    state.settle(request_outcome::malformed);
    CHECK_THROWS_AS(state.settle(request_outcome::answered), error);
}

TEST_CASE("unknown outcomes never look like refusals")
{
    for (auto const& answer : outcome_answers)
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
