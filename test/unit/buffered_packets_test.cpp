// Tests of the buffer for packets whose flow's owner is being searched.
#include "forward/buffered_packets.hpp"

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

TEST_CASE("packets are buffered in order and separately for each flow")
{
    buffered_packets buffer;
    CHECK(buffer.add(flow(1), bytes));
    CHECK(buffer.add(flow(1), std::span(bytes).first(2)));
    CHECK(buffer.add(flow(2), bytes));
    REQUIRE(buffer.find(flow(1)).size() == 2);
    CHECK(buffer.find(flow(1))[1].bytes_.size() == 2);
    CHECK(buffer.find(flow(1))[0].sent_to_.empty());
    CHECK(buffer.find(flow(3)).empty());
    CHECK(buffer.size() == 3);
}

TEST_CASE("the buffer limits the packets of one flow and of all flows")
{
    buffered_packets buffer;
    for (std::size_t i = 0; i < buffered_packets::max_packets_per_flow; ++i)
    {
        CHECK(buffer.add(flow(1), bytes));
    }
    CHECK_FALSE(buffer.add(flow(1), bytes));
    for (std::uint32_t caller = 2;
         buffer.size() < buffered_packets::max_packets; ++caller)
    {
        CHECK(buffer.add(flow(caller), bytes));
    }
    CHECK_FALSE(buffer.add(flow(1, 2), bytes));
    buffer.remove(flow(1));
    CHECK(buffer.add(flow(1, 2), bytes));
}

TEST_CASE("packets of flows that are no longer searched are removed")
{
    buffered_packets buffer;
    buffer.add(flow(1), bytes);
    buffer.add(flow(2), bytes);
    buffer.remove_unless([](flow_key const& key) { return key == flow(2); });
    CHECK(buffer.find(flow(1)).empty());
    CHECK(buffer.size() == 1);
    buffer.remove(flow(7));
    CHECK(buffer.size() == 1);
}
