// Heads of HTTP/1.1 requests and responses as values, without hop-by-hop
// fields.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

struct header_field
{
    std::string name_;
    std::string value_;

    bool operator==(header_field const&) const = default;
};

using header_fields = std::vector<header_field>;

// Returns the value of the first field with this name (case-insensitive), or an
// empty view if there is none.
std::string_view find_field(header_fields const& fields, std::string_view name);

struct request_head
{
    std::string method_;
    std::string target_;
    header_fields fields_;                // end-to-end fields only
    std::optional<std::uint64_t> length_; // of the body, if declared
    bool chunked_ = false;
    bool keep_alive_ = true;
    bool expects_continue_ = false;
    bool is_http_1_0_ = false;

    bool has_body() const
    {
        return chunked_ || length_.value_or(0) > 0;
    }

    // The request target without its query.
    std::string_view path() const;
};

struct response_head
{
    unsigned status_ = 0;
    std::string reason_;
    header_fields fields_;                // end-to-end fields only
    std::optional<std::uint64_t> length_; // of the body, if declared
    bool has_body_ = true; // false for HEAD and for 1xx, 204 and 304
};

request_head
read_request_head(boost::beast::http::request_header<> const& header);
response_head
read_response_head(boost::beast::http::response_header<> const& header,
                   bool to_head_request);

// Serializes the head for the backend server, with "Connection: close" since
// each request uses its own connection.
std::string write_request_head(request_head const& head);

// Serializes the head for a caller. A body without a length is chunked; with
// HTTP/1.0 the end of the connection ends it.
std::string write_response_head(response_head const& head, bool keep_alive,
                                bool is_http_1_0);

// Returns a chunk such as "5\r\nhello\r\n". An empty chunk ends the body.
std::string write_chunk(std::string_view bytes);

} // namespace daisytrail
