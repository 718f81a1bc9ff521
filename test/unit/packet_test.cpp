// Tests of parsing IPv4 and TCP headers, with every reason for a drop.
#include <daisytrail/packet.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace daisytrail;

namespace
{

constexpr flow_key flow{{0x0A000001, 40'000}, {0xC0000201, 80}};

// Returns a SYN without options from the caller to the VIP: 40 bytes.
std::vector<std::byte> make_syn()
{
    std::vector<std::byte> packet(40);
    // write_segment() writes from VIP to caller, so the endpoints are swapped.
    write_segment(packet, {flow.vip_, flow.caller_}, 7, 0, tcp_flags::syn);
    return packet;
}

// Recomputes the IPv4 header checksum.
void fix_checksum(std::vector<std::byte>& packet)
{
    auto const header =
        std::to_integer<std::size_t>(packet[0] & std::byte{0x0F}) * 4;
    packet[10] = packet[11] = std::byte{0};
    std::uint32_t sum = 0;
    for (std::size_t at = 0; at < header; at += 2)
    {
        sum += std::to_integer<std::uint32_t>(packet[at]) << 8U |
               std::to_integer<std::uint32_t>(packet[at + 1]);
    }
    while (sum > 0xFFFF)
    {
        sum = (sum & 0xFFFFU) + (sum >> 16U);
    }
    packet[10] = static_cast<std::byte>(~sum >> 8U);
    packet[11] = static_cast<std::byte>(~sum);
}

drop_reason drop_of(std::vector<std::byte> const& packet)
{
    return parse_packet(packet).drop_;
}

} // namespace

TEST_CASE("a complete segment is parsed")
{
    auto const reading = parse_packet(make_syn());
    REQUIRE(reading.drop_ == drop_reason::none);
    CHECK(reading.info_.flow_ == flow);
    CHECK(reading.info_.sequence_ == 7);
    CHECK(reading.info_.payload_bytes_ == 0);
    CHECK(reading.info_.opens_flow());
}

TEST_CASE("a SYN with ACK opens no flow")
{
    auto packet = make_syn();
    packet[33] = std::byte{tcp_flags::syn | tcp_flags::ack};
    CHECK(!parse_packet(packet).info_.opens_flow());
}

TEST_CASE("a packet shorter than an IPv4 header is too short")
{
    auto packet = make_syn();
    packet.resize(19);
    CHECK(drop_of(packet) == drop_reason::too_short);
    CHECK(drop_of({}) == drop_reason::too_short);
}

TEST_CASE("an IPv6 packet has a bad version")
{
    auto packet = make_syn();
    packet[0] = std::byte{0x65};
    CHECK(drop_of(packet) == drop_reason::bad_version);
}

TEST_CASE("a header length under 20 bytes is bad")
{
    auto packet = make_syn();
    packet[0] = std::byte{0x44};
    CHECK(drop_of(packet) == drop_reason::bad_length);
}

TEST_CASE("a total length that differs from the packet's size is bad")
{
    auto packet = make_syn();
    packet[3] = std::byte{39};
    CHECK(drop_of(packet) == drop_reason::bad_length);
    packet[3] = std::byte{41};
    CHECK(drop_of(packet) == drop_reason::bad_length);
}

TEST_CASE("a total length shorter than the header is bad")
{
    auto packet = make_syn();
    packet.resize(20);
    packet[0] = std::byte{0x46};
    packet[3] = std::byte{20};
    CHECK(drop_of(packet) == drop_reason::bad_length);
}

TEST_CASE("every flipped bit of the IPv4 header causes a drop")
{
    for (std::size_t bit = 0; bit < 160; ++bit)
    {
        auto packet = make_syn();
        packet[bit / 8] ^= static_cast<std::byte>(1U << (bit % 8));
        CHECK(drop_of(packet) != drop_reason::none);
    }
}

TEST_CASE("a packet with a wrong header checksum is dropped")
{
    auto packet = make_syn();
    packet[11] ^= std::byte{1};
    CHECK(drop_of(packet) == drop_reason::bad_header_checksum);
}

TEST_CASE("the first and the last fragment are dropped")
{
    auto first = make_syn();
    first[6] = std::byte{0x20}; // more fragments
    fix_checksum(first);
    CHECK(drop_of(first) == drop_reason::fragment);
    auto last = make_syn();
    last[7] = std::byte{0x01}; // offset 8 bytes
    fix_checksum(last);
    CHECK(drop_of(last) == drop_reason::fragment);
}

TEST_CASE("a packet with the don't-fragment flag is no fragment")
{
    auto packet = make_syn();
    packet[6] = std::byte{0x40};
    fix_checksum(packet);
    CHECK(drop_of(packet) == drop_reason::none);
}

TEST_CASE("a UDP packet is not TCP")
{
    auto packet = make_syn();
    packet[9] = static_cast<std::byte>(protocol::udp);
    fix_checksum(packet);
    CHECK(drop_of(packet) == drop_reason::not_tcp);
}

TEST_CASE("a truncated TCP header is too short")
{
    auto packet = make_syn();
    packet.resize(39);
    packet[3] = std::byte{39};
    fix_checksum(packet);
    CHECK(drop_of(packet) == drop_reason::too_short);
}

TEST_CASE("a TCP data offset outside the segment is a bad length")
{
    auto packet = make_syn();
    packet[32] = std::byte{0x40}; // 16 bytes
    CHECK(drop_of(packet) == drop_reason::bad_length);
    packet[32] = std::byte{0x60}; // 24 bytes of 20
    CHECK(drop_of(packet) == drop_reason::bad_length);
}

TEST_CASE("IPv4 options are skipped")
{
    auto packet = make_syn();
    packet.insert(packet.begin() + 20, 4, std::byte{1}); // no operation
    packet[0] = std::byte{0x46};
    packet[3] = std::byte{44};
    fix_checksum(packet);
    auto const reading = parse_packet(packet);
    REQUIRE(reading.drop_ == drop_reason::none);
    CHECK(reading.info_.flow_ == flow);
}
