// Text form of the list of targets in the store: one line per target.
#pragma once

#include <daisytrail/record.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Number of targets that are stored with their addresses. The remaining ones
// are stored with their identifiers only, since a value's size is limited.
inline constexpr std::size_t max_stored_addresses = 2'000;

// Returns one line per target. The line has the identifier and, for the first
// max_stored_addresses targets, the service, the tunnel address, the failure
// domain, the name, a tab and the control address. The identifiers are in hex.
// The name may contain spaces. The control address may be missing.
std::string
format_stored_targets(std::vector<target_record const*> const& targets);

// Result of parsing the list.
struct stored_target_list
{
    // A target that was stored without its address has an empty name. The
    // records have version 0, so that any published record supersedes them.
    std::vector<target_record> targets_;
    std::size_t refused_lines_ = 0;
    std::string first_refusal_; // why; empty if no line was refused
};

// Parses the list. A malformed line names no target; the others hold.
stored_target_list parse_stored_targets(std::string_view text);

} // namespace daisytrail
