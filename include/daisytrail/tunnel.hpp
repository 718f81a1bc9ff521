// The datagram between balancers and agents: a Cap'n Proto header followed by
// the bare IPv4 packet, so that the packet itself is never copied.
#pragma once

#include <daisytrail/forwarding.hpp>
#include <daisytrail/packet.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace daisytrail
{

// Upper bound of an encoded header in bytes.
inline constexpr std::size_t max_tunnel_header_bytes = 256;

// Largest bare IPv4 packet that is carried; MSS is clamped to fit.
inline constexpr std::size_t tunnel_mtu_bytes = 1'400;

// Times an agent may pass a packet on before it is dropped.
inline constexpr std::uint8_t max_tunnel_hops = 6;

// Header of one tunnelled packet.
struct tunnel_header
{
    service_id service_ = 0;
    // Addressee; normally ranked_.candidates_[position_], or the owner named by
    // a pointer.
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    std::uint8_t position_ = 0; // rank of the candidate to try now
    std::uint8_t hops_ = 0;     // times passed on so far
    std::uint8_t denied_ = 0;   // bit i: candidate i doesn't own the flow
    ranked_candidates ranked_;
};

// Encodes into `buffer` of at least max_tunnel_header_bytes; returns the bytes
// written. Allocates nothing.
std::size_t encode_tunnel_header(tunnel_header const& header,
                                 std::span<std::byte> buffer);

// A decoded datagram; packet_ points into the datagram.
struct tunnel_reading
{
    drop_reason drop_ = drop_reason::none;
    tunnel_header header_;
    std::span<std::byte const> packet_;
};

// Decodes and checks a datagram whose first byte is 8-byte aligned.
tunnel_reading decode_tunnel(std::span<std::byte const> datagram);

} // namespace daisytrail
