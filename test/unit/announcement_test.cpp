// Tests of the announcements of a backend server and of the weight ramp.
#include "agent/announcement.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

announcement make_announcement(backend_state state = backend_state::ready)
{
    return {{0x7F000001, 9'001}, 4, 2'000, state};
}

} // namespace

TEST_CASE("an announcement is parsed")
{
    auto const value = parse_announcement(
        R"({"address":"127.0.0.1:9001","slots":4,"connections":2000,)"
        R"("state":"draining"})");
    CHECK(value.address_ == endpoint{0x7F000001, 9'001});
    CHECK(value.slots_ == 4);
    CHECK(value.connections_ == 2'000);
    CHECK(value.state_ == backend_state::draining);
}

TEST_CASE("a malformed announcement is refused")
{
    for (
        auto const* text :
        {"", "[]", "{}", R"({"address":"127.0.0.1:9001"})",
         R"({"address":"x","slots":4,"connections":1,"state":"ready"})",
         R"({"address":"127.0.0.1:1","slots":0,"connections":1,"state":"ready"})",
         R"({"address":"127.0.0.1:1","slots":4,"connections":1,"state":"up"})"})
    {
        CHECK_THROWS_AS(parse_announcement(text), error const&);
    }
}

TEST_CASE("a target takes no work before its backend server has announced")
{
    backend_monitor const monitor;
    CHECK(monitor.make_target_status(start, false).state_ ==
          member_state::draining);
    CHECK(!monitor.status(start).ready_);
}

TEST_CASE("the weight of a new target grows in four steps")
{
    backend_monitor monitor;
    std::vector<std::uint32_t> weights;
    for (auto at = start; at < start + 15s; at += 1s)
    {
        monitor.on_announcement(make_announcement(), at);
        auto const weight = monitor.make_target_status(at, false).weight_;
        if (weights.empty() || weights.back() != weight)
        {
            weights.push_back(weight);
        }
    }
    CHECK(weights == std::vector<std::uint32_t>{4, 8, 12, 16});
    CHECK(monitor.make_target_status(start + 15s, false).state_ ==
          member_state::ready);
}

TEST_CASE(
    "a backend server that sends no heartbeat for three seconds is not ready")
{
    backend_monitor monitor;
    monitor.on_announcement(make_announcement(), start);
    CHECK(monitor.status(start + 2'999ms).ready_);
    CHECK(!monitor.status(start + 3s).ready_);
    CHECK(monitor.make_target_status(start + 3s, false).state_ ==
          member_state::draining);
}

TEST_CASE("a draining backend server stays ready for its open connections")
{
    backend_monitor monitor;
    monitor.on_announcement(make_announcement(backend_state::draining), start);
    CHECK(monitor.status(start).ready_);
    CHECK(monitor.make_target_status(start, false).state_ ==
          member_state::draining);
}

TEST_CASE("a backend server that has left is not ready")
{
    backend_monitor monitor;
    monitor.on_announcement(make_announcement(), start);
    monitor.on_announcement(make_announcement(backend_state::left), start);
    CHECK(!monitor.status(start).ready_);
}

TEST_CASE("a stopping agent drains even if its backend server is ready")
{
    backend_monitor monitor;
    monitor.on_announcement(make_announcement(), start);
    CHECK(monitor.make_target_status(start, true).state_ ==
          member_state::draining);
}
