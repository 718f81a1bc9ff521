// Parses and validates stored template values.
#include "net/adopted_template.hpp"

#include "net/template_parser.hpp"

#include <daisytrail/error.hpp>

#include <utility>

namespace daisytrail
{

namespace
{

// The last value that was parsed. Each value is needed several times in a row:
// for its version, for its check and for its use.
parsed_template& last_parsed()
{
    thread_local parsed_template last;
    return last;
}

parsed_template const& parse_once(std::string_view text)
{
    auto& last = last_parsed();
    bool const is_same =
        last.text_ == text && (last.template_ || !last.fault_.empty());
    if (!is_same)
    {
        last = parse_template(std::string(text));
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
    remember_parsed_template(
        {std::move(value), version, std::move(parsed), {}});
}

void remember_parsed_template(parsed_template parsed)
{
    last_parsed() = std::move(parsed);
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
