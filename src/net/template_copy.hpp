// The copy of a template in force that balancers keep in the store. After a
// loss of power beside a version that can't be used, no process has the last
// good one; a balancer that starts then takes the copy.
#pragma once

#include <daisytrail/types.hpp>

#include <string>
#include <string_view>

namespace daisytrail
{

struct template_copy
{
    template_version version_ = 0;
    std::string value_; // as it was adopted

    bool operator==(template_copy const&) const = default;
};

// Returns the version in decimal, a newline and the compressed value.
std::string format_template_copy(template_copy const& copy);

// Reads the version alone. Throws error(invalid_argument).
template_version parse_copied_version(std::string_view text);

// Throws error(invalid_argument) if the text is damaged, and
// error(limit_exceeded) if the value is longer than a transfer may be.
template_copy parse_template_copy(std::string_view text);

} // namespace daisytrail
