// Tests of encoding and decoding the JSON bodies of the etcd gateway.
#include "store/etcd_codec.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::detail;
namespace json = boost::json;

TEST_CASE("base64 preserves all bytes and rejects invalid text")
{
    std::string const bytes("\0\xFF/a", 4);
    CHECK(decode_base64(encode_base64(bytes)) == bytes);
    CHECK(decode_base64("").empty());
    CHECK_THROWS_AS(decode_base64("a"), error);
    CHECK_THROWS_AS(decode_base64("*AAA"), error);
}

TEST_CASE("the end of a prefix is the first key after its range")
{
    CHECK(prefix_end("a/") == "a0");
    CHECK(prefix_end("a\xFF") == "b");
    CHECK(prefix_end("\xFF") == std::string(1, '\0'));
}

TEST_CASE("every response shows the generation of the store, the cluster's "
          "identifier")
{
    constexpr store_generation expected = 14'841'639'068'965'178'418U;
    std::string const header =
        R"("header":{"cluster_id":"14841639068965178418","revision":"9"})";
    auto const object = [&](std::string const& more)
    {
        return json::parse("{" + header + more + "}");
    };
    json::value const in_result{{"result", object(R"(,"TTL":"60")")}};
    CHECK(read_range(object("")).generation_ == expected);
    CHECK(read_swap(object(R"(,"succeeded":true)")).generation_ == expected);
    CHECK(read_grant(object(R"(,"ID":"7")")).generation_ == expected);
    CHECK(read_keep_alive(in_result).generation_ == expected);
    CHECK(read_watch(in_result).generation_ == expected);
}

TEST_CASE("a cluster's identifier that isn't a number is an error")
{
    CHECK_THROWS_AS(read_range(json::parse(R"({"header":{"cluster_id":"x"}})")),
                    error);
}

TEST_CASE("a range response contains keys, values and revisions")
{
    auto const answer = read_range(boost::json::parse(
        R"({"header":{"revision":"9"},"kvs":[
            {"key":"YQ==","value":"Yg==","mod_revision":"7"}]})"));
    CHECK(answer.revision_ == 9);
    REQUIRE(answer.entries_.size() == 1);
    CHECK(answer.entries_[0].key_ == "a");
    CHECK(answer.entries_[0].value_ == "b");
    CHECK(answer.entries_[0].modified_revision_ == 7);
}

TEST_CASE("a swap whose comparison fails returns the current entries")
{
    auto const answer = read_swap(boost::json::parse(
        R"({"header":{"revision":"9"},"responses":[{"response_range":
            {"kvs":[{"key":"YQ==","mod_revision":"7"}]}}]})"));
    CHECK(!answer.succeeded_);
    CHECK(answer.entries_.size() == 1);
}

TEST_CASE("an expired lease is reported as not found")
{
    auto const answer =
        read_keep_alive(boost::json::parse(R"({"result":{"ID":"4"}})"));
    CHECK(answer.error_ == error_kind::not_found);
}
