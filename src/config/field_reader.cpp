// Validates and converts the values of a JSON tree.
#include "config/field_reader.hpp"

#include <daisytrail/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <tuple>

namespace daisytrail::detail
{

namespace
{

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_quoted_bytes = 60;

std::string quote(std::string_view text)
{
    std::string quoted(1, '\'');
    quoted += text.substr(0, max_quoted_bytes);
    quoted += text.size() > max_quoted_bytes ? "...'" : "'";
    return quoted;
}

std::string describe_number(double value)
{
    std::array<char, 32> buffer{};
    auto const [end, code] =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return code == std::errc{} ? std::string(buffer.data(), end) : "a number";
}

std::string describe(json_node const& node)
{
    switch (node.type_)
    {
    case json_type::null:
        return "null";
    case json_type::boolean:
        return node.boolean_ ? "true" : "false";
    case json_type::integer:
        return std::to_string(node.integer_);
    case json_type::real:
        return describe_number(node.real_);
    case json_type::string:
        return quote(node.text_);
    case json_type::array:
        return "an array of " + std::to_string(node.children_.size());
    case json_type::object:
        return "an object";
    }
    return "nothing";
}

bool is_name_byte(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= '0' && byte <= '9') ||
           byte == '-' || byte == '.';
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           text.front() != '-' && text.front() != '.' &&
           std::all_of(text.begin(), text.end(), is_name_byte);
}

std::string join(std::span<std::string_view const> names)
{
    std::string text;
    for (auto const name : names)
    {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

struct duration_unit
{
    std::string_view suffix_;
    std::int64_t milliseconds_;
};

// Ordered from the longest unit, so that duration_to_string() picks the largest
// exact unit.
constexpr std::array<duration_unit, 4> duration_units{{
    {"h", 3'600'000},
    {"m", 60'000},
    {"s", 1'000},
    {"ms", 1},
}};

} // namespace

std::string value_reader::path() const
{
    if (parent_ == nullptr)
    {
        return {};
    }
    auto result = parent_->path();
    auto const& siblings = parent_->node_->children_;
    if (parent_->node_->type_ == json_type::array)
    {
        return result + "[" + std::to_string(node_ - siblings.data()) + "]";
    }
    return result.empty() ? node_->key_ : result + "." + node_->key_;
}

void value_reader::add_error(std::string found, std::string expected) const
{
    errors_->push_back({path(), node_->position_.line_,
                        node_->position_.column_, std::move(found),
                        std::move(expected)});
}

void value_reader::reject(std::string expected) const
{
    add_error(describe(*node_), std::move(expected));
}

value_reader value_reader::element(std::size_t index) const
{
    return {node_->children_[index], *this};
}

value_reader value_reader::member(std::size_t index) const
{
    return {node_->children_[index], *this};
}

bool value_reader::require_array(std::size_t minimum, std::size_t maximum) const
{
    auto const size = node_->children_.size();
    bool const fits = size >= minimum && (size <= maximum || !has_bounds());
    if (node_->type_ == json_type::array && fits)
    {
        return true;
    }
    reject("an array of " + std::to_string(minimum) + " to " +
           std::to_string(maximum));
    return false;
}

void value_reader::text(std::string& out) const
{
    if (node_->type_ != json_type::string || node_->text_.empty())
    {
        reject("a string that is not empty");
        return;
    }
    out = node_->text_;
}

void value_reader::name(std::string& out) const
{
    if (!has_bounds())
    {
        text(out);
        return;
    }
    if (node_->type_ != json_type::string || !is_name(node_->text_))
    {
        reject("a name of lower-case letters, digits, '-' and '.', at most " +
               std::to_string(max_name_bytes) + " long");
        return;
    }
    out = node_->text_;
}

void value_reader::boolean(bool& out) const
{
    if (node_->type_ != json_type::boolean)
    {
        reject("true or false");
        return;
    }
    out = node_->boolean_;
}

void value_reader::real(double& out, double minimum, double maximum) const
{
    bool const is_number =
        node_->type_ == json_type::integer || node_->type_ == json_type::real;
    if (!is_number || node_->real_ < minimum || node_->real_ > maximum)
    {
        reject("a number from " + describe_number(minimum) + " to " +
               describe_number(maximum));
        return;
    }
    out = node_->real_;
}

void value_reader::duration(std::chrono::milliseconds& out,
                            std::chrono::milliseconds minimum,
                            std::chrono::milliseconds maximum) const
{
    auto const value = node_->type_ == json_type::string
                           ? parse_duration(node_->text_)
                           : std::nullopt;
    if (!value || *value < minimum || *value > maximum)
    {
        reject("a duration from \"" + duration_to_string(minimum) + "\" to \"" +
               duration_to_string(maximum) + "\", with unit ms, s, m or h");
        return;
    }
    out = *value;
}

void value_reader::address(endpoint& out) const
{
    constexpr auto expected = "an IPv4 address and port such as "
                              "\"127.0.0.1:80\"";
    if (node_->type_ != json_type::string)
    {
        reject(expected);
        return;
    }
    try
    {
        auto const value = parse_endpoint(node_->text_);
        if (value.port_ == 0)
        {
            reject("a port from 1 to 65535");
            return;
        }
        out = value;
    }
    catch (error const&)
    {
        reject(expected);
    }
}

void value_reader::names(std::vector<std::string>& out,
                         std::size_t maximum) const
{
    if (!require_array(0, maximum))
    {
        return;
    }
    out.clear();
    for (std::size_t i = 0; i < node_->children_.size(); ++i)
    {
        std::string value;
        element(i).name(value);
        if (!value.empty() &&
            std::find(out.begin(), out.end(), value) != out.end())
        {
            element(i).reject("each name only once");
        }
        out.push_back(std::move(value));
    }
}

void value_reader::addresses(std::vector<endpoint>& out, std::size_t minimum,
                             std::size_t maximum) const
{
    if (!require_array(minimum, maximum))
    {
        return;
    }
    out.clear();
    std::set<endpoint> seen;
    for (std::size_t i = 0; i < node_->children_.size(); ++i)
    {
        endpoint value;
        element(i).address(value);
        if (value.port_ != 0 && !seen.insert(value).second)
        {
            element(i).reject("each address only once");
        }
        out.push_back(value);
    }
}

std::optional<std::uint64_t>
value_reader::whole_number(std::uint64_t minimum, std::uint64_t maximum) const
{
    if (node_->type_ != json_type::integer || node_->integer_ < minimum ||
        node_->integer_ > maximum)
    {
        reject("a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum));
        return std::nullopt;
    }
    return node_->integer_;
}

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    constexpr std::int64_t limit = 1'000'000'000'000;
    std::int64_t count = 0;
    auto const* last = text.data() + text.size();
    auto const [end, code] = std::from_chars(text.data(), last, count);
    if (code != std::errc{} || count < 0 || count > limit)
    {
        return std::nullopt;
    }
    std::string_view const suffix(end, static_cast<std::size_t>(last - end));
    for (auto const& unit : duration_units)
    {
        if (unit.suffix_ == suffix)
        {
            return std::chrono::milliseconds(count * unit.milliseconds_);
        }
    }
    return std::nullopt;
}

std::string duration_to_string(std::chrono::milliseconds value)
{
    for (auto const& unit : duration_units)
    {
        if (value.count() != 0 && value.count() % unit.milliseconds_ == 0)
        {
            return std::to_string(value.count() / unit.milliseconds_) +
                   std::string(unit.suffix_);
        }
    }
    return "0s";
}

json_node const* find_member(value_reader const& object, std::string_view name)
{
    json_node const* found = nullptr;
    auto const& members = object.node().children_;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        if (members[i].key_ != name)
        {
            continue;
        }
        if (found != nullptr)
        {
            object.member(i).add_error("field '" + std::string(name) +
                                           "' again",
                                       "each field only once");
            continue;
        }
        found = &members[i];
    }
    return found;
}

void reject_unknown(value_reader const& object,
                    std::span<std::string_view const> known)
{
    auto const& members = object.node().children_;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        auto const& key = members[i].key_;
        if (std::find(known.begin(), known.end(), key) == known.end())
        {
            object.member(i).add_error("unknown field " + quote(key),
                                       "one of " + join(known));
        }
    }
}

void sort_errors(error_list& errors)
{
    std::stable_sort(errors.begin(), errors.end(),
                     [](template_error const& left, template_error const& right)
                     {
                         return std::tie(left.line_, left.column_) <
                                std::tie(right.line_, right.column_);
                     });
}

} // namespace daisytrail::detail
