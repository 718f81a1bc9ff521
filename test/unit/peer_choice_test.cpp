// Tests of the selection of peers for an offer.
#include <daisytrail/peer_choice.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace daisytrail;
using std::chrono::milliseconds;

namespace
{

time_point at(std::int64_t ms)
{
    return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

peer_choice make_peers(target_id count)
{
    peer_choice peers;
    for (target_id id = 1; id <= count; ++id)
    {
        peers.add(id, 4, at(0) - std::chrono::minutes(1));
    }
    return peers;
}

// Counts how often each peer is ranked first in an offer.
std::array<int, 16> count_first(peer_choice const& peers, time_point now)
{
    std::array<int, 16> counts{};
    for (std::uint64_t draw = 0; draw < 4'000; ++draw)
    {
        auto const offer = peers.choose(draw * 7'919, now);
        if (offer.count_ > 0)
        {
            ++counts[offer.peers_[0]];
        }
    }
    return counts;
}

} // namespace

TEST_CASE("without peers there is no offer")
{
    CHECK(peer_choice().choose(1, at(0)).count_ == 0);
}

TEST_CASE("an offer contains each peer at most once")
{
    auto const peers = make_peers(2);
    for (std::uint64_t draw = 0; draw < 100; ++draw)
    {
        auto const offer = peers.choose(draw, at(0));
        CHECK((offer.count_ < 2 || offer.peers_[0] != offer.peers_[1]));
    }
}

TEST_CASE("a peer with a long wait is avoided while its report is fresh")
{
    auto peers = make_peers(4);
    for (target_id id = 1; id <= 4; ++id)
    {
        load_report report;
        report.wait_ = milliseconds(id == 1 ? 500 : 5);
        peers.on_reply(id, report, at(0));
    }
    CHECK(count_first(peers, at(10))[1] < 100);
    // The weight of an old report decays towards the average.
    CHECK(count_first(peers, at(20'000))[1] > 500);
}

TEST_CASE("offers since the last report increase the cost of a peer")
{
    auto peers = make_peers(4);
    for (int i = 0; i < 20; ++i)
    {
        peers.on_offer_sent(1);
    }
    CHECK(count_first(peers, at(0))[1] < 100);
    peers.on_reply(1, {}, at(1));
    CHECK(count_first(peers, at(1))[1] > 500);
}

TEST_CASE("the share of a new peer ramps up")
{
    auto peers = make_peers(3);
    peers.add(4, 4, at(0));
    auto const cold = count_first(peers, at(100))[4];
    auto const warm = count_first(peers, at(10'000))[4];
    CHECK(cold * 3 < warm);
}

TEST_CASE("a peer that failed is avoided for a while")
{
    auto peers = make_peers(3);
    peers.on_failure(2, at(0));
    CHECK(count_first(peers, at(1'999))[2] == 0);
    CHECK(count_first(peers, at(2'000))[2] > 0);
}

TEST_CASE("a removed peer is not chosen")
{
    auto peers = make_peers(3);
    peers.remove(1);
    CHECK(peers.size() == 2);
    CHECK(count_first(peers, at(0))[1] == 0);
}

TEST_CASE("a target with more utilisation than its peers offers work to them")
{
    auto peers = make_peers(3);
    CHECK_FALSE(peers.should_offer_to_peers(1.0, 1));
    load_report report;
    report.utilisation_ = 0.3;
    peers.on_reply(1, report, at(0));
    int passed = 0;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw)
    {
        passed += peers.should_offer_to_peers(0.9, draw) ? 1 : 0;
        CHECK_FALSE(peers.should_offer_to_peers(0.3, draw));
    }
    CHECK(passed > 500);
}
