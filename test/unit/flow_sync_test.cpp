// Tests of the streams of flow changes between agents.
#include <daisytrail/flow_sync.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

flow_change change(std::uint16_t port)
{
    return {{{0xC6120001, port}, {0xCB00710A, 80}}, false};
}

time_point at(std::chrono::milliseconds since)
{
    return time_point(since);
}

constexpr std::chrono::milliseconds batching_delay{500};

} // namespace

TEST_CASE("changes are held back until the batching delay has passed")
{
    flow_outbox outbox;
    outbox.push(change(1));
    CHECK(outbox.due(at({})).empty());
    outbox.push(change(2));
    CHECK(
        outbox.due(at(batching_delay - std::chrono::milliseconds(1))).empty());
    auto const batches = outbox.due(at(batching_delay));
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].changes_.size() == 2);
}

TEST_CASE("a full batch is sent without delay")
{
    flow_outbox outbox;
    for (std::size_t i = 0; i < max_batch_changes; ++i)
    {
        outbox.push(change(static_cast<std::uint16_t>(i)));
    }
    CHECK(outbox.due(at({})).size() == 1);
}

TEST_CASE("a marker of a view change is sent without delay")
{
    flow_outbox outbox;
    outbox.push(change(1));
    outbox.mark_complete(7);
    auto const batches = outbox.due(at({}));
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].complete_);
    CHECK(batches[0].view_hash_ == 7);
}

TEST_CASE("a flow that ends within the batching delay isn't reported")
{
    flow_outbox outbox;
    outbox.push(change(1));
    outbox.push(change(2));
    auto end = change(1);
    end.removed_ = true;
    outbox.push(end);
    CHECK(outbox.due(at({})).empty());
    auto const batches = outbox.due(at(batching_delay));
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].changes_ == std::vector{change(2)});
}

TEST_CASE("the end of a flow whose start was sent is reported")
{
    flow_outbox outbox;
    outbox.push(change(1));
    CHECK(outbox.due(at({})).empty());
    CHECK(outbox.due(at(batching_delay)).size() == 1);
    outbox.acknowledge(0, 1);
    auto end = change(1);
    end.removed_ = true;
    outbox.push(end);
    CHECK(outbox.due(at(batching_delay)).empty());
    CHECK(outbox.due(at(2 * batching_delay)).size() == 1);
}
