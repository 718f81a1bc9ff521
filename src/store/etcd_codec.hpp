// JSON bodies of the etcd v3 gateway: keys and values are base64, 64-bit
// integers are strings.
#pragma once

#include <daisytrail/store.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace daisytrail::detail
{

std::string encode_base64(std::string_view text);

// Throws error(invalid_argument) on anything but padded standard base64.
std::string decode_base64(std::string_view text);

// The first key after every key that starts with `prefix`.
std::string prefix_end(std::string prefix);

boost::json::object range_body(std::string const& prefix, std::size_t limit);
boost::json::object swap_body(std::vector<store_comparison> const& comparisons,
                              std::vector<store_write> const& writes);
boost::json::object watch_body(std::string const& prefix, revision from);

// Readers of answers; they throw on a shape that they don't know.
store_answer read_range(boost::json::value const& body);
store_answer read_swap(boost::json::value const& body);
store_answer read_grant(boost::json::value const& body);
store_answer read_keep_alive(boost::json::value const& body);
store_answer read_watch(boost::json::value const& body);

} // namespace daisytrail::detail
