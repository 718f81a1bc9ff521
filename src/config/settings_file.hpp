// Loads settings files and formats their errors.
#pragma once

#include <daisytrail/error.hpp>
#include <daisytrail/settings.hpp>

#include <string>

namespace daisytrail
{

// Returns the content of a file; throws error(not_found) if it can't be opened.
std::string read_file(std::string const& path);

// Formats each error as a line break and "PATH:ERROR".
std::string describe_errors(std::string const& path,
                            std::vector<template_error> const& errors);

// Parses the content of the settings file at `path`; throws
// error(invalid_argument) that lists all errors.
template <typename Settings>
Settings check_settings(std::string const& path, std::string_view text,
                        parsed_settings<Settings> (*parse)(std::string_view))
{
    auto parsed = parse(text);
    if (!parsed.errors_.empty())
    {
        throw error(error_kind::invalid_argument,
                    "settings refused:" +
                        describe_errors(path, parsed.errors_));
    }
    return std::move(parsed.value_);
}

// Loads a settings file:
//   auto settings = load_settings(path, parse_agent_settings);
template <typename Settings>
Settings load_settings(std::string const& path,
                       parsed_settings<Settings> (*parse)(std::string_view))
{
    return check_settings(path, read_file(path), parse);
}

} // namespace daisytrail
