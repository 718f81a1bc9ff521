// Reading of a settings file.
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

std::string describe_faults(std::string const& path,
                            std::vector<template_error> const& faults)
{
    std::string text;
    for (auto const& fault : faults)
    {
        text += '\n' + path + ':' + to_string(fault);
    }
    return text;
}

} // namespace daisytrail
