// Encoding of the datagrams by which agents report flow ownership to each
// other. These datagrams share the tunnel port with tunnelled packets. They
// start with a prefix that no tunnel header starts with.
#pragma once

#include <daisytrail/flow_sync.hpp>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace daisytrail
{

using flow_message = std::variant<flow_batch, flow_acknowledgement>;

inline constexpr std::size_t flow_message_prefix_bytes = 8;

// True if a datagram received on the tunnel port starts with the prefix of a
// sealed flow message.
bool is_flow_message(std::span<std::byte const> datagram);

// Returns a sealed message with the prefix in front of it.
std::vector<std::byte> add_flow_prefix(std::span<std::byte const> sealed);

std::vector<std::byte> encode_flow_message(flow_message const& message);

// Decodes the payload of a message whose seal was verified. `payload` must be
// 8-byte aligned. Throws error(invalid_packet) if the payload is malformed.
flow_message decode_flow_message(std::span<std::byte const> payload);

} // namespace daisytrail
