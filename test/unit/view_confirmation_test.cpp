// Tests of view confirmation: whether a balancer knows every target that the
// other balancers know.
#include "../support/control_fleet.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

constexpr milliseconds round_trip{6};

bool has_target(process& balancer, std::string const& target)
{
    return balancer.balancer_->members().find(hash_name(target)) != nullptr;
}

// Requests a confirmation every 100 ms, as the data path does. Returns the time
// until the view was confirmed as of the call or later.
std::optional<duration> time_to_confirm(control_fleet& fleet, process& balancer,
                                        duration limit)
{
    auto const start = fleet.now();
    balancer.view_confirmed_as_of_.reset();
    auto const is_confirmed = [&]
    {
        return balancer.view_confirmed_as_of_ &&
               *balancer.view_confirmed_as_of_ >= start;
    };
    while (!is_confirmed() && fleet.now() < start + limit)
    {
        fleet.confirm_view(balancer);
        fleet.run_for(milliseconds(100));
    }
    if (!is_confirmed())
    {
        return std::nullopt;
    }
    return balancer.view_confirmed_at_ - start;
}

std::string name(char kind, int index)
{
    return kind + std::to_string(index);
}

// A running round of a balancer that knows 40 targets and has asked both other
// balancers.
struct open_round
{
    open_round()
    {
        for (std::uint64_t peer : {1, 2})
        {
            add(peer, balancer_service);
        }
        for (std::uint64_t target = 101; target <= 140; ++target)
        {
            add(target, 7);
        }
        round_.request_confirmation(now_);
        round_.record_questions(std::vector<std::uint64_t>{1, 2}, now_);
    }

    void add(std::uint64_t id, service_id service)
    {
        target_record record;
        record.target_ = id;
        record.service_ = service;
        table_.merge(record, now_);
    }

    // Answer of a peer whose target set differs from the table's in these ids.
    view_answer
    answer_differing_in(std::vector<std::uint64_t> const& differing) const
    {
        view_answer result{round_.round(), table_.targets_hash(), true, {}};
        for (auto const id : differing)
        {
            result.targets_hash_ ^= hash_identifier(id);
        }
        return result;
    }

    bool is_confirmed()
    {
        return round_.check(table_, 2, now_).has_value();
    }

    time_point now_{seconds(5)};
    member_table table_;
    view_confirmation round_{0};
};

} // namespace

TEST_CASE("an unknown target that a peer knows but doesn't list prevents "
          "confirmation")
{
    open_round fixture;
    fixture.round_.record_answer(1, fixture.answer_differing_in({}));
    fixture.round_.record_answer(2, fixture.answer_differing_in({150}));
    CHECK(!fixture.is_confirmed());
    fixture.add(150, 7);
    CHECK(fixture.is_confirmed());
}

TEST_CASE("an unknown target listed by a peer that just started prevents "
          "confirmation")
{
    open_round fixture;
    fixture.add(3, balancer_service);
    fixture.round_.record_questions(std::vector<std::uint64_t>{3},
                                    fixture.now_);
    fixture.round_.record_answer(1, fixture.answer_differing_in({}));
    fixture.round_.record_answer(2, fixture.answer_differing_in({}));
    auto unsettled = fixture.answer_differing_in({101, 102, 150});
    unsettled.can_confirm_ = false;
    unsettled.latest_changes_ = {150};
    fixture.round_.record_answer(3, unsettled);
    CHECK(!fixture.is_confirmed());
    fixture.add(150, 7);
    CHECK(fixture.is_confirmed());
}

TEST_CASE(
    "known targets that a peer doesn't know yet don't prevent confirmation")
{
    open_round fixture;
    fixture.round_.record_answer(1,
                                 fixture.answer_differing_in({140, 139, 120}));
    CHECK(!fixture.is_confirmed());
    fixture.round_.record_answer(2, fixture.answer_differing_in({}));
    CHECK(fixture.is_confirmed());
}

TEST_CASE("an answer to an earlier round is ignored")
{
    open_round fixture;
    auto late = fixture.answer_differing_in({});
    --late.round_;
    CHECK(!fixture.round_.record_answer(1, late));
    CHECK(!fixture.round_.record_answer(9, fixture.answer_differing_in({})));
    fixture.round_.record_answer(2, fixture.answer_differing_in({}));
    CHECK(!fixture.is_confirmed());
}

TEST_CASE("equal views are confirmed within one round trip")
{
    for (int const balancers : {2, 3, 4, 18})
    {
        CAPTURE(balancers);
        control_fleet fleet(51);
        build_fleet(fleet, balancers, 12);
        for (int i = 0; i < balancers; ++i)
        {
            auto const took =
                time_to_confirm(fleet, fleet.at(name('b', i)), seconds(1));
            REQUIRE(took);
            CHECK(*took <= round_trip);
        }
    }
}

// Regression: a balancer that learned of a target 6.86 s after the target's
// start reset an open flow of that target.
TEST_CASE("a balancer that missed a target is confirmed only once it knows it")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed);
        build_fleet(fleet, 8, 20);
        auto& behind = fleet.at("b0");
        behind.partition_ = 1;
        fleet.add_agent("late", 7);
        fleet.run_for(milliseconds(900));
        REQUIRE(!has_target(behind, "late"));
        behind.partition_ = 0;
        auto const start = fleet.now();
        while (!behind.view_confirmed_as_of_ &&
               fleet.now() < start + seconds(5))
        {
            fleet.confirm_view(behind);
            fleet.run_for(milliseconds(50));
        }
        REQUIRE(behind.view_confirmed_as_of_);
        CHECK(has_target(behind, "late"));
        CHECK(behind.view_confirmed_at_ - start <= milliseconds(500));
    }
}

TEST_CASE(
    "a balancer that missed more targets than an answer lists learns them all")
{
    control_fleet fleet(52);
    build_fleet(fleet, 8, 20);
    auto& behind = fleet.at("b0");
    behind.partition_ = 1;
    for (int i = 0; i < 40; ++i)
    {
        fleet.add_agent(name('n', i), 7);
    }
    fleet.run_for(milliseconds(900));
    behind.partition_ = 0;
    auto const took = time_to_confirm(fleet, behind, seconds(5));
    REQUIRE(took);
    for (int i = 0; i < 40; ++i)
    {
        CHECK(has_target(behind, name('n', i)));
    }
}

TEST_CASE("the view of an isolated balancer isn't confirmed")
{
    control_fleet fleet(53);
    build_fleet(fleet, 6, 12);
    auto& isolated = fleet.at("b0");
    isolated.partition_ = 1;
    CHECK(!time_to_confirm(fleet, isolated, seconds(20)));
    CHECK(isolated.reports_[report_kind::view_unconfirmed] == 1);
    isolated.partition_ = 0;
    CHECK(time_to_confirm(fleet, isolated, seconds(3)));
    fleet.run_for(milliseconds(100));
    CHECK(isolated.reports_[report_kind::view_unconfirmed_ended] == 1);
}

TEST_CASE(
    "balancers of an isolated failure domain don't confirm each other's view")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed);
        build_fleet(fleet, 18, 20);
        for (auto const* cut : {"b0", "b1", "b2"})
        {
            fleet.at(cut).partition_ = 1;
        }
        fleet.add_agent("late", 7);
        CHECK(!time_to_confirm(fleet, fleet.at("b0"), seconds(10)));
    }
}

TEST_CASE("a balancer that knows more targets than others is confirmed")
{
    control_fleet fleet(54);
    build_fleet(fleet, 4, 12);
    for (auto const* cut : {"b1", "b2", "b3"})
    {
        fleet.at(cut).partition_ = 1;
    }
    fleet.add_agent("late", 7);
    fleet.run_for(milliseconds(900));
    for (auto const* cut : {"b1", "b2", "b3"})
    {
        fleet.at(cut).partition_ = 0;
    }
    auto& ahead = fleet.at("b0");
    REQUIRE(has_target(ahead, "late"));
    REQUIRE(!has_target(fleet.at("b1"), "late"));
    auto const took = time_to_confirm(fleet, ahead, seconds(1));
    REQUIRE(took);
    CHECK(*took <= round_trip);
}

TEST_CASE("a missing target that peers list is learned within two round trips")
{
    control_fleet fleet(55);
    build_fleet(fleet, 4, 12);
    auto& behind = fleet.at("b3");
    behind.partition_ = 1;
    fleet.add_agent("late", 7);
    fleet.run_for(milliseconds(900));
    REQUIRE(!has_target(behind, "late"));
    behind.partition_ = 0;
    auto const took = time_to_confirm(fleet, behind, seconds(1));
    REQUIRE(took);
    CHECK(has_target(behind, "late"));
    CHECK(*took <= 2 * round_trip);
}

// Load pattern: in the fleet of the large site, targets join continuously.
TEST_CASE("views are confirmed within 1 s while targets join")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.01);
        fleet.limit_control_bytes(9'000);
        build_fleet(fleet, 18, 60, "");
        for (int i = 0; i < 100; ++i)
        {
            fleet.add_agent(name('n', i), 7, "");
            auto& asker = fleet.at(name('b', i % 18));
            auto const took = time_to_confirm(fleet, asker, seconds(3));
            REQUIRE(took);
            CHECK(*took <= seconds(1));
        }
    }
}

TEST_CASE("views are confirmed within 1 s while targets are replaced")
{
    control_fleet fleet(57, 0.01);
    fleet.limit_control_bytes(9'000);
    build_fleet(fleet, 18, 60, "");
    for (int i = 0; i < 60; ++i)
    {
        fleet.publish(fleet.at(name('t', i)), member_state::left);
        fleet.add_agent(name('n', i), 7, "");
        auto const took =
            time_to_confirm(fleet, fleet.at(name('b', i % 18)), seconds(3));
        REQUIRE(took);
        CHECK(*took <= seconds(1));
    }
}

TEST_CASE("a view is confirmed within 1 s although datagrams are lost")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.1);
        build_fleet(fleet, 18, 20);
        auto const took = time_to_confirm(fleet, fleet.at("b0"), seconds(5));
        REQUIRE(took);
        CHECK(*took <= seconds(1));
    }
}

TEST_CASE("views are confirmed although some balancers are starved")
{
    for (int const turn : {200, 400, 900})
    {
        CAPTURE(turn);
        control_fleet fleet(61, 0.01);
        build_fleet(fleet, 18, 20);
        for (int i = 0; i < 6; ++i)
        {
            fleet.at(name('b', i)).turn_interval_ = milliseconds(turn);
        }
        fleet.run_for(seconds(5));
        for (int i = 0; i < 18; ++i)
        {
            auto const took =
                time_to_confirm(fleet, fleet.at(name('b', i)), seconds(5));
            REQUIRE(took);
            CHECK(*took <= seconds(1) + 2 * milliseconds(turn));
        }
    }
}

TEST_CASE("a balancer that has just started confirms no other balancer's view")
{
    control_fleet fleet(58);
    build_fleet(fleet, 2, 12);
    fleet.restart_balancer("b1");
    CHECK(!time_to_confirm(fleet, fleet.at("b0"), seconds(3)));
    CHECK(time_to_confirm(fleet, fleet.at("b0"), seconds(6)));
}

TEST_CASE(
    "a new balancer that knows no other balancer doesn't confirm its own view")
{
    control_fleet fleet(59);
    build_fleet(fleet, 4, 12);
    auto& started = fleet.add_balancer("late");
    started.partition_ = 1;
    CHECK(!time_to_confirm(fleet, started, seconds(4)));
}

TEST_CASE("the only balancer confirms its view at once")
{
    control_fleet fleet(60);
    build_fleet(fleet, 1, 4);
    auto const took = time_to_confirm(fleet, fleet.at("b0"), seconds(1));
    REQUIRE(took);
    CHECK(*took == duration{});
}

TEST_CASE("a round of questions and answers takes at most 1 KB")
{
    constexpr std::size_t frame_bytes = 68;
    constexpr auto hash = 0xFEDC'BA98'7654'3210U;
    view_question const question{0x8000'0001, hash};
    view_answer answer{0x8000'0001, hash, true, {}};
    answer.latest_changes_.assign(max_targets_in_answer, hash);
    auto const bytes = 2 * frame_bytes + encode_control(question).size() +
                       encode_control(answer).size();
    CHECK(confirmation_fanout * bytes <= 1'000);
}

TEST_CASE("an XOR of a subset of vectors is recognised")
{
    std::vector<std::uint64_t> vectors;
    for (std::uint64_t i = 1; i <= 34; ++i)
    {
        vectors.push_back(hash_identifier(i));
    }
    CHECK(is_xor_of_subset(0, {}));
    CHECK(!is_xor_of_subset(1, {}));
    CHECK(is_xor_of_subset(vectors[3] ^ vectors[7] ^ vectors[33], vectors));
    for (std::uint64_t i = 100; i < 200; ++i)
    {
        CHECK(!is_xor_of_subset(vectors[3] ^ hash_identifier(i), vectors));
    }
}
