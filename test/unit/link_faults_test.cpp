// Tests of the link's fault model: loss, duplication, delay and bandwidth.
#include "support/link_faults.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

link_faults make_faults(boost::json::object const& settings)
{
    link_faults faults(7);
    change_settings(faults.settings_, settings);
    return faults;
}

constexpr link_faults::clock_time start{};

} // namespace

TEST_CASE("a link without faults delivers each packet without delay")
{
    auto faults = make_faults({});
    CHECK(faults.arrival_times(100, start) ==
          std::vector<link_faults::clock_time>{start});
}

TEST_CASE("loss and duplication follow their probabilities")
{
    CHECK(make_faults({{"loss", 1}}).arrival_times(1, start).empty());
    CHECK(make_faults({{"duplicate", 1}}).arrival_times(1, start).size() == 2);
    auto faults = make_faults({{"loss", 0.25}});
    int lost = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        lost += faults.arrival_times(1, start).empty() ? 1 : 0;
    }
    CHECK(lost > 2'300);
    CHECK(lost < 2'700);
}

TEST_CASE("the same seed gives the same faults")
{
    auto one = make_faults({{"loss", 0.5}, {"jitter_ms", 3}});
    auto two = make_faults({{"loss", 0.5}, {"jitter_ms", 3}});
    for (int i = 0; i < 100; ++i)
    {
        CHECK(one.arrival_times(1, start) == two.arrival_times(1, start));
    }
}

TEST_CASE("a cut link delivers no packets until the cut ends")
{
    auto faults = make_faults({{"cut", true}});
    CHECK(faults.arrival_times(1, start).empty());
    change_settings(faults.settings_, {{"cut", false}});
    CHECK(faults.arrival_times(1, start).size() == 1);
}

TEST_CASE("packets above the bandwidth are queued")
{
    auto faults = make_faults({{"bytes_per_second", 1'000}});
    CHECK(faults.arrival_times(500, start).front() == start + 500ms);
    CHECK(faults.arrival_times(500, start).front() == start + 1s);
    CHECK(faults.arrival_times(500, start + 5s).front() == start + 5s + 500ms);
}

TEST_CASE("jitter never reorders a stream")
{
    auto faults = make_faults({{"delay_ms", 1}, {"jitter_ms", 50}});
    auto last = start;
    for (int i = 0; i < 100; ++i)
    {
        auto const at = faults.stream_arrival_time(1, start + i * 1ms);
        CHECK(at >= last);
        last = at;
    }
}

TEST_CASE("a change with an invalid setting is rejected as a whole")
{
    link_settings settings;
    CHECK_THROWS_AS(change_settings(settings, {{"delay_ms", 5}, {"los", 1}}),
                    error);
    CHECK(settings.delay_ == 0us);
    CHECK_THROWS_AS(change_settings(settings, {{"loss", 1.5}}), error);
    CHECK_THROWS_AS(change_settings(settings, {{"loss", -0.1}}), error);
    CHECK_THROWS_AS(change_settings(settings, {{"cut", 1}}), error);
}
