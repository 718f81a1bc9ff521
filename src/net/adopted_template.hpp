// The value of a template's key: the operator's text with the change's id.
#pragma once

#include <daisytrail/organisation.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace daisytrail
{

struct adopted_template
{
    std::string change_id_;
    std::string who_;
    std::string when_;
    organisation_template value_;
};

// Reads {"change_id", "who", "when", "template"} and checks the template;
// throws error(invalid_argument) that names every fault.
adopted_template parse_adopted_template(std::string_view value);

// What is wrong with a value, or nothing.
std::optional<std::string> check_adopted_template(std::string_view value);

} // namespace daisytrail
