// Encoding of the datagrams between agents about flow ownership. They share
// the tunnel port with packets and are told apart by a prefix that no tunnel
// header starts with.
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

// True if a datagram on the tunnel port is a sealed flow message.
bool is_flow_message(std::span<std::byte const> datagram);

// Puts the prefix before a sealed message.
std::vector<std::byte> add_flow_prefix(std::span<std::byte const> sealed);

std::vector<std::byte> encode_flow_message(flow_message const& message);

// Decodes an opened message that is 8-byte aligned; throws
// error(invalid_packet).
flow_message decode_flow_message(std::span<std::byte const> payload);

} // namespace daisytrail
