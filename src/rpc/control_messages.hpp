// Cap'n Proto encoding of the control messages.
#pragma once

#include <daisytrail/control_messages.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace daisytrail
{

std::vector<std::byte> encode_control(control_message const& message);

// Decodes a message; nothing if it is malformed or holds unknown values.
std::optional<control_message> decode_control(std::span<std::byte const> bytes);

} // namespace daisytrail
