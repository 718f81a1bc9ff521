// Reads files and formats the errors found in them.
#include "config/settings_file.hpp"

#include <fstream>
#include <iterator>

namespace daisytrail
{

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw error(error_kind::not_found, "can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string describe_errors(std::string const& path,
                            std::vector<template_error> const& errors)
{
    std::string text;
    for (auto const& parse_error : errors)
    {
        text += '\n' + path + ':' + to_string(parse_error);
    }
    return text;
}

} // namespace daisytrail
