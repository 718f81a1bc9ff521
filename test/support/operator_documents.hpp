// Operator's documents in the platform's form, of any length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisytrail
{

// Longest value that the platform's store takes, by its settings.
inline constexpr std::size_t platform_value_bytes = 1'048'576;

// Returns a document with two services, "till-0" and "till-1", and this many
// routes, on distinct addresses from 198.18.0.1 on.
std::string make_document(std::uint64_t version, std::size_t routes);

// Returns the document with as many routes as fit into `bytes`, filled up with
// spaces to exactly this length.
std::string make_longest_document(std::uint64_t version, std::size_t bytes);

} // namespace daisytrail
