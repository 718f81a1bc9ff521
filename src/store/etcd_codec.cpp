// Encodes and decodes JSON bodies of the etcd gateway.
#include "store/etcd_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>
#include <sodium.h>

#include <charconv>

namespace daisytrail::detail
{

namespace
{

namespace json = boost::json;

std::int64_t to_integer(json::value const& value)
{
    if (!value.is_string())
    {
        return value.to_number<std::int64_t>();
    }
    auto const& text = value.get_string();
    std::int64_t number = 0;
    auto const* last = text.data() + text.size();
    auto const [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc{} || end != last)
    {
        throw error(error_kind::invalid_argument,
                    "store: found '" + std::string(text) +
                        "', expected a 64-bit integer");
    }
    return number;
}

// The gateway omits members whose value is zero or empty.
std::int64_t integer_or_zero(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value == nullptr ? 0 : to_integer(*value);
}

std::string text_or_empty(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value == nullptr ? "" : decode_base64(value->as_string());
}

revision header_revision(json::object const& body)
{
    return static_cast<revision>(
        integer_or_zero(body.at("header").as_object(), "revision"));
}

// The cluster's identifier. A restore from a snapshot creates a new one.
store_generation header_generation(json::object const& body)
{
    auto const* header = body.if_contains("header");
    auto const* value = header == nullptr
                            ? nullptr
                            : header->as_object().if_contains("cluster_id");
    if (value == nullptr)
    {
        return 0;
    }
    if (!value->is_string())
    {
        return value->to_number<store_generation>();
    }
    auto const& text = value->get_string();
    auto const* const end = text.data() + text.size();
    store_generation result = 0;
    if (std::from_chars(text.data(), end, result).ptr != end)
    {
        throw error(error_kind::invalid_argument,
                    "store: found '" + std::string(text) +
                        "' as the cluster's identifier");
    }
    return result;
}

store_entry read_entry(json::object const& pair)
{
    return {text_or_empty(pair, "key"), text_or_empty(pair, "value"),
            static_cast<revision>(integer_or_zero(pair, "mod_revision"))};
}

void append_entries(json::object const& range, std::vector<store_entry>& to)
{
    if (auto const* pairs = range.if_contains("kvs"))
    {
        for (auto const& pair : pairs->as_array())
        {
            to.push_back(read_entry(pair.as_object()));
        }
    }
}

json::object put_body(store_write const& write)
{
    json::object put{{"key", encode_base64(write.key_)},
                     {"value", encode_base64(write.value_)}};
    if (write.lease_ != 0)
    {
        put["lease"] = std::to_string(write.lease_);
    }
    json::object body;
    body["requestPut"] = std::move(put);
    return body;
}

} // namespace

std::string encode_base64(std::string_view text)
{
    std::string encoded(
        sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL),
        '\0');
    sodium_bin2base64(encoded.data(), encoded.size(),
                      reinterpret_cast<unsigned char const*>(text.data()),
                      text.size(), sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back(); // the terminating zero
    return encoded;
}

std::string decode_base64(std::string_view text)
{
    std::string decoded(text.size(), '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(decoded.data()),
                          decoded.size(), text.data(), text.size(), nullptr,
                          &size, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
    {
        throw error(error_kind::invalid_argument,
                    "store: a key or value isn't base64");
    }
    decoded.resize(size);
    return decoded;
}

std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFF)
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        return std::string(1, '\0'); // for etcd: no upper end of the range
    }
    ++prefix.back();
    return prefix;
}

json::object range_body(std::string const& prefix, std::string const& first_key,
                        std::size_t limit)
{
    return {{"key", encode_base64(first_key)},
            {"range_end", encode_base64(prefix_end(prefix))},
            {"limit", std::to_string(limit)}};
}

json::object swap_body(std::vector<store_comparison> const& comparisons,
                       std::vector<store_write> const& writes)
{
    json::array compare;
    json::array success;
    json::array failure;
    for (auto const& comparison : comparisons)
    {
        compare.push_back(
            {{"key", encode_base64(comparison.key_)},
             {"target", "MOD"},
             {"result", "EQUAL"},
             {"mod_revision", std::to_string(comparison.modified_revision_)}});
        failure.push_back(json::object{
            {"requestRange",
             json::object{{"key", encode_base64(comparison.key_)}}}});
    }
    for (auto const& write : writes)
    {
        if (write.remove_)
        {
            success.push_back(json::object{
                {"requestDeleteRange",
                 json::object{{"key", encode_base64(write.key_)}}}});
        }
        else
        {
            success.push_back(put_body(write));
        }
    }
    return {{"compare", compare}, {"success", success}, {"failure", failure}};
}

json::object watch_body(std::string const& prefix, revision from)
{
    json::object request{{"key", encode_base64(prefix)},
                         {"range_end", encode_base64(prefix_end(prefix))},
                         {"start_revision", std::to_string(from)}};
    json::object body;
    body["create_request"] = std::move(request);
    return body;
}

store_answer read_range(json::value const& body)
{
    auto const& object = body.as_object();
    store_answer answer;
    answer.revision_ = header_revision(object);
    answer.generation_ = header_generation(object);
    append_entries(object, answer.entries_);
    return answer;
}

store_answer read_swap(json::value const& body)
{
    auto const& object = body.as_object();
    store_answer answer;
    answer.revision_ = header_revision(object);
    answer.generation_ = header_generation(object);
    auto const* succeeded = object.if_contains("succeeded");
    answer.succeeded_ = succeeded != nullptr && succeeded->as_bool();
    auto const* responses = object.if_contains("responses");
    if (answer.succeeded_ || responses == nullptr)
    {
        return answer;
    }
    for (auto const& response : responses->as_array())
    {
        if (auto const* range =
                response.as_object().if_contains("response_range"))
        {
            append_entries(range->as_object(), answer.entries_);
        }
    }
    return answer;
}

store_answer read_grant(json::value const& body)
{
    store_answer answer;
    auto const& object = body.as_object();
    answer.revision_ = static_cast<revision>(integer_or_zero(object, "ID"));
    answer.generation_ = header_generation(object);
    return answer;
}

store_answer read_keep_alive(json::value const& body)
{
    store_answer answer;
    auto const& result = body.at("result").as_object();
    answer.generation_ = header_generation(result);
    if (integer_or_zero(result, "TTL") <= 0)
    {
        answer.error_ = error_kind::not_found;
        answer.detail_ = "the lease has expired";
    }
    return answer;
}

store_answer read_watch(json::value const& body)
{
    auto const& result = body.at("result").as_object();
    store_answer answer;
    answer.revision_ = header_revision(result);
    answer.generation_ = header_generation(result);
    auto const* events = result.if_contains("events");
    if (auto const* canceled = result.if_contains("canceled");
        canceled != nullptr && canceled->as_bool())
    {
        answer.error_ = error_kind::stale;
        answer.detail_ = "the store ended the watch";
    }
    if (events == nullptr)
    {
        return answer;
    }
    for (auto const& event : events->as_array())
    {
        answer.entries_.push_back(
            read_entry(event.as_object().at("kv").as_object()));
    }
    return answer;
}

} // namespace daisytrail::detail
