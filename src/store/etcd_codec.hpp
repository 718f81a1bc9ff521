// Encodes requests to the etcd v3 JSON gateway and decodes its responses. In
// their bodies keys and values are base64, and 64-bit integers are strings.
#pragma once

#include <daisytrail/store.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace daisytrail::detail
{

std::string encode_base64(std::string_view text);

// Decodes standard base64 with padding. Throws error(invalid_argument) on other
// input.
std::string decode_base64(std::string_view text);

// Returns the end of the range of keys that start with `prefix`: the first key
// after them.
std::string prefix_end(std::string prefix);

// Request for at most `limit` entries with the prefix, from `first_key` on.
boost::json::object range_body(std::string const& prefix,
                               std::string const& first_key, std::size_t limit);
boost::json::object swap_body(std::vector<store_comparison> const& comparisons,
                              std::vector<store_write> const& writes);
boost::json::object watch_body(std::string const& prefix, revision from);

// Decode the bodies of responses. They throw if members are missing or have an
// unexpected type.
store_answer read_range(boost::json::value const& body);
store_answer read_swap(boost::json::value const& body);
store_answer read_grant(boost::json::value const& body);
store_answer read_keep_alive(boost::json::value const& body);
store_answer read_watch(boost::json::value const& body);

} // namespace daisytrail::detail
