// Tests of the packets that a balancer keeps during a search.
#include "forward/kept_packets.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace daisytrail;

namespace
{

constexpr std::array<std::byte, 3> bytes{};

flow_key flow(std::uint32_t caller, std::uint16_t port = 1)
{
    return {{caller, port}, {9, 443}};
}

} // namespace

TEST_CASE("packets are kept in order, each flow's apart")
{
    kept_packets kept;
    CHECK(kept.add(flow(1), bytes));
    CHECK(kept.add(flow(1), std::span(bytes).first(2)));
    CHECK(kept.add(flow(2), bytes));
    REQUIRE(kept.find(flow(1)).size() == 2);
    CHECK(kept.find(flow(1))[1].bytes_.size() == 2);
    CHECK(kept.find(flow(1))[0].sent_to_.empty());
    CHECK(kept.find(flow(3)).empty());
    CHECK(kept.size() == 3);
}

TEST_CASE("one flow can't take all the room, nor all flows more than there is")
{
    kept_packets kept;
    for (std::size_t i = 0; i < kept_packets::max_of_flow; ++i)
    {
        CHECK(kept.add(flow(1), bytes));
    }
    CHECK_FALSE(kept.add(flow(1), bytes));
    for (std::uint32_t caller = 2; kept.size() < kept_packets::max_packets;
         ++caller)
    {
        CHECK(kept.add(flow(caller), bytes));
    }
    CHECK_FALSE(kept.add(flow(1, 2), bytes));
    kept.forget(flow(1));
    CHECK(kept.add(flow(1, 2), bytes));
}

TEST_CASE("flows that nobody searches any more make room")
{
    kept_packets kept;
    kept.add(flow(1), bytes);
    kept.add(flow(2), bytes);
    kept.forget_unless([](flow_key const& key) { return key == flow(2); });
    CHECK(kept.find(flow(1)).empty());
    CHECK(kept.size() == 1);
    kept.forget(flow(7));
    CHECK(kept.size() == 1);
}
