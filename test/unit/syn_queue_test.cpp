// Tests of the queue of new flows at an agent.
#include <daisytrail/syn_queue.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

using step = syn_queue::step;

// A queue in front of a backend server with one slot, which gets two requests.
struct syn_queue_fixture
{
    syn_queue_fixture()
    {
        queue_.set_slots(1);
    }

    static flow_packet syn(std::uint16_t port, std::uint8_t copy = 0)
    {
        flow_packet result;
        result.source_ = {1, port};
        result.destination_ = {2, 443};
        result.syn_ = true;
        result.syn_attempt_ = copy;
        return result;
    }

    static flow_key flow(std::uint16_t port)
    {
        return syn(port).flow_from_caller();
    }

    step on_syn(std::uint16_t port, std::uint32_t in_flight,
                std::uint8_t copy = 0)
    {
        return queue_.on_syn(syn(port, copy), in_flight, now_);
    }

    time_point now_{1h};
    syn_queue queue_;
};

} // namespace

TEST_CASE_FIXTURE(syn_queue_fixture, "a SYN is passed while there is room")
{
    CHECK(on_syn(1, 0) == step::pass);
    CHECK(on_syn(2, 0) == step::pass);
    CHECK(on_syn(3, 0) == step::wait);
    CHECK(queue_.pending() == 3);
    CHECK(queue_.take_ready(0, now_).empty());
}

TEST_CASE_FIXTURE(syn_queue_fixture, "requests leave no room for handshakes")
{
    CHECK(on_syn(1, 2) == step::wait);
    CHECK(queue_.take_ready(2, now_).empty());
    CHECK(queue_.take_ready(1, now_) == std::vector{flow(1)});
    CHECK(queue_.waiting() == 0);
}

TEST_CASE_FIXTURE(syn_queue_fixture,
                  "a handshake counts until its request arrives")
{
    on_syn(1, 1);
    CHECK(on_syn(2, 1) == step::wait);
    queue_.on_handshake_end(flow(1));
    CHECK(queue_.take_ready(1, now_) == std::vector{flow(2)});
}

// A caller that has given up never sends the request.
TEST_CASE_FIXTURE(syn_queue_fixture, "a handshake counts for a short time only")
{
    on_syn(1, 1);
    CHECK(on_syn(2, 1) == step::wait);
    now_ += 90ms;
    CHECK(queue_.take_ready(1, now_).empty());
    now_ += 10ms;
    CHECK(queue_.take_ready(1, now_) == std::vector{flow(2)});
}

TEST_CASE_FIXTURE(syn_queue_fixture, "the newest SYN leaves first")
{
    for (std::uint16_t port = 1; port <= 4; ++port)
    {
        CHECK(on_syn(port, 2) == step::wait);
    }
    CHECK(queue_.take_ready(0, now_) == std::vector{flow(4), flow(3)});
}

TEST_CASE_FIXTURE(syn_queue_fixture,
                  "a copy of a SYN waits or passes like the first one")
{
    CHECK(on_syn(1, 0) == step::pass);
    CHECK(on_syn(1, 2, 1) == step::pass);
    CHECK(on_syn(2, 2) == step::wait);
    CHECK(on_syn(2, 2, 1) == step::wait);
    CHECK(queue_.waiting() == 1);
}

TEST_CASE_FIXTURE(syn_queue_fixture,
                  "a SYN is dropped when its caller gives up the attempt")
{
    on_syn(1, 2);
    on_syn(2, 2, 2);
    now_ += 800ms;
    CHECK(queue_.take_expired(now_) == std::vector{flow(2)});
    now_ += 600ms;
    CHECK(queue_.take_expired(now_) == std::vector{flow(1)});
    CHECK(queue_.take_ready(0, now_).empty());
}

TEST_CASE_FIXTURE(syn_queue_fixture, "a full queue refuses further SYNs")
{
    syn_queue_settings settings;
    settings.max_waiting_ = 1;
    queue_ = syn_queue(settings);
    CHECK(on_syn(1, 2) == step::wait);
    CHECK(on_syn(2, 2) == step::refuse);
    CHECK(on_syn(1, 2, 1) == step::wait);
    CHECK(queue_.take_all() == std::vector{flow(1)});
    CHECK(on_syn(2, 2) == step::wait);
}
