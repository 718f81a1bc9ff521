// Parses and validates stored template values.
#include "net/adopted_template.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

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

adopted_template read_value(std::string_view value)
{
    auto const object = read_object(value);
    adopted_template result;
    result.change_id_ = read_text(object, "change_id");
    result.who_ = read_text(object, "who");
    result.when_ = read_text(object, "when");
    result.version_ = read_version(object);
    auto organisation = parse_organisation(read_text(object, "template"));
    std::string errors;
    for (auto const& fault : organisation.errors_)
    {
        errors += (errors.empty() ? "" : "; ") + to_string(fault);
    }
    if (!errors.empty())
    {
        throw error(error_kind::invalid_argument, errors);
    }
    result.value_ = std::move(organisation.value_);
    return result;
}

// Holds the last parsed value. Each value is parsed twice in a row, first to
// check it and then to use it, and parsing a large template takes milliseconds.
struct cached_template
{
    std::string text_;
    adopted_template value_;
};

cached_template& cache()
{
    thread_local cached_template cached;
    return cached;
}

} // namespace

adopted_template parse_adopted_template(std::string_view value)
{
    auto& cached = cache();
    if (cached.text_ != value || value.empty())
    {
        auto fresh = read_value(value);
        cached = {std::string(value), std::move(fresh)};
    }
    return cached.value_;
}

// The version of an invalid template counts too: it tells whether the value is
// refused as older or as invalid.
template_version version_of(store_entry const& entry)
{
    // A valid value is parsed whole, since it is used next.
    if (!check_adopted_template(entry.value_))
    {
        return parse_adopted_template(entry.value_)
            .version_.value_or(entry.modified_revision_);
    }
    try
    {
        return read_version(read_object(entry.value_))
            .value_or(entry.modified_revision_);
    }
    catch (error const&)
    {
        // The value's fault is reported when the value is offered.
        return entry.modified_revision_;
    }
}

std::optional<std::string> check_adopted_template(std::string_view value)
{
    try
    {
        parse_adopted_template(value);
        return std::nullopt;
    }
    catch (error const& fault)
    {
        return fault.what();
    }
}

} // namespace daisytrail
