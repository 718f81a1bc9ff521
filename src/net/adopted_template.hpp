// The stored value of an organisation's template: the operator's text with the
// id, author and time of the change that wrote it.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/store.hpp>

#include <memory>
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
    // Empty if the value was written by a release without versions.
    std::optional<template_version> version_;
    organisation_template value_;

    bool operator==(adopted_template const&) const = default;
};

// A large template is shared, not copied.
using adopted_template_ptr = std::shared_ptr<adopted_template const>;

// Parses {"change_id", "who", "when", "template"} and checks the template.
// Throws error(invalid_argument) that lists the first faults of the template.
adopted_template_ptr parse_adopted_template(std::string_view value);

// Stores the result of parsing this value, so that the next call of
// parse_adopted_template() with it parses nothing. `parsed` must equal what the
// call would return.
void remember_adopted_template(std::string value, adopted_template_ptr parsed);

// Returns the version of a stored template. A value without a version is
// ordered by the store's revision, which is lower than any version that is
// chosen by the time of the change.
template_version version_of(store_entry const& entry);

// Returns the message of the error that parse_adopted_template() throws for
// this value, or nothing if the value is valid.
std::optional<std::string> check_adopted_template(std::string_view value);

} // namespace daisytrail
