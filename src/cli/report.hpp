// Pieces that the commands share: reading the template in force, and JSON.
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

// The template in force; revision_ is 0 if there is none.
struct current_template
{
    revision revision_ = 0;
    stored_template stored_;

    organisation_template organisation() const;
};

// Throws an error with the store's kind if it can't be read in time.
current_template read_current(command_context const& context,
                              std::string const& organisation);

// " --base 12", or nothing for the first template.
std::string base_option(revision base);

boost::json::array
differences_to_json(std::vector<difference> const& differences);

// A string member, or an empty string.
std::string string_member(boost::json::object const& object,
                          std::string_view name);

// Throws error(unavailable) if the text isn't a JSON object.
boost::json::object parse_json_object(std::string const& text);

} // namespace daisytrail
