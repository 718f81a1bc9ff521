// Parses JSON with comments into a tree of values with their line and column.
#pragma once

#include <daisytrail/organisation.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail::detail
{

enum class json_type : std::uint8_t
{
    null,
    boolean,
    integer, // a whole number that isn't negative
    real,    // any other number
    string,
    array,
    object
};

struct text_position
{
    std::size_t line_ = 1;   // from 1
    std::size_t column_ = 1; // from 1, in bytes
};

struct json_node
{
    json_type type_ = json_type::null;
    text_position position_;          // line 0: unknown
    std::string key_;                 // name in the parent object
    text_position key_position_;      // valid if the parent is an object
    bool boolean_ = false;            // valid for json_type::boolean
    std::uint64_t integer_ = 0;       // valid for json_type::integer
    double real_ = 0;                 // valid for integer and real
    std::string text_;                // valid for json_type::string
    std::vector<json_node> children_; // of an array or object
};

struct json_document
{
    json_node root_;                     // valid if errors_ is empty
    std::vector<template_error> errors_; // at most one syntax error
};

// Parses a document, for example read_json(R"({"a": 1} // comment)").
json_document read_json(std::string_view text);

// Converts a value that was parsed elsewhere. Its nodes have no position.
json_node to_json_node(boost::json::value const& value);

} // namespace daisytrail::detail
