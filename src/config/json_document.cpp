// Feeds Boost.JSON's event parser token by token, so that the position of each
// event's first byte is known. Comments are replaced by spaces beforehand,
// since the parser's own support for comments fails if a comment ends at the
// end of a buffer.
#include "config/json_document.hpp"

#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail::detail
{

namespace
{

namespace json = boost::json;

constexpr std::size_t unlimited = static_cast<std::size_t>(-1);

// Builds the tree from the parser's events. read_json() sets token_position_ to
// the first byte of the current token.
struct tree_builder
{
    // NOLINTBEGIN(readability-identifier-naming): names that Boost.JSON
    // requires
    static constexpr std::size_t max_array_size = unlimited;
    static constexpr std::size_t max_object_size = unlimited;
    static constexpr std::size_t max_string_size = unlimited;
    static constexpr std::size_t max_key_size = unlimited;
    // NOLINTEND(readability-identifier-naming)

    json_node root_;
    std::vector<json_node> open_nodes_; // arrays and objects not yet closed
    std::string partial_text_;          // part of a string or key read so far
    std::string key_;
    text_position key_position_;
    text_position token_position_;
    bool in_token_ = false;

    json_node make(json_type type)
    {
        in_token_ = false;
        json_node node;
        node.type_ = type;
        node.position_ = token_position_;
        node.key_ = std::exchange(key_, {});
        node.key_position_ = key_position_;
        return node;
    }

    bool add(json_node node)
    {
        if (open_nodes_.empty())
        {
            root_ = std::move(node);
        }
        else
        {
            open_nodes_.back().children_.push_back(std::move(node));
        }
        return true;
    }

    bool open(json_type type)
    {
        open_nodes_.push_back(make(type));
        return true;
    }

    bool close()
    {
        auto node = std::move(open_nodes_.back());
        open_nodes_.pop_back();
        in_token_ = false;
        return add(std::move(node));
    }

    bool add_number(json_type type, std::uint64_t integer, double real)
    {
        auto node = make(type);
        node.integer_ = integer;
        node.real_ = real;
        return add(std::move(node));
    }

    bool on_document_begin(json::error_code&)
    {
        return true;
    }

    bool on_document_end(json::error_code&)
    {
        return true;
    }

    bool on_array_begin(json::error_code&)
    {
        return open(json_type::array);
    }

    bool on_array_end(std::size_t, json::error_code&)
    {
        return close();
    }

    bool on_object_begin(json::error_code&)
    {
        return open(json_type::object);
    }

    bool on_object_end(std::size_t, json::error_code&)
    {
        return close();
    }

    bool on_string_part(json::string_view part, std::size_t, json::error_code&)
    {
        partial_text_.append(part.data(), part.size());
        return true;
    }

    bool on_string(json::string_view part, std::size_t, json::error_code&)
    {
        partial_text_.append(part.data(), part.size());
        auto node = make(json_type::string);
        node.text_ = std::exchange(partial_text_, {});
        return add(std::move(node));
    }

    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        partial_text_.append(part.data(), part.size());
        return true;
    }

    bool on_key(json::string_view part, std::size_t, json::error_code&)
    {
        partial_text_.append(part.data(), part.size());
        key_ = std::exchange(partial_text_, {});
        key_position_ = token_position_;
        in_token_ = false;
        return true;
    }

    static bool on_number_part(json::string_view, json::error_code&)
    {
        return true;
    }

    bool on_int64(std::int64_t value, json::string_view, json::error_code&)
    {
        auto const real = static_cast<double>(value);
        return value < 0 ? add_number(json_type::real, 0, real)
                         : add_number(json_type::integer,
                                      static_cast<std::uint64_t>(value), real);
    }

    bool on_uint64(std::uint64_t value, json::string_view, json::error_code&)
    {
        return add_number(json_type::integer, value,
                          static_cast<double>(value));
    }

    bool on_double(double value, json::string_view, json::error_code&)
    {
        return add_number(json_type::real, 0, value);
    }

    bool on_bool(bool value, json::error_code&)
    {
        auto node = make(json_type::boolean);
        node.boolean_ = value;
        return add(std::move(node));
    }

    bool on_null(json::error_code&)
    {
        return add(make(json_type::null));
    }

    static bool on_comment_part(json::string_view, json::error_code&)
    {
        return true;
    }

    static bool on_comment(json::string_view, json::error_code&)
    {
        return true;
    }
};

// Returns the position after the string that starts at `from`.
std::size_t skip_string(std::string_view text, std::size_t from)
{
    std::size_t position = from + 1;
    while (position < text.size() && text[position] != '"')
    {
        position += text[position] == '\\' ? 2 : 1;
    }
    return position + 1;
}

// Returns the position after the comment that starts at `from`, or `from` if no
// closed comment starts there. A line comment ends before its line break.
std::size_t skip_comment(std::string_view text, std::size_t from)
{
    auto const opening = text.substr(from, 2);
    if (opening == "//")
    {
        return std::min(text.find('\n', from), text.size());
    }
    if (opening != "/*")
    {
        return from;
    }
    auto const end = text.find("*/", from + 2);
    return end == std::string_view::npos ? from : end + 2;
}

// Replaces comments by spaces, so that all other bytes keep their line and
// column.
std::string blank_comments(std::string_view text)
{
    std::string result(text);
    std::size_t position = 0;
    while (position < text.size())
    {
        if (text[position] == '"')
        {
            position = skip_string(text, position);
            continue;
        }
        auto const end = skip_comment(text, position);
        std::replace_if(
            result.begin() + static_cast<std::ptrdiff_t>(position),
            result.begin() + static_cast<std::ptrdiff_t>(end),
            [](char byte) { return byte != '\n'; }, ' ');
        position = std::max(end, position + 1);
    }
    return result;
}

bool starts_token(char byte)
{
    constexpr std::string_view separators = " \t\r\n,:]}";
    return separators.find(byte) == std::string_view::npos;
}

// Returns the position after the token or separator that starts at `from`.
std::size_t token_end(std::string_view text, std::size_t from)
{
    constexpr std::string_view single_byte_tokens = " \t\r\n,:[]{}";
    if (text[from] == '"')
    {
        return std::min(skip_string(text, from), text.size());
    }
    if (single_byte_tokens.find(text[from]) != std::string_view::npos)
    {
        return from + 1;
    }
    auto const end = text.find_first_of(" \t\r\n,:[]{}\"", from);
    return std::min(end, text.size());
}

void advance(text_position& position, std::string_view passed)
{
    for (char const byte : passed)
    {
        if (byte == '\n')
        {
            ++position.line_;
            position.column_ = 1;
            continue;
        }
        ++position.column_;
    }
}

std::string describe(char byte)
{
    constexpr char first_printable = 0x20;
    if (byte >= first_printable)
    {
        return {'\'', byte, '\''};
    }
    return byte == '\n' ? "the end of the line" : "an unprintable byte";
}

template_error syntax_error(text_position position, std::string found,
                            json::error_code const& code)
{
    return {"", position.line_, position.column_, std::move(found),
            "JSON with comments (" + code.message() + ")"};
}

// A negative number isn't an integer of a document.
void set_integer(json_node& node, std::int64_t value)
{
    node.real_ = static_cast<double>(value);
    node.type_ = value < 0 ? json_type::real : json_type::integer;
    node.integer_ = value < 0 ? 0 : static_cast<std::uint64_t>(value);
}

} // namespace

json_document read_json(std::string_view text)
{
    json::basic_parser<tree_builder> parser(json::parse_options{});
    json_document document;
    text_position position;
    json::error_code code;
    auto const uncommented = blank_comments(text);
    std::string_view const input = uncommented;
    std::size_t from = 0;
    while (from < input.size())
    {
        auto const token = input.substr(from, token_end(input, from) - from);
        auto& builder = parser.handler();
        if (!builder.in_token_ && starts_token(token.front()))
        {
            builder.in_token_ = true;
            builder.token_position_ = position;
        }
        auto const consumed =
            parser.write_some(true, token.data(), token.size(), code);
        if (!code && consumed < token.size())
        {
            code = json::error::extra_data;
        }
        if (code)
        {
            advance(position, token.substr(0, consumed));
            auto const offending = token[std::min(consumed, token.size() - 1)];
            document.errors_.push_back(
                syntax_error(position, describe(offending), code));
            return document;
        }
        advance(position, token);
        from += token.size();
    }
    parser.write_some(false, "", 0, code);
    if (code)
    {
        document.errors_.push_back(
            syntax_error(position, "the end of the text", code));
        return document;
    }
    document.root_ = std::move(parser.handler().root_);
    return document;
}

json_node to_json_node(json::value const& value)
{
    json_node node;
    node.position_ = {0, 0};
    switch (value.kind())
    {
    case json::kind::null:
        break;
    case json::kind::bool_:
        node.type_ = json_type::boolean;
        node.boolean_ = value.get_bool();
        break;
    case json::kind::int64:
        set_integer(node, value.get_int64());
        break;
    case json::kind::uint64:
        node.type_ = json_type::integer;
        node.integer_ = value.get_uint64();
        node.real_ = static_cast<double>(value.get_uint64());
        break;
    case json::kind::double_:
        node.type_ = json_type::real;
        node.real_ = value.get_double();
        break;
    case json::kind::string:
        node.type_ = json_type::string;
        node.text_ = std::string_view(value.get_string());
        break;
    case json::kind::array:
        node.type_ = json_type::array;
        for (auto const& element : value.get_array())
        {
            node.children_.push_back(to_json_node(element));
        }
        break;
    case json::kind::object:
        node.type_ = json_type::object;
        for (auto const& member : value.get_object())
        {
            node.children_.push_back(to_json_node(member.value()));
            node.children_.back().key_ = member.key();
        }
        break;
    }
    return node;
}

} // namespace daisytrail::detail
