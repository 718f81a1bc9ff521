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

// Returns the priority class of a message. A digest that contains only
// templates and no root hash is a change notice. Template transfers and the
// hashes of comparisons are bulk traffic, since they are retried. The item
// lists at the end of a comparison are urgent: when a whole fleet starts, the
// seed balancers have too little budget left for bulk traffic.
send_class send_class_of(control_message const& message);

std::vector<std::byte> encode_control(control_message const& message);

// Decodes a message. Returns nothing if it is malformed or contains unknown
// enum values.
std::optional<control_message> decode_control(std::span<std::byte const> bytes);

} // namespace daisytrail
