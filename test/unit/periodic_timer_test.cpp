// Tests of the periodic timer.
#include "net/periodic_timer.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace daisytrail;

namespace
{

constexpr std::chrono::milliseconds interval{1};

} // namespace

TEST_CASE("the task runs until it stops its timer")
{
    boost::asio::io_context io;
    int calls = 0;
    std::optional<periodic_timer> timer;
    timer.emplace(io, interval,
                  [&]
                  {
                      if (++calls == 3)
                      {
                          timer->stop();
                      }
                  });
    timer->start();
    io.run();
    CHECK(calls == 3);
}

TEST_CASE("the task may destroy its timer")
{
    boost::asio::io_context io;
    int calls = 0;
    std::optional<periodic_timer> timer;
    timer.emplace(io, interval,
                  [&]
                  {
                      ++calls;
                      timer.reset();
                  });
    timer->start();
    io.run();
    CHECK(calls == 1);
}

TEST_CASE("a queued expiry of a destroyed timer doesn't call the task")
{
    boost::asio::io_context io;
    int calls = 0;
    std::optional<periodic_timer> first;
    std::optional<periodic_timer> second;
    // Both timers expire before the loop runs, so that the expiry of one timer
    // is queued when the task of the other destroys it.
    first.emplace(io, interval,
                  [&]
                  {
                      ++calls;
                      second.reset();
                      first->stop();
                  });
    second.emplace(io, interval,
                   [&]
                   {
                       ++calls;
                       first.reset();
                       second->stop();
                   });
    first->start();
    second->start();
    auto const busy_until = std::chrono::steady_clock::now() + 2 * interval;
    while (std::chrono::steady_clock::now() < busy_until)
    {
    }
    io.run();
    CHECK(calls == 1);
}

TEST_CASE("the lateness of a delayed task is reported")
{
    boost::asio::io_context io;
    duration lateness{};
    std::optional<periodic_timer> timer;
    timer.emplace(io, interval,
                  [&]
                  {
                      lateness = timer->lateness();
                      timer->stop();
                  });
    timer->start();
    auto const busy_until = std::chrono::steady_clock::now() + 4 * interval;
    while (std::chrono::steady_clock::now() < busy_until)
    {
    }
    io.run();
    CHECK(lateness >= 2 * interval);
}

TEST_CASE("a second start has no effect")
{
    boost::asio::io_context io;
    int calls = 0;
    std::optional<periodic_timer> timer;
    timer.emplace(io, interval,
                  [&]
                  {
                      ++calls;
                      timer->stop();
                  });
    timer->start();
    timer->start();
    io.run();
    CHECK(calls == 1);
}
