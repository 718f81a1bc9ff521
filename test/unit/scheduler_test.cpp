// Tests of the request scheduler: start order, admission control and
// throttling. The tests pass the current time themselves.
#include <daisytrail/scheduler.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t short_class = 0;
constexpr std::size_t long_class = 1;
constexpr std::size_t low_class = 2;

std::vector<scheduler_class> make_classes()
{
    return {{false, 1, milliseconds(10)},
            {true, 1, milliseconds(300)},
            {false, 3, milliseconds(10)}};
}

time_point at(std::int64_t ms)
{
    return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

scheduled_request make(request_id id, std::size_t class_index, time_point now,
                       std::int64_t deadline_ms = 30'000)
{
    return {id, class_index, now, now + milliseconds(deadline_ms), false};
}

} // namespace

TEST_CASE("a short request starts before a long one that arrived earlier")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, long_class, at(0)), at(0));
    queue.try_enqueue(make(2, short_class, at(5)), at(5));
    CHECK(queue.next(at(5)) == 2);
}

TEST_CASE("a long request that has waited long enough starts first")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, long_class, at(0)), at(0));
    queue.try_enqueue(make(2, short_class, at(2'000)), at(2'000));
    CHECK(queue.next(at(2'000)) == 1);
}

TEST_CASE("a long request never takes the last of several slots")
{
    scheduler queue(make_classes(), {2, 64});
    queue.try_enqueue(make(1, long_class, at(0)), at(0));
    queue.try_enqueue(make(2, long_class, at(0)), at(0));
    CHECK(queue.next(at(0)) == 1);
    CHECK_FALSE(queue.next(at(0)));
    queue.try_enqueue(make(3, short_class, at(1)), at(1));
    CHECK(queue.next(at(1)) == 3);
}

TEST_CASE("a short request that far exceeds its estimate counts as long")
{
    scheduler queue(make_classes(), {2, 64});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    CHECK(queue.next(at(0)) == 1);
    queue.try_enqueue(make(2, long_class, at(100)), at(100));
    CHECK_FALSE(queue.next(at(100)));
}

TEST_CASE("a single slot serves long requests too")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, long_class, at(0)), at(0));
    CHECK(queue.next(at(0)) == 1);
}

TEST_CASE("a request that can't meet its deadline is refused on arrival")
{
    scheduler queue(make_classes(), {1, 64});
    for (request_id id = 1; id <= 5; ++id)
    {
        CHECK_FALSE(
            queue.try_enqueue(make(id, short_class, at(0)), at(0)).refused_);
        queue.next(at(0));
    }
    auto const result =
        queue.try_enqueue(make(9, short_class, at(0), 30), at(0));
    CHECK(result.refused_ == request_outcome::deadline_unreachable);
    CHECK(result.retry_after_ >= milliseconds(200));
}

TEST_CASE("a full queue sheds its newest request of the lowest priority")
{
    scheduler queue(make_classes(), {1, 2});
    queue.try_enqueue(make(1, low_class, at(0)), at(0));
    queue.try_enqueue(make(2, low_class, at(1)), at(1));
    auto const result = queue.try_enqueue(make(3, short_class, at(2)), at(2));
    CHECK_FALSE(result.refused_);
    CHECK(result.victim_ == 2);
}

TEST_CASE("a full queue of equal priority refuses a new request")
{
    scheduler queue(make_classes(), {1, 1});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    auto const result = queue.try_enqueue(make(2, short_class, at(1)), at(1));
    CHECK(result.refused_ == request_outcome::queue_full);
}

TEST_CASE("requests that can no longer meet their deadline leave the queue")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    queue.next(at(0));
    queue.try_enqueue(make(2, short_class, at(0), 100), at(0));
    CHECK(queue.next_event(at(0)) == at(90));
    CHECK(queue.expire(at(89)).empty());
    CHECK(queue.expire(at(90)) == std::vector<request_id>{2});
}

TEST_CASE("each refusal of the backend server pauses starts for longer")
{
    scheduler queue(make_classes(), {4, 64});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    queue.try_enqueue(make(2, short_class, at(0)), at(0));
    queue.try_enqueue(make(3, short_class, at(0)), at(0));
    queue.next(at(0));
    queue.finish(1, completion::refused, at(1));
    CHECK_FALSE(queue.next(at(2)));
    CHECK(queue.next_event(at(2)) == at(51));
    CHECK(queue.next(at(201)) == 2);
    // Only one request runs as a probe.
    CHECK_FALSE(queue.next(at(202)));
    queue.finish(2, completion::refused, at(203));
    CHECK_FALSE(queue.next(at(302)));
}

TEST_CASE("the slot of a fast failure stays taken for the estimated run time")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    queue.try_enqueue(make(2, short_class, at(0)), at(0));
    queue.next(at(0));
    queue.finish(1, completion::failed, at(1));
    CHECK_FALSE(queue.next(at(9)));
    CHECK(queue.next(at(10)) == 2);
}

TEST_CASE("a target that fails much more than its peers is suspect")
{
    scheduler queue(make_classes(), {4, 64});
    queue.set_peer_average({});
    for (request_id id = 1; id <= 10; ++id)
    {
        auto const now = at(static_cast<std::int64_t>(id) * 300);
        queue.try_enqueue(make(id, short_class, now), now);
        REQUIRE(queue.next(now) == id);
        queue.finish(id, completion::failed, now + milliseconds(1));
    }
    CHECK(queue.is_suspect());
    queue.try_enqueue(make(20, short_class, at(3'100)), at(3'100));
    queue.try_enqueue(make(21, short_class, at(3'100)), at(3'100));
    // The last request started at 3,000 ms. The next request may start 200 ms
    // later, and no other beside it.
    CHECK_FALSE(queue.next(at(3'100)));
    CHECK(queue.next(at(3'200)) == 20);
    CHECK_FALSE(queue.next(at(3'300)));
}

TEST_CASE("failures that all peers have in common make no target suspect")
{
    scheduler queue(make_classes(), {4, 64});
    queue.set_peer_average({{}, 0.5, 0.9, 1.0});
    for (request_id id = 1; id <= 10; ++id)
    {
        auto const now = at(static_cast<std::int64_t>(id) * 300);
        queue.try_enqueue(make(id, short_class, now), now);
        queue.next(now);
        queue.finish(id, completion::failed, now + milliseconds(1));
    }
    CHECK_FALSE(queue.is_suspect());
}

TEST_CASE("the expected wait is the estimated run time of the work ahead")
{
    scheduler queue(make_classes(), {1, 64});
    CHECK(queue.expected_wait(short_class, at(0)) == duration{});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    queue.next(at(0));
    CHECK(queue.expected_wait(short_class, at(4)) == milliseconds(6));
    queue.try_enqueue(make(2, short_class, at(4)), at(4));
    CHECK(queue.expected_wait(short_class, at(4)) == milliseconds(16));
}

TEST_CASE("the FIFO rules neither reorder requests nor check deadlines")
{
    scheduler queue(make_classes(), {1, 64}, fifo_rules);
    queue.try_enqueue(make(1, long_class, at(0)), at(0));
    auto const late = queue.try_enqueue(make(2, short_class, at(1), 1), at(1));
    CHECK_FALSE(late.refused_);
    CHECK(queue.next(at(1)) == 1);
}

TEST_CASE("a removed request doesn't start")
{
    scheduler queue(make_classes(), {1, 64});
    queue.try_enqueue(make(1, short_class, at(0)), at(0));
    CHECK(queue.remove(1, at(1), false));
    CHECK_FALSE(queue.remove(1, at(1), false));
    CHECK_FALSE(queue.next(at(1)));
}

TEST_CASE("a single straggler makes no target suspect, a slow target is")
{
    scheduler queue(make_classes(), {4, 64});
    queue.set_peer_average({});
    auto const run = [&queue](request_id id, std::int64_t from, std::int64_t ms)
    {
        queue.try_enqueue(make(id, short_class, at(from)), at(from));
        REQUIRE(queue.next(at(from)) == id);
        queue.finish(id, completion::answered, at(from + ms));
    };
    run(1, 0, 300);
    CHECK_FALSE(queue.is_suspect());
    for (request_id id = 2; id <= 8; ++id)
    {
        run(id, static_cast<std::int64_t>(id) * 1'000, 100);
    }
    CHECK(queue.is_suspect());
}

TEST_CASE("low priority is refused while higher priorities fill the slots")
{
    scheduler queue(make_classes(), {1, 64});
    request_id id = 1;
    for (; id <= 600; ++id)
    {
        auto const now = at(static_cast<std::int64_t>(id) * 10);
        queue.finish(id - 1, completion::answered, now);
        queue.try_enqueue(make(id, short_class, now), now);
        REQUIRE(queue.next(now) == id);
    }
    // The last request is still running.
    auto const low =
        queue.try_enqueue(make(id + 1, low_class, at(6'000), 500), at(6'000));
    CHECK(low.refused_ == request_outcome::deadline_unreachable);
    auto const better =
        queue.try_enqueue(make(id + 2, short_class, at(6'000), 500), at(6'000));
    CHECK_FALSE(better.refused_);
}
