// Tests of encoding and decoding the tunnel header.
#include <daisytrail/tunnel.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace daisytrail;

TEST_CASE("candidates and packet are decoded as they were encoded")
{
    tunnel_header header;
    header.service_ = 1;
    header.target_ = 2;
    header.incarnation_ = 3;
    header.ranked_.size_ = max_candidates;
    header.ranked_.candidates_[3] = {
        9, 8, {0x7F000001, 7}, member_state::draining};
    alignas(8) std::array<std::byte, max_tunnel_header_bytes + 3> buffer{};
    auto const bytes = encode_tunnel_header(header, buffer);
    auto const reading = decode_tunnel(std::span(buffer).first(bytes + 3));
    REQUIRE(reading.drop_ == drop_reason::none);
    CHECK(reading.header_.ranked_.candidates_ == header.ranked_.candidates_);
    CHECK(reading.packet_.size() == 3);
}

TEST_CASE("a truncated tunnel header is dropped")
{
    alignas(8) std::array<std::byte, max_tunnel_header_bytes> buffer{};
    auto const bytes = encode_tunnel_header({}, buffer);
    for (std::size_t size = 0; size < bytes; ++size)
    {
        CHECK(decode_tunnel(std::span(buffer).first(size)).drop_ ==
              drop_reason::bad_tunnel);
    }
}
