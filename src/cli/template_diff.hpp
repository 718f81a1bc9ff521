// Compares two templates and states the effect of each difference on open
// flows.
#pragma once

#include <daisytrail/organisation.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Effect of a changed field on open flows and running requests.
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

// Formats each difference as two lines:
//   ~ services[a].limits.queue: 64 -> 32
//       none: holds for new requests and flows
std::string to_string(std::vector<difference> const& differences);

} // namespace daisytrail
