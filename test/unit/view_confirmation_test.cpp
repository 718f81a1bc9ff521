// Tests of how a balancer makes sure that it knows every target.
#include "../support/control_fleet.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

constexpr milliseconds round_trip{6};

bool knows(process& balancer, std::string const& target)
{
    return balancer.balancer_->members().find(hash_name(target)) != nullptr;
}

// Asks every 100 ms, as the data path does; returns when the view as of now, or
// a later one, was confirmed.
std::optional<duration> confirm(control_fleet& fleet, process& balancer,
                                duration limit)
{
    auto const start = fleet.now();
    balancer.confirmed_.reset();
    auto const is_confirmed = [&]
    {
        return balancer.confirmed_ && *balancer.confirmed_ >= start;
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
    return balancer.confirmed_at_ - start;
}

std::string name(char kind, int index)
{
    return kind + std::to_string(index);
}

// A round of a balancer that knows 40 targets, with two of two others asked.
struct asked_round
{
    asked_round()
    {
        for (std::uint64_t peer : {1, 2})
        {
            add(peer, balancer_service);
        }
        for (std::uint64_t target = 101; target <= 140; ++target)
        {
            add(target, 7);
        }
        round_.want(now_);
        round_.asked(std::vector<std::uint64_t>{1, 2}, now_);
    }

    void add(std::uint64_t id, service_id service)
    {
        target_record record;
        record.target_ = id;
        record.service_ = service;
        table_.merge(record, now_);
    }

    // The peer knows what is known here but for these targets.
    view_answer answer(std::vector<std::uint64_t> const& different) const
    {
        view_answer result{round_.round(), table_.targets_hash(), true, {}};
        for (auto const id : different)
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

TEST_CASE("a target that a peer knows and doesn't name counts as known")
{
    asked_round open;
    open.round_.answered(1, open.answer({}));
    open.round_.answered(2, open.answer({150}));
    CHECK(!open.is_confirmed());
    open.add(150, 7);
    CHECK(open.is_confirmed());
}

TEST_CASE("a target that a young peer names counts as known")
{
    asked_round open;
    open.add(3, balancer_service);
    open.round_.asked(std::vector<std::uint64_t>{3}, open.now_);
    open.round_.answered(1, open.answer({}));
    open.round_.answered(2, open.answer({}));
    auto young = open.answer({101, 102, 150});
    young.can_confirm_ = false;
    young.latest_changes_ = {150};
    open.round_.answered(3, young);
    CHECK(!open.is_confirmed());
    open.add(150, 7);
    CHECK(open.is_confirmed());
}

TEST_CASE("known targets that a peer doesn't know yet keep a view open")
{
    asked_round open;
    open.round_.answered(1, open.answer({140, 139, 120}));
    CHECK(!open.is_confirmed());
    open.round_.answered(2, open.answer({}));
    CHECK(open.is_confirmed());
}

TEST_CASE("an answer to an earlier round counts")
{
    asked_round open;
    auto late = open.answer({});
    --late.round_;
    CHECK(!open.round_.answered(1, late));
    CHECK(!open.round_.answered(9, open.answer({})));
    open.round_.answered(2, open.answer({}));
    CHECK(!open.is_confirmed());
}

TEST_CASE("equal views take more than one round trip to confirm")
{
    for (int const balancers : {2, 3, 4, 18})
    {
        CAPTURE(balancers);
        control_fleet fleet(51);
        fill(fleet, balancers, 12);
        for (int i = 0; i < balancers; ++i)
        {
            auto const took =
                confirm(fleet, fleet.at(name('b', i)), seconds(1));
            REQUIRE(took);
            CHECK(*took <= round_trip);
        }
    }
}

// Seen: an open flow was reset by a balancer that heard of the flow's target
// 6.86 s after that target's start.
TEST_CASE("a balancer that missed the news of a target is confirmed")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed);
        fill(fleet, 8, 20);
        auto& behind = fleet.at("b0");
        behind.side_ = 1;
        fleet.add_agent("late", 7);
        fleet.run_for(milliseconds(900));
        REQUIRE(!knows(behind, "late"));
        behind.side_ = 0;
        auto const start = fleet.now();
        while (!behind.confirmed_ && fleet.now() < start + seconds(5))
        {
            fleet.confirm_view(behind);
            fleet.run_for(milliseconds(50));
        }
        REQUIRE(behind.confirmed_);
        CHECK(knows(behind, "late"));
        CHECK(behind.confirmed_at_ - start <= milliseconds(500));
    }
}

TEST_CASE("a balancer that missed more targets than are named is confirmed")
{
    control_fleet fleet(52);
    fill(fleet, 8, 20);
    auto& behind = fleet.at("b0");
    behind.side_ = 1;
    for (int i = 0; i < 40; ++i)
    {
        fleet.add_agent(name('n', i), 7);
    }
    fleet.run_for(milliseconds(900));
    behind.side_ = 0;
    auto const took = confirm(fleet, behind, seconds(5));
    REQUIRE(took);
    for (int i = 0; i < 40; ++i)
    {
        CHECK(knows(behind, name('n', i)));
    }
}

TEST_CASE("a balancer that is cut off is confirmed")
{
    control_fleet fleet(53);
    fill(fleet, 6, 12);
    auto& alone = fleet.at("b0");
    alone.side_ = 1;
    CHECK(!confirm(fleet, alone, seconds(20)));
    CHECK(alone.reports_[report_kind::view_unconfirmed] == 1);
    alone.side_ = 0;
    CHECK(confirm(fleet, alone, seconds(3)));
    fleet.run_for(milliseconds(100));
    CHECK(alone.reports_[report_kind::view_unconfirmed_ended] == 1);
}

TEST_CASE("two of a cut-off failure domain confirm each other's old view")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed);
        fill(fleet, 18, 20);
        for (auto const* cut : {"b0", "b1", "b2"})
        {
            fleet.at(cut).side_ = 1;
        }
        fleet.add_agent("late", 7);
        CHECK(!confirm(fleet, fleet.at("b0"), seconds(10)));
    }
}

TEST_CASE("a balancer that knows more than others is never confirmed")
{
    control_fleet fleet(54);
    fill(fleet, 4, 12);
    for (auto const* cut : {"b1", "b2", "b3"})
    {
        fleet.at(cut).side_ = 1;
    }
    fleet.add_agent("late", 7);
    fleet.run_for(milliseconds(900));
    for (auto const* cut : {"b1", "b2", "b3"})
    {
        fleet.at(cut).side_ = 0;
    }
    auto& ahead = fleet.at("b0");
    REQUIRE(knows(ahead, "late"));
    REQUIRE(!knows(fleet.at("b1"), "late"));
    auto const took = confirm(fleet, ahead, seconds(1));
    REQUIRE(took);
    CHECK(*took <= round_trip);
}

TEST_CASE("news that peers name costs more than two round trips")
{
    control_fleet fleet(55);
    fill(fleet, 4, 12);
    auto& behind = fleet.at("b3");
    behind.side_ = 1;
    fleet.add_agent("late", 7);
    fleet.run_for(milliseconds(900));
    REQUIRE(!knows(behind, "late"));
    behind.side_ = 0;
    auto const took = confirm(fleet, behind, seconds(1));
    REQUIRE(took);
    CHECK(knows(behind, "late"));
    CHECK(*took <= 2 * round_trip);
}

// Load pattern: the fleet of the large site on a day on which everything joins.
TEST_CASE("constant joins keep every view from being confirmed")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.01);
        fleet.limit_bytes(9'000);
        fill(fleet, 18, 60, "");
        for (int i = 0; i < 100; ++i)
        {
            fleet.add_agent(name('n', i), 7, "");
            auto& asker = fleet.at(name('b', i % 18));
            auto const took = confirm(fleet, asker, seconds(3));
            REQUIRE(took);
            CHECK(*took <= seconds(1));
        }
    }
}

TEST_CASE("targets that end in turn keep every view from being confirmed")
{
    control_fleet fleet(57, 0.01);
    fleet.limit_bytes(9'000);
    fill(fleet, 18, 60, "");
    for (int i = 0; i < 60; ++i)
    {
        fleet.publish(fleet.at(name('t', i)), member_state::left);
        fleet.add_agent(name('n', i), 7, "");
        auto const took =
            confirm(fleet, fleet.at(name('b', i % 18)), seconds(3));
        REQUIRE(took);
        CHECK(*took <= seconds(1));
    }
}

TEST_CASE("lost datagrams keep a view from being confirmed")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        control_fleet fleet(seed, 0.1);
        fill(fleet, 18, 20);
        auto const took = confirm(fleet, fleet.at("b0"), seconds(5));
        REQUIRE(took);
        CHECK(*took <= seconds(1));
    }
}

TEST_CASE("balancers whose turns come late are never confirmed")
{
    for (int const turn : {200, 400, 900})
    {
        CAPTURE(turn);
        control_fleet fleet(61, 0.01);
        fill(fleet, 18, 20);
        for (int i = 0; i < 6; ++i)
        {
            fleet.at(name('b', i)).turn_ = milliseconds(turn);
        }
        fleet.run_for(seconds(5));
        for (int i = 0; i < 18; ++i)
        {
            auto const took =
                confirm(fleet, fleet.at(name('b', i)), seconds(5));
            REQUIRE(took);
            CHECK(*took <= seconds(1) + 2 * milliseconds(turn));
        }
    }
}

TEST_CASE("a balancer that has just started confirms another one's view")
{
    control_fleet fleet(58);
    fill(fleet, 2, 12);
    fleet.restart_balancer("b1");
    CHECK(!confirm(fleet, fleet.at("b0"), seconds(3)));
    CHECK(confirm(fleet, fleet.at("b0"), seconds(6)));
}

TEST_CASE("a balancer that knows no other yet is confirmed by itself")
{
    control_fleet fleet(59);
    fill(fleet, 4, 12);
    auto& started = fleet.add_balancer("late");
    started.side_ = 1;
    CHECK(!confirm(fleet, started, seconds(4)));
}

TEST_CASE("the only balancer waits for others")
{
    control_fleet fleet(60);
    fill(fleet, 1, 4);
    auto const took = confirm(fleet, fleet.at("b0"), seconds(1));
    REQUIRE(took);
    CHECK(*took == duration{});
}

TEST_CASE("a round of questions costs more than 1 KB")
{
    constexpr std::size_t frame_bytes = 68;
    constexpr auto hash = 0xFEDC'BA98'7654'3210U;
    view_question const question{0x8000'0001, hash};
    view_answer answer{0x8000'0001, hash, true, {}};
    answer.latest_changes_.assign(targets_in_answer, hash);
    auto const bytes = 2 * frame_bytes + encode_control(question).size() +
                       encode_control(answer).size();
    CHECK(confirmation_peers * bytes <= 1'000);
}

TEST_CASE("a sum of vectors is found only if there is one")
{
    std::vector<std::uint64_t> vectors;
    for (std::uint64_t i = 1; i <= 34; ++i)
    {
        vectors.push_back(hash_identifier(i));
    }
    CHECK(is_sum_of(0, {}));
    CHECK(!is_sum_of(1, {}));
    CHECK(is_sum_of(vectors[3] ^ vectors[7] ^ vectors[33], vectors));
    for (std::uint64_t i = 100; i < 200; ++i)
    {
        CHECK(!is_sum_of(vectors[3] ^ hash_identifier(i), vectors));
    }
}
