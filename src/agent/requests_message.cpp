// Reads HTTP/1.1 heads from Beast's field containers and serializes them.
#include "agent/requests_message.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace daisytrail
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::array hop_by_hop_fields{http::field::connection,
                                       http::field::keep_alive,
                                       http::field::proxy_connection,
                                       http::field::te,
                                       http::field::transfer_encoding,
                                       http::field::upgrade,
                                       http::field::expect,
                                       http::field::content_length};

bool is_end_to_end(http::fields::value_type const& field,
                   http::fields const& all_fields)
{
    if (std::find(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                  field.name()) != hop_by_hop_fields.end())
    {
        return false;
    }
    // Fields that the Connection header names are hop-by-hop too.
    auto named = http::token_list(all_fields[http::field::connection]);
    return !named.exists(field.name_string());
}

header_fields end_to_end_fields(http::fields const& all_fields)
{
    header_fields result;
    for (auto const& field : all_fields)
    {
        if (is_end_to_end(field, all_fields))
        {
            result.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
    }
    return result;
}

std::optional<std::uint64_t> content_length(http::fields const& all_fields)
{
    auto const found = all_fields.find(http::field::content_length);
    if (found == all_fields.end())
    {
        return std::nullopt;
    }
    auto const text = found->value();
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool is_chunked(http::fields const& all_fields)
{
    return http::token_list(all_fields[http::field::transfer_encoding])
        .exists("chunked");
}

void append_fields(std::string& out, header_fields const& fields)
{
    for (auto const& field : fields)
    {
        out.append(field.name_)
            .append(": ")
            .append(field.value_)
            .append("\r\n");
    }
}

} // namespace

std::string_view find_field(header_fields const& fields, std::string_view name)
{
    for (auto const& field : fields)
    {
        if (beast::iequals(field.name_, name))
        {
            return field.value_;
        }
    }
    return {};
}

std::string_view request_head::path() const
{
    return std::string_view(target_).substr(0, target_.find('?'));
}

request_head read_request_head(http::request_header<> const& header)
{
    request_head head;
    head.method_ = header.method_string();
    head.target_ = header.target();
    head.fields_ = end_to_end_fields(header);
    head.chunked_ = is_chunked(header);
    if (!head.chunked_)
    {
        head.length_ = content_length(header);
    }
    head.is_http_1_0_ = header.version() < 11;
    http::token_list connection(header[http::field::connection]);
    head.keep_alive_ = head.is_http_1_0_ ? connection.exists("keep-alive")
                                         : !connection.exists("close");
    head.expects_continue_ =
        beast::iequals(header[http::field::expect], "100-continue");
    return head;
}

response_head read_response_head(http::response_header<> const& header,
                                 bool to_head_request)
{
    response_head head;
    head.status_ = header.result_int();
    head.reason_ = header.reason();
    head.fields_ = end_to_end_fields(header);
    if (!is_chunked(header))
    {
        head.length_ = content_length(header);
    }
    head.has_body_ = !to_head_request && head.status_ >= 200 &&
                     head.status_ != 204 && head.status_ != 304;
    return head;
}

std::string write_request_head(request_head const& head)
{
    std::string out = head.method_ + ' ' + head.target_ + " HTTP/1.1\r\n";
    append_fields(out, head.fields_);
    if (head.length_)
    {
        out += "Content-Length: " + std::to_string(*head.length_) + "\r\n";
    }
    else if (head.chunked_)
    {
        out += "Transfer-Encoding: chunked\r\n";
    }
    return out + "Connection: close\r\n\r\n";
}

std::string write_response_head(response_head const& head, bool keep_alive,
                                bool is_http_1_0)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status_) + ' ' +
                      head.reason_ + "\r\n";
    append_fields(out, head.fields_);
    if (head.length_)
    {
        out += "Content-Length: " + std::to_string(*head.length_) + "\r\n";
    }
    else if (head.has_body_ && !is_http_1_0)
    {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (!keep_alive)
    {
        out += "Connection: close\r\n";
    }
    else if (is_http_1_0)
    {
        out += "Connection: keep-alive\r\n";
    }
    return out + "\r\n";
}

std::string write_chunk(std::string_view bytes)
{
    std::array<char, 20> size{};
    auto const length =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out(size.data(), static_cast<std::size_t>(length));
    return out.append(bytes).append("\r\n");
}

} // namespace daisytrail
