// Tests of the choice of targets by weighted rendezvous hashing.
#include "../support/choice_digest.hpp"

#include <daisytrail/forwarding.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <unordered_map>

using namespace daisytrail;

namespace
{

target_id first_of(service_table const& table, std::uint64_t flow)
{
    return table.pick(flow).candidates_[0].target_;
}

// Largest ratio of a member's flows to the flows in proportion to its weight.
double imbalance(std::vector<table_member> const& members, std::uint32_t flows)
{
    auto const table = service_table::from_members(members);
    std::unordered_map<target_id, double> counts;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        counts[first_of(table, nth_flow(i))] += 1.0;
    }
    double total = 0.0;
    for (auto const& member : members)
    {
        total += member.weight_;
    }
    double worst = 0.0;
    for (auto const& member : members)
    {
        double const fair_count = flows * member.weight_ / total;
        worst = std::max(worst, counts[member.candidate_.target_] / fair_count);
    }
    return worst;
}

} // namespace

TEST_CASE("an empty service has no candidates")
{
    CHECK(service_table({}).pick(1).size_ == 0);
}

TEST_CASE("the candidates of one to three targets hold each target once")
{
    for (std::size_t size = 1; size <= 3; ++size)
    {
        auto const table = service_table::from_members(make_members(size));
        for (std::uint32_t i = 0; i < 100; ++i)
        {
            auto const candidates = table.pick(nth_flow(i));
            std::set<target_id> targets;
            for (auto const& value : candidates.view())
            {
                targets.insert(value.target_);
            }
            CHECK(candidates.size_ == size);
            CHECK(targets.size() == size);
            CHECK(candidates.candidates_[size] == candidate{});
        }
    }
}

TEST_CASE("candidates hold no target twice in services of any size")
{
    for (std::size_t const size : {5, 32, 64, 65, 96, 128, 129, 300, 3'000})
    {
        auto const table = service_table::from_members(make_members(size));
        for (std::uint32_t i = 0; i < 500; ++i)
        {
            auto const candidates = table.pick(nth_flow(i));
            std::set<target_id> targets;
            for (auto const& value : candidates.view())
            {
                targets.insert(value.target_);
            }
            CHECK(candidates.size_ == max_candidates);
            CHECK(targets.size() == candidates.size_);
        }
    }
}

TEST_CASE("members whose ids share their upper bits all get flows")
{
    std::vector<table_member> members = make_members(600);
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        members[i].candidate_.target_ = i + 1; // all in one leaf of the tree
    }
    auto const table = service_table::from_members(members);
    std::set<target_id> reached;
    for (std::uint32_t i = 0; i < 20'000; ++i)
    {
        reached.insert(first_of(table, nth_flow(i)));
    }
    CHECK(reached.size() == members.size());
}

TEST_CASE("members are sorted by target")
{
    auto const table = service_table::from_members(make_members(100));
    CHECK(std::ranges::is_sorted(table.members(), {}, &candidate::target_));
}

TEST_CASE("flows are spread in proportion to the weights")
{
    CHECK(imbalance(make_members(3), 20'000) < 1.15);
    CHECK(imbalance(make_members(7), 20'000) < 1.15);
    CHECK(imbalance(make_members(7, {4, 1}), 20'000) < 1.15);
    CHECK(imbalance(make_members(40, {4, 1}), 100'000) < 1.15);
    CHECK(imbalance(make_members(200, {4, 1}), 400'000) < 1.15);
}

TEST_CASE("the order of the members doesn't change the candidates")
{
    auto members = make_members(7, {4, 1});
    auto const forward = service_table::from_members(members);
    std::ranges::reverse(members);
    auto const backward = service_table::from_members(members);
    for (std::uint64_t flow = 0; flow < 1'000; ++flow)
    {
        CHECK(forward.pick(flow).candidates_ ==
              backward.pick(flow).candidates_);
    }
}

TEST_CASE("a target that leaves moves only its own flows")
{
    auto members = make_members(7, {4, 1});
    auto const before = service_table::from_members(members);
    auto const gone = members.back().candidate_.target_;
    members.pop_back();
    auto const after = service_table::from_members(members);
    for (std::uint64_t flow = 0; flow < 10'000; ++flow)
    {
        auto const first = before.pick(flow).candidates_[0].target_;
        if (first != gone)
        {
            CHECK(after.pick(flow).candidates_[0].target_ == first);
        }
    }
}

TEST_CASE("every build makes the same choices")
{
    CHECK(choice_digest(500) == 0xd7694dc98ed7b4e4ULL);
}

TEST_CASE("a join that switches flows to the tree keeps most flows in place")
{
    constexpr std::uint32_t flows = 5'000;
    for (std::size_t size = min_flat_limit; size <= max_flat_limit; ++size)
    {
        auto const before = service_table::from_members(make_members(size));
        auto const after = service_table::from_members(make_members(size + 1));
        std::uint32_t moved = 0;
        for (std::uint32_t i = 0; i < flows; ++i)
        {
            moved +=
                first_of(before, nth_flow(i)) != first_of(after, nth_flow(i));
        }
        CHECK(moved < flows / 8);
    }
}

TEST_CASE("some candidate takes new work if any member does")
{
    for (std::size_t const size : {6, 50, 500})
    {
        auto members = make_members(size);
        for (auto& member : members)
        {
            member.candidate_.state_ = member_state::draining;
        }
        members[3].candidate_.state_ = member_state::joining;
        auto const table = service_table::from_members(members);
        for (std::uint32_t i = 0; i < 500; ++i)
        {
            auto const candidates = table.pick(nth_flow(i));
            CHECK(std::ranges::any_of(candidates.view(),
                                      [](candidate const& value) {
                                          return takes_new_work(value.state_);
                                      }));
        }
    }
}

TEST_CASE("a member that begins to drain keeps its rank")
{
    auto members = make_members(7);
    auto const before = service_table::from_members(members);
    members[2].candidate_.state_ = member_state::draining;
    auto const after = service_table::from_members(members);
    for (std::uint32_t i = 0; i < 1'000; ++i)
    {
        CHECK(first_of(before, nth_flow(i)) == first_of(after, nth_flow(i)));
    }
}

TEST_CASE("members that left, are dead or have weight 0 aren't candidates")
{
    auto members = make_members(3);
    members[0].candidate_.state_ = member_state::left;
    members[1].candidate_.state_ = member_state::dead;
    members[2].weight_ = 0;
    CHECK(service_table::from_members(members).pick(1).size_ == 0);
}
