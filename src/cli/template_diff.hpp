// The difference between two templates, and what it does to open flows.
#pragma once

#include <daisytrail/organisation.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// What a changed field means for flows and requests that are open.
enum class flow_effect : std::uint8_t
{
    none,    // open flows and running requests are untouched
    drained, // open flows end gracefully
    broken,  // open flows are cut off
    count
};

inline constexpr std::array<std::string_view, 3> flow_effect_names{
    "none", "drained", "broken"};

struct difference
{
    std::string path_;   // "services[depot-orders].limits.queue"
    std::string before_; // empty: added
    std::string after_;  // empty: removed
    flow_effect effect_ = flow_effect::none;
    std::string consequence_; // for the operator

    bool operator==(difference const&) const = default;
};

// Differences in path order; services are matched by name.
std::vector<difference> diff_templates(organisation_template const& before,
                                       organisation_template const& after);

// True if any difference cuts off open flows.
bool breaks_flows(std::vector<difference> const& differences);

// "~ services[a].limits.queue: 64 -> 32 (...)" for each, one a line.
std::string to_string(std::vector<difference> const& differences);

} // namespace daisytrail
