// Formats and parses the stored list of targets.
#include "net/stored_targets.hpp"

#include <daisytrail/error.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace daisytrail
{

namespace
{

// Separates the name from the control address. Releases that don't know the
// control address read it as a part of the name.
constexpr char control_separator = '\t';

target_record parse_line(std::string const& line)
{
    std::istringstream fields(line);
    target_record record;
    std::string tunnel;
    fields >> std::hex >> record.target_;
    bool const is_separated = fields.eof() || std::isspace(fields.peek()) != 0;
    if (!fields || !is_separated)
    {
        throw error(error_kind::invalid_argument,
                    "a stored target has no identifier: '" + line + "'");
    }
    fields >> std::ws;
    if (fields.eof())
    {
        return record;
    }
    fields >> record.service_ >> tunnel >> record.failure_domain_ >> std::ws;
    std::getline(fields, record.name_, control_separator);
    if (!fields || record.name_.empty())
    {
        throw error(error_kind::invalid_argument,
                    "a stored target is incomplete: '" + line + "'");
    }
    record.tunnel_ = parse_endpoint(tunnel);
    std::string control;
    if (std::getline(fields, control))
    {
        record.control_ = parse_endpoint(control);
    }
    record.state_ = member_state::ready;
    return record;
}

// The failure domain is one word of the line.
bool can_store_address(target_record const& record)
{
    return !record.name_.empty() && !record.failure_domain_.empty() &&
           std::ranges::none_of(record.failure_domain_,
                                [](char each) { return each <= ' '; }) &&
           record.name_.find('\n') == std::string::npos &&
           record.name_.find(control_separator) == std::string::npos;
}

} // namespace

std::string
format_stored_targets(std::vector<target_record const*> const& targets)
{
    std::ostringstream text;
    text << std::hex;
    std::size_t addresses = 0;
    for (auto const* const record : targets)
    {
        text << record->target_;
        if (addresses < max_stored_addresses && can_store_address(*record))
        {
            ++addresses;
            text << ' ' << record->service_ << ' ' << to_string(record->tunnel_)
                 << ' ' << record->failure_domain_ << ' ' << record->name_;
            if (record->control_ != endpoint{})
            {
                text << control_separator << to_string(record->control_);
            }
        }
        text << '\n';
    }
    return text.str();
}

stored_target_list parse_stored_targets(std::string_view text)
{
    std::istringstream lines{std::string(text)};
    stored_target_list result;
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.empty())
        {
            continue;
        }
        try
        {
            result.targets_.push_back(parse_line(line));
        }
        catch (error const& failure)
        {
            if (result.refused_lines_++ == 0)
            {
                result.first_refusal_ = failure.what();
            }
        }
    }
    return result;
}

} // namespace daisytrail
