// Parsing and writing of raw IPv4 packets that carry TCP.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace daisytrail
{

// Reason why a packet was dropped; each reason has its own counter.
enum class drop_reason : std::uint8_t
{
    none,
    too_short,
    bad_version,
    bad_length,
    bad_header_checksum,
    bad_tcp_checksum,
    fragment,
    not_tcp,
    unknown_vip,
    no_target,
    bad_tunnel,
    foreign_service,
    foreign_target,
    foreign_incarnation,
    unknown_flow,
    hop_limit,
    half_open_limit,
    connection_limit,
    overload,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(drop_reason::count)>
    drop_reason_names{"none",
                      "too_short",
                      "bad_version",
                      "bad_length",
                      "bad_header_checksum",
                      "bad_tcp_checksum",
                      "fragment",
                      "not_tcp",
                      "unknown_vip",
                      "no_target",
                      "bad_tunnel",
                      "foreign_service",
                      "foreign_target",
                      "foreign_incarnation",
                      "unknown_flow",
                      "hop_limit",
                      "half_open_limit",
                      "connection_limit",
                      "overload"};

// Flag bits of the TCP header.
struct tcp_flags
{
    static constexpr std::uint8_t fin = 0x01;
    static constexpr std::uint8_t syn = 0x02;
    static constexpr std::uint8_t rst = 0x04;
    static constexpr std::uint8_t ack = 0x10;
};

// The header fields of a packet that forwarding uses.
struct packet_info
{
    flow_key flow_;
    std::uint32_t sequence_ = 0;
    std::uint32_t acknowledgement_ = 0;
    std::uint32_t payload_bytes_ = 0;
    std::uint8_t flags_ = 0;

    // Returns true for a SYN without ACK.
    constexpr bool opens_flow() const
    {
        return (flags_ & (tcp_flags::syn | tcp_flags::ack)) == tcp_flags::syn;
    }
};

// Result of parse_packet(); info_ is valid only if drop_ is drop_reason::none.
struct parsed_packet
{
    drop_reason drop_ = drop_reason::none;
    packet_info info_;
};

// Parses a packet and checks lengths, IPv4 header checksum, fragmentation and
// protocol. The TCP checksum is verified by the agent's TCP stack instead.
parsed_packet parse_packet(std::span<std::byte const> packet);

// Writes a TCP segment without payload from the VIP to the caller. `packet`
// must have room for 40 bytes. Returns the number of bytes written.
std::size_t write_segment(std::span<std::byte> packet, flow_key const& flow,
                          std::uint32_t sequence, std::uint32_t acknowledgement,
                          std::uint8_t flags);

} // namespace daisytrail
