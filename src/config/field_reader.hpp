// Reads typed values from a JSON tree by tables of fields. All errors are added
// to one list, so that an operator sees them together.
#pragma once

#include "config/json_document.hpp"

#include <chrono>
#include <concepts>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail::detail
{

using error_list = std::vector<template_error>;

// Who vouches for the text, and so which bounds apply.
enum class text_origin : std::uint8_t
{
    // An operator: lists, names and weights have bounds.
    operator_text,
    // A store that has acknowledged the text: only its meaning is checked,
    // since a bound of the reader would refuse what the store took.
    stored_text
};

// A value of the tree and its path. The functions that read a single value add
// an error and leave `out` unchanged if the value is invalid. A reader of a
// child refers to its parent's reader, which must outlive it.
class value_reader
{
public:
    // Reads the root of a document.
    value_reader(json_node const& root, error_list& errors,
                 text_origin origin = text_origin::operator_text)
        : node_(&root), errors_(&errors), origin_(origin)
    {
    }

    json_node const& node() const
    {
        return *node_;
    }

    // Returns the path from the root, for example "services[0].limits.queue".
    std::string path() const;

    bool has_bounds() const
    {
        return origin_ == text_origin::operator_text;
    }

    void add_error(std::string found, std::string expected) const;
    // Adds an error that quotes the value as what was found.
    void reject(std::string expected) const;

    value_reader element(std::size_t index) const;
    value_reader member(std::size_t index) const;

    // Returns true if the value is an array of `minimum` to `maximum` elements;
    // adds an error otherwise. `maximum` is a bound of operator_text only.
    bool require_array(std::size_t minimum, std::size_t maximum) const;

    void text(std::string& out) const;
    // A name of lower-case letters, digits, '-' and '.', at most 63 bytes long,
    // that starts with a letter or digit. In stored_text any text that isn't
    // empty is a name.
    void name(std::string& out) const;
    void boolean(bool& out) const;
    void real(double& out, double minimum, double maximum) const;
    void duration(std::chrono::milliseconds& out,
                  std::chrono::milliseconds minimum,
                  std::chrono::milliseconds maximum) const;
    // An endpoint such as "127.0.0.1:80" whose port isn't 0.
    void address(endpoint& out) const;
    // An array of distinct names.
    void names(std::vector<std::string>& out, std::size_t maximum) const;
    // An array of distinct endpoints.
    void addresses(std::vector<endpoint>& out, std::size_t minimum,
                   std::size_t maximum) const;

    template <std::unsigned_integral Number>
    void number(Number& out, std::uint64_t minimum, std::uint64_t maximum) const
    {
        if (auto const value = whole_number(minimum, maximum))
        {
            out = static_cast<Number>(*value);
        }
    }

private:
    std::optional<std::uint64_t> whole_number(std::uint64_t minimum,
                                              std::uint64_t maximum) const;

    value_reader(json_node const& node, value_reader const& parent)
        : node_(&node), parent_(&parent), errors_(parent.errors_),
          origin_(parent.origin_)
    {
    }

    json_node const* node_;
    value_reader const* parent_ = nullptr; // nullptr: the root
    error_list* errors_;
    text_origin origin_;
};

// Parses a duration such as "250ms", "30s", "5m" or "1h"; returns std::nullopt
// if the text is invalid.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

// Formats a duration in the largest unit that represents it exactly: "1h",
// "30s" or "250ms".
std::string duration_to_string(std::chrono::milliseconds value);

enum class presence : std::uint8_t
{
    required,
    optional
};

// A field of a JSON object and the function that reads it into an `Object`.
template <typename Object>
struct field
{
    std::string_view name_;
    presence presence_;
    void (*read_)(value_reader const&, Object&);
};

// Returns the member with this name, or nullptr if there is none. Adds an error
// for each further member with the same name.
json_node const* find_member(value_reader const& object, std::string_view name);

// Adds an error for each member whose name isn't in `known`.
void reject_unknown(value_reader const& object,
                    std::span<std::string_view const> known);

// Reads the members of a JSON object into `out` by a table of fields.
template <typename Object, typename Table>
void read_object(value_reader const& object, Table const& table, Object& out)
{
    if (object.node().type_ != json_type::object)
    {
        object.reject("an object");
        return;
    }
    std::vector<std::string_view> known;
    for (auto const& entry : table)
    {
        known.push_back(entry.name_);
        if (auto const* node = find_member(object, entry.name_))
        {
            auto const index =
                static_cast<std::size_t>(node - object.node().children_.data());
            entry.read_(object.member(index), out);
        }
        else if (entry.presence_ == presence::required)
        {
            object.add_error("no field '" + std::string(entry.name_) + "'",
                             "this field is required");
        }
    }
    reject_unknown(object, known);
}

// Sorts errors by line and column.
void sort_errors(error_list& errors);

} // namespace daisytrail::detail
