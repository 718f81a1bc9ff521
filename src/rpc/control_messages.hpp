// Cap'n Proto encoding of the control messages.
#pragma once

#include <daisytrail/byte_budget.hpp>
#include <daisytrail/control_messages.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace daisytrail
{

// Bodies of templates and hashes of comparisons are asked for again, so they
// may wait. The lists that a comparison ends in may not: seeds have little left
// to send when a whole fleet starts.
send_class send_class_of(control_message const& message);

std::vector<std::byte> encode_control(control_message const& message);

// Decodes a message; nothing if it is malformed or holds unknown values.
std::optional<control_message> decode_control(std::span<std::byte const> bytes);

} // namespace daisytrail
