// Parses and validates stored template values.
#include "net/adopted_template.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

std::string read_text(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr)
    {
        throw error(error_kind::invalid_argument,
                    "the stored value has no member '" + std::string(name) +
                        "'");
    }
    return value->is_string() ? std::string(value->get_string())
                              : json::serialize(*value);
}

std::optional<template_version> read_version(json::object const& object)
{
    auto const* value = object.if_contains("version");
    if (value == nullptr)
    {
        return std::nullopt;
    }
    json::error_code code;
    auto const result = value->to_number<template_version>(code);
    if (code)
    {
        throw error(error_kind::invalid_argument,
                    "the stored value's member 'version' isn't a whole number "
                    "from 0 on");
    }
    return result;
}

json::object read_object(std::string_view value)
{
    boost::system::error_code code;
    auto parsed = json::parse(value, code);
    if (code || !parsed.is_object())
    {
        throw error(error_kind::invalid_argument,
                    "the stored value isn't a JSON object");
    }
    return std::move(parsed.get_object());
}

// Number of a template's faults that the message of its refusal lists. The
// message is logged and kept, and a long template may have thousands of faults.
constexpr std::size_t max_listed_faults = 8;

std::string list_faults(std::vector<template_error> const& faults)
{
    std::string text;
    auto const listed = std::min(faults.size(), max_listed_faults);
    for (std::size_t i = 0; i < listed; ++i)
    {
        text += (i == 0 ? "" : "; ") + to_string(faults[i]);
    }
    if (listed < faults.size())
    {
        text += "; and " + std::to_string(faults.size() - listed) + " more";
    }
    return text;
}

// Result of parsing a value. A version is known even if the template is
// invalid.
struct parsed_value
{
    std::string text_;
    std::optional<template_version> version_;
    adopted_template_ptr template_; // nullptr: invalid
    std::string fault_;             // why it's invalid
};

adopted_template read_template(json::object const& object)
{
    adopted_template result;
    result.change_id_ = read_text(object, "change_id");
    result.who_ = read_text(object, "who");
    result.when_ = read_text(object, "when");
    result.version_ = read_version(object);
    auto organisation =
        parse_stored_organisation(read_text(object, "template"));
    if (!organisation.errors_.empty())
    {
        throw error(error_kind::invalid_argument,
                    list_faults(organisation.errors_));
    }
    result.value_ = std::move(organisation.value_);
    return result;
}

parsed_value parse_value(std::string_view text)
{
    parsed_value result;
    result.text_ = text;
    try
    {
        auto const object = read_object(text);
        result.version_ = read_version(object);
        result.template_ =
            std::make_shared<adopted_template>(read_template(object));
    }
    catch (error const& fault)
    {
        result.fault_ = fault.what();
    }
    return result;
}

// The last value that was parsed. Each value is needed several times in a row:
// for its version, for its check and for its use.
parsed_value& last_parsed()
{
    thread_local parsed_value last;
    return last;
}

parsed_value const& parse_once(std::string_view text)
{
    auto& last = last_parsed();
    bool const is_same =
        last.text_ == text && (last.template_ || !last.fault_.empty());
    if (!is_same)
    {
        last = parse_value(text);
    }
    return last;
}

} // namespace

adopted_template_ptr parse_adopted_template(std::string_view value)
{
    auto const& parsed = parse_once(value);
    if (!parsed.template_)
    {
        throw error(error_kind::invalid_argument, parsed.fault_);
    }
    return parsed.template_;
}

void remember_adopted_template(std::string value, adopted_template_ptr parsed)
{
    auto const version = parsed->version_;
    last_parsed() = {std::move(value), version, std::move(parsed), {}};
}

// The version of an invalid template counts too: it tells whether the value is
// refused as older or as invalid.
template_version version_of(store_entry const& entry)
{
    return parse_once(entry.value_).version_.value_or(entry.modified_revision_);
}

std::optional<std::string> check_adopted_template(std::string_view value)
{
    auto const& parsed = parse_once(value);
    return parsed.template_ ? std::nullopt : std::optional(parsed.fault_);
}

} // namespace daisytrail
