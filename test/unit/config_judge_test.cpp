// Tests of config_judge: it reports late, wrong and reverted versions of a
// configuration and accepts permitted outcomes.
#include "support/config_judge.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

time_point at(int ms)
{
    return time_point{} + milliseconds(ms);
}

// Route 1 leads to service a in version 3 and to service b in version 8. Route
// 2 exists in version 8 only.
config_judge make_judge()
{
    config_judge judge;
    judge.add({3, {{1, {"a"}}}, at(0), at(10)});
    judge.add({8, {{1, {"b"}}, {2, {"b"}}}, at(10'000), at(10'010)});
    return judge;
}

config_probe probe(int route, int sent_ms, std::optional<std::string> service)
{
    return {1, 1, route, at(sent_ms), at(sent_ms + 5), std::move(service)};
}

std::size_t violations_with(config_probe const& value)
{
    auto judge = make_judge();
    judge.add(value);
    return judge.violations().size();
}

} // namespace

TEST_CASE("a probe must match a version once its time to apply has passed")
{
    CHECK(violations_with(probe(1, 13'000, "a")) == 0);
    CHECK(violations_with(probe(1, 13'011, "a")) == 1);
    CHECK(violations_with(probe(1, 13'011, "b")) == 0);
    CHECK(violations_with(probe(1, 9'000, "b")) == 1);
    CHECK(violations_with(probe(1, 9'000, "a")) == 0);
}

TEST_CASE("an added route must be served and an unknown route refused")
{
    CHECK(violations_with(probe(2, 13'011, std::nullopt)) == 1);
    CHECK(violations_with(probe(2, 12'000, std::nullopt)) == 0);
    CHECK(violations_with(probe(2, 12'000, "b")) == 0);
    CHECK(violations_with(probe(3, 13'011, std::nullopt)) == 0);
    CHECK(violations_with(probe(3, 13'011, "a")) == 1);
}

TEST_CASE("a machine isn't checked until its recovery time has passed")
{
    auto judge = make_judge();
    judge.add_fault(config_judge::all_machines, at(11'000), at(12'000));
    judge.add(probe(1, 15'999, "a"));
    CHECK(judge.violations().empty());
    CHECK(judge.judged_probe_count() == 0);
    judge.add(probe(1, 16'001, "a"));
    CHECK(judge.violations().size() == 1);
    CHECK(judge.judged_probe_count() == 1);
}

TEST_CASE("a machine that showed a version must not show an older one")
{
    auto judge = make_judge();
    judge.add(probe(1, 10'100, "b"));
    judge.add(probe(1, 10'300, "a"));
    CHECK(judge.violations().empty());
    judge.add(probe(1, 10'400, "a"));
    CHECK(judge.violations().size() == 1);
}

TEST_CASE("a new process of a machine may show an older version at first")
{
    auto judge = make_judge();
    judge.add(probe(1, 10'100, "b"));
    auto later = probe(1, 10'900, "a");
    later.incarnation_ = 2;
    judge.add(later);
    CHECK(judge.violations().empty());
}

} // namespace daisytrail
