// Tests that a trial's callers and backend servers behave as the platform
// specifies.
#include "platform/packet_header.hpp"
#include "support/flow_ends.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

constexpr endpoint source{0x64400007, 40'001};
constexpr int own = 3;
constexpr int foreign = 4;

time_point at(int ms)
{
    return time_point{} + std::chrono::milliseconds(ms);
}

flow_packet read(packet_bytes const& bytes)
{
    return *platform::packet_header().read(bytes);
}

flow_backend::outcome pass(flow_backend& backend, packet_bytes const& bytes,
                           int ms)
{
    return backend.on_packet(bytes, read(bytes), at(ms));
}

// A caller whose SYN reached both servers and whose handshake was completed
// with the server `own`.
struct handshake
{
    flow_backend own_{own};
    flow_backend foreign_{foreign};
    flow_caller caller_{source, route_address(1), 7, at(0)};
    std::vector<packet_bytes> data_;

    handshake()
    {
        auto const syn = caller_.tick(at(0)).at(0);
        pass(foreign_, syn, 1);
        auto const answer = pass(own_, syn, 1).answers_.at(0);
        data_ = caller_.on_packet(read(answer), at(2));
    }
};

} // namespace

TEST_CASE("a flow opens with the server that the caller acknowledges")
{
    handshake flow;
    REQUIRE_FALSE(flow.data_.empty());
    auto const outcome = pass(flow.own_, flow.data_.front(), 3);
    CHECK(outcome.has_opened_);
    CHECK(flow.caller_.state() == caller_state::open);
}

TEST_CASE("a half-open flow resets on another server's acknowledgement")
{
    handshake flow;
    auto const outcome = pass(flow.foreign_, flow.data_.front(), 3);
    REQUIRE(outcome.answers_.size() == 1);
    auto const reset = read(outcome.answers_.front());
    CHECK(reset.reset_);
    CHECK(flow_backend::reset_sender(reset) == foreign);
    CHECK_FALSE(is_balancer_reset(outcome.answers_.front()));
}

TEST_CASE("a packet of an unknown flow is returned with its mark")
{
    handshake flow;
    auto marked = flow.data_.front();
    platform::packet_header().set_mark(marked, 77);
    flow_backend other(1);
    auto const returned = read(pass(other, marked, 3).answers_.at(0));
    CHECK(returned.returned_);
    CHECK(returned.mark_ == 77);
    CHECK(returned.source_ == source);
}

TEST_CASE("a caller retransmits its data eight times before it times out")
{
    handshake flow;
    int repeated = 0;
    for (int ms = 0; ms < 60'000; ms += 20)
    {
        repeated += flow.caller_.tick(at(ms)).empty() ? 0 : 1;
    }
    CHECK(repeated == 8);
    CHECK(flow.caller_.state() == caller_state::timed_out);
}

} // namespace daisytrail
