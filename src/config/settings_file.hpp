// Reading of a settings file.
#pragma once

#include <daisytrail/error.hpp>
#include <daisytrail/settings.hpp>

#include <string>

namespace daisytrail
{

// The whole file; throws error(not_found).
std::string read_file(std::string const& path);

// Lines "PATH:fault" for an error text.
std::string describe_errors(std::string const& path,
                            std::vector<template_error> const& errors);

// Parses a settings file; throws error(invalid_argument) that names all faults:
//   auto settings = load_settings(path, parse_agent_settings);
template <typename Settings>
Settings load_settings(std::string const& path,
                       parsed_settings<Settings> (*parse)(std::string_view))
{
    auto parsed = parse(read_file(path));
    if (!parsed.errors_.empty())
    {
        throw error(error_kind::invalid_argument,
                    "settings refused:" +
                        describe_errors(path, parsed.errors_));
    }
    return std::move(parsed.value_);
}

} // namespace daisytrail
