// Functions that commands share: reading the template in force and JSON values.
#pragma once

#include "cli/commands.hpp"
#include "cli/stored_change.hpp"
#include "cli/template_diff.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// The stored template; revision_ and version_ are 0 if there is none.
struct current_template
{
    revision revision_ = 0;
    template_version version_ = 0;
    stored_template stored_;

    organisation_template organisation() const;
};

// Throws the store's error if the template can't be read before the timeout.
current_template read_current(command_context const& context,
                              std::string const& organisation);

// Returns " --base 12", or an empty string if there is no template yet.
std::string base_option(template_version base);

boost::json::array
differences_to_json(std::vector<difference> const& differences);

// Returns the text of a string member, or an empty string if there is none.
std::string string_member(boost::json::object const& object,
                          std::string_view name);

// Throws error(unavailable) if the text isn't a JSON object.
boost::json::object parse_json_object(std::string const& text);

} // namespace daisytrail
