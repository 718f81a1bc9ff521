// Formats the keys of accepted changes and converts their values to and from
// JSON.
#include "cli/stored_change.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::uint64_t vip_buckets = 64;
constexpr std::size_t number_digits = 10;

// Pads the number with zeros, so that keys sort in the order of the changes.
std::string zero_padded(std::uint64_t number)
{
    auto text = std::to_string(number);
    return std::string(number_digits - std::min(number_digits, text.size()),
                       '0') +
           text;
}

json::object parse_object(std::string const& text, std::string_view what)
{
    json::error_code code;
    auto const value = json::parse(text, code);
    if (code || !value.is_object())
    {
        throw error(error_kind::internal, "the store holds " +
                                              std::string(what) +
                                              " that is not a JSON object");
    }
    return value.get_object();
}

std::string string_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        throw error(error_kind::internal, "the store holds a value without '" +
                                              std::string(name) + "'");
    }
    return std::string(value->get_string());
}

// Returns a number from 0 on, or 0 if there is none, as in templates that other
// tools wrote.
std::uint64_t number_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0)
    {
        return 0;
    }
    return static_cast<std::uint64_t>(value->get_int64());
}

} // namespace

std::string template_key(std::string const& organisation)
{
    return std::string(template_prefix) + organisation;
}

std::string audit_key(std::string const& organisation, std::uint64_t number)
{
    return std::string(audit_prefix) + organisation + "/" + zero_padded(number);
}

std::string audit_page_prefix(std::string const& organisation,
                              std::uint64_t number)
{
    auto key = audit_key(organisation, number);
    key.pop_back();
    return key;
}

std::string change_key(std::string const& organisation,
                       std::string const& change_id)
{
    return std::string(change_prefix) + organisation + "/" + change_id;
}

std::string vip_bucket_key(std::string const& vip)
{
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x",
                  static_cast<unsigned>(hash_name(vip) % vip_buckets));
    return std::string(vip_prefix) + digits.data();
}

std::string to_json_text(stored_template const& value)
{
    return json::serialize(json::object{{"change_id", value.change_id_},
                                        {"who", value.who_},
                                        {"when", value.when_},
                                        {"number", value.number_},
                                        {"version", value.version_},
                                        {"template", value.template_}});
}

std::string to_json_text(audit_entry const& value)
{
    return json::serialize(json::object{{"organisation", value.organisation_},
                                        {"change_id", value.change_id_},
                                        {"who", value.who_},
                                        {"when", value.when_},
                                        {"number", value.number_},
                                        {"before", value.before_},
                                        {"after", value.after_}});
}

std::string to_json_text(vip_claims const& value)
{
    json::object object;
    for (auto const& [vip, organisation] : value)
    {
        object[vip] = organisation;
    }
    return json::serialize(object);
}

stored_template parse_stored_template(std::string const& text)
{
    auto const object = parse_object(text, "a template");
    return {
        string_member(object, "change_id"), string_member(object, "who"),
        string_member(object, "when"),      number_member(object, "number"),
        string_member(object, "template"),  number_member(object, "version")};
}

audit_entry parse_audit_entry(store_entry const& entry)
{
    auto const object = parse_object(entry.value_, "an audit entry");
    return {string_member(object, "organisation"),
            string_member(object, "change_id"),
            string_member(object, "who"),
            string_member(object, "when"),
            number_member(object, "number"),
            string_member(object, "before"),
            string_member(object, "after"),
            entry.modified_revision_};
}

vip_claims parse_vip_claims(std::string const& text)
{
    vip_claims claims;
    auto const object = parse_object(text, "claims on VIPs");
    for (auto const& member : object)
    {
        claims[std::string(member.key())] = string_member(object, member.key());
    }
    return claims;
}

} // namespace daisytrail
