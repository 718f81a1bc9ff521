// Typed reading of a JSON tree by tables of fields. Every fault is added to one
// list, so that an operator sees them all at once.
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

// One value of the tree with its path. Read functions leave their result
// unchanged and add a fault when the value doesn't fit.
class value_reader
{
public:
    value_reader(json_node const& node, std::string path, error_list& errors)
        : node_(&node), path_(std::move(path)), errors_(&errors)
    {
    }

    json_node const& node() const
    {
        return *node_;
    }

    std::string const& path() const
    {
        return path_;
    }

    void add_error(std::string found, std::string expected) const;
    // A fault that names the value itself as what was found.
    void reject(std::string expected) const;

    value_reader element(std::size_t index) const;
    value_reader member(std::size_t index) const;

    // Checks the type and the number of elements.
    bool require_array(std::size_t minimum, std::size_t maximum) const;

    void text(std::string& out) const;
    // Lower-case letters, digits, '-' and '.'; at most 63 bytes.
    void name(std::string& out) const;
    void boolean(bool& out) const;
    void real(double& out, double minimum, double maximum) const;
    void duration(std::chrono::milliseconds& out,
                  std::chrono::milliseconds minimum,
                  std::chrono::milliseconds maximum) const;
    // "127.0.0.1:80", port 1 or higher.
    void address(endpoint& out) const;
    // Names, none twice.
    void names(std::vector<std::string>& out, std::size_t maximum) const;
    // Endpoints, none twice.
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

    json_node const* node_;
    std::string path_;
    error_list* errors_;
};

// "250ms", "30s", "5m" or "1h" to milliseconds.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

// "1h", "30s" or "250ms": the largest unit that is exact.
std::string duration_to_string(std::chrono::milliseconds value);

enum class presence : std::uint8_t
{
    required,
    optional
};

// One field of an object and the function that reads it into `Object`.
template <typename Object>
struct field
{
    std::string_view name_;
    presence presence_;
    void (*read_)(value_reader const&, Object&);
};

// The member of this name, or nullptr; reports one that is given twice.
json_node const* find_member(value_reader const& object, std::string_view name);

// Reports members that no field of the table has.
void reject_unknown(value_reader const& object,
                    std::span<std::string_view const> known);

// Reads an object by a table of fields.
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

// Sorts faults by their place in the file.
void sort_errors(error_list& errors);

} // namespace daisytrail::detail
