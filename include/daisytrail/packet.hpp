// Reading of bare IPv4 packets that carry TCP.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace daisytrail
{

// Why a packet was not forwarded; each kind has its own counter.
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

// TCP flag bits as in the header.
struct tcp_flags
{
    static constexpr std::uint8_t fin = 0x01;
    static constexpr std::uint8_t syn = 0x02;
    static constexpr std::uint8_t rst = 0x04;
    static constexpr std::uint8_t ack = 0x10;
};

// What forwarding needs to know of one packet.
struct packet_info
{
    flow_key flow_;
    std::uint32_t sequence_ = 0;
    std::uint32_t acknowledgement_ = 0;
    std::uint32_t payload_bytes_ = 0;
    std::uint8_t flags_ = 0;

    // A SYN without ACK opens a flow.
    constexpr bool opens_flow() const
    {
        return (flags_ & (tcp_flags::syn | tcp_flags::ack)) == tcp_flags::syn;
    }
};

// Result of reading a packet; info_ is valid only if drop_ is none.
struct packet_parse_result
{
    drop_reason drop_ = drop_reason::none;
    packet_info info_;
};

// Checks lengths, header checksum, fragmentation and protocol. The TCP checksum
// is left to the agent's TCP implementation.
packet_parse_result parse_packet(std::span<std::byte const> packet);

// Builds a TCP segment without payload from the VIP to the caller. `packet`
// must hold 40 bytes; returns the bytes written.
std::size_t write_segment(std::span<std::byte> packet, flow_key const& flow,
                          std::uint32_t sequence, std::uint32_t acknowledgement,
                          std::uint8_t flags);

} // namespace daisytrail
