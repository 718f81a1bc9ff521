// Tests of datagram authentication and the replay window.
#include "rpc/authenticator.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

std::string const key_a(64, 'a');
std::string const key_b(64, 'b');
time_point const start{};

std::vector<std::byte> const payload(5, std::byte{7});

authenticator
make_authenticator(std::vector<std::string> const& keys,
                   std::uint64_t session = 1,
                   datagram_channel channel = datagram_channel::control)
{
    return {keys, 42, session, channel};
}

} // namespace

TEST_CASE("a sealed datagram opens once")
{
    auto sender = make_authenticator({key_a});
    auto receiver = make_authenticator({key_a});
    auto const datagram = sender.seal(payload);
    auto const opened = receiver.open(datagram, start);
    REQUIRE(opened.verdict_ == open_verdict::accepted);
    CHECK(opened.sender_ == 42);
    CHECK(std::vector(opened.payload_.begin(), opened.payload_.end()) ==
          payload);
    CHECK(receiver.open(datagram, start).verdict_ == open_verdict::replayed);
}

TEST_CASE("a datagram with a changed byte or a missing tail is rejected")
{
    auto sender = make_authenticator({key_a});
    auto receiver = make_authenticator({key_a});
    auto const good = sender.seal(payload);
    for (std::size_t i = 0; i < good.size(); ++i)
    {
        auto bad = good;
        bad[i] ^= std::byte{1};
        CHECK(receiver.open(bad, start).verdict_ == open_verdict::bad_code);
    }
    for (std::size_t size = 0; size < good.size(); ++size)
    {
        CHECK(receiver.open(std::span(good).first(size), start).verdict_ !=
              open_verdict::accepted);
    }
}

TEST_CASE("keys can be rotated without downtime")
{
    auto old_key = make_authenticator({key_a});
    auto new_key_first = make_authenticator({key_b, key_a}, 2);
    auto receiver = make_authenticator({key_a, key_b});
    CHECK(receiver.open(old_key.seal(payload), start).verdict_ ==
          open_verdict::accepted);
    CHECK(receiver.open(new_key_first.seal(payload), start).verdict_ ==
          open_verdict::accepted);
    auto new_key_only = make_authenticator({key_b});
    CHECK(new_key_only.open(old_key.seal(payload), start).verdict_ ==
          open_verdict::bad_code);
}

TEST_CASE("reordered datagrams are accepted only within the replay window")
{
    auto sender = make_authenticator({key_a});
    auto receiver = make_authenticator({key_a});
    auto const too_old = sender.seal(payload);
    auto const oldest = sender.seal(payload);
    for (int i = 0; i < 62; ++i)
    {
        sender.seal(payload);
    }
    auto const newest = sender.seal(payload);
    CHECK(receiver.open(newest, start).verdict_ == open_verdict::accepted);
    CHECK(receiver.open(oldest, start).verdict_ == open_verdict::accepted);
    CHECK(receiver.open(too_old, start).verdict_ == open_verdict::replayed);
}

TEST_CASE("datagrams of an earlier session of a restarted sender are rejected")
{
    auto first = make_authenticator({key_a}, 1);
    auto second = make_authenticator({key_a}, 2);
    auto receiver = make_authenticator({key_a});
    auto const late = first.seal(payload);
    CHECK(receiver.open(second.seal(payload), start).verdict_ ==
          open_verdict::accepted);
    CHECK(receiver.open(late, start).verdict_ == open_verdict::replayed);
}

TEST_CASE("a datagram of another channel is rejected")
{
    auto sender =
        make_authenticator({key_a}, 1, datagram_channel::flow_ownership);
    auto receiver = make_authenticator({key_a});
    CHECK(receiver.open(sender.seal(payload), start).verdict_ ==
          open_verdict::bad_code);
}

TEST_CASE("a malformed key or an empty list of keys is an error")
{
    CHECK_THROWS_AS(make_authenticator({}), error);
    CHECK_THROWS_AS(make_authenticator({"abcd"}), error);
    CHECK_THROWS_AS(make_authenticator({std::string(64, 'x')}), error);
}
