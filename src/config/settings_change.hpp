// Compares two versions of a settings file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Returns the names of the settings that differ and that a process reads only
// at its start, in alphabetical order. Both texts must be valid settings.
std::vector<std::string> changed_fixed_settings(std::string_view before,
                                                std::string_view after);

} // namespace daisytrail
