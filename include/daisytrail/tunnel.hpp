// Datagram format of the tunnel between balancers and agents: a Cap'n Proto
// header followed by the bare IPv4 packet, which is therefore never copied.
#pragma once

#include <daisytrail/forwarding.hpp>
#include <daisytrail/packet.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace daisytrail
{

// Maximum size of an encoded header.
inline constexpr std::size_t max_tunnel_header_bytes = 256;

// Largest bare IPv4 packet that the tunnel carries; MSS is clamped to fit.
inline constexpr std::size_t tunnel_mtu_bytes = 1'400;

// Maximum number of times that agents forward a packet before it is dropped.
inline constexpr std::uint8_t max_tunnel_hops = 6;

// Header of one tunnelled packet.
struct tunnel_header
{
    service_id service_ = 0;
    // Target that the packet is for: ranked_.candidates_[position_], or the
    // owner that a forwarding entry names.
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    std::uint8_t position_ = 0; // rank of the current candidate
    std::uint8_t hops_ = 0;     // times forwarded by agents
    std::uint8_t denied_ = 0;   // bit i: candidate i doesn't own the flow
    ranked_candidates ranked_;
};

// Encodes into `buffer` of at least max_tunnel_header_bytes; returns the bytes
// written. Doesn't allocate memory.
std::size_t encode_tunnel_header(tunnel_header const& header,
                                 std::span<std::byte> buffer);

// Result of decode_tunnel(). header_ and packet_ are valid only if drop_ is
// drop_reason::none; packet_ is a view into the decoded datagram.
struct decoded_tunnel
{
    drop_reason drop_ = drop_reason::none;
    tunnel_header header_;
    std::span<std::byte const> packet_;
};

// Decodes and validates a datagram, which must be 8-byte aligned.
decoded_tunnel decode_tunnel(std::span<std::byte const> datagram);

} // namespace daisytrail
