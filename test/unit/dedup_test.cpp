// Tests of the table of idempotency keys.
#include <daisytrail/dedup.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using std::chrono::minutes;

namespace
{

constexpr target_id self = 7;
constexpr incarnation own_incarnation = 1'000;
constexpr time_point start{std::chrono::hours(1)};

dedup_table make_table(dedup_limits const& limits = {})
{
    return {self, own_incarnation, 42, limits};
}

stored_response make_response(std::string body)
{
    return {201, "Created", {{"X-Target", "a"}}, std::move(body)};
}

} // namespace

TEST_CASE("a repeated key gets the first response")
{
    auto table = make_table();
    CHECK(table.begin("k", 1, start).verdict_ == key_verdict::run);
    CHECK(table.begin("k", 1, start).verdict_ == key_verdict::join);
    table.record_response("k", make_response("one"), start);
    auto const again = table.begin("k", 1, start + minutes(9));
    CHECK(again.verdict_ == key_verdict::replay);
    REQUIRE(again.response_ != nullptr);
    CHECK(*again.response_ == make_response("one"));
}

TEST_CASE("the same key with another body is refused")
{
    auto table = make_table();
    table.begin("k", hash_request("POST", "/orders", "1"), start);
    auto const other =
        table.begin("k", hash_request("POST", "/orders", "2"), start);
    CHECK(other.outcome_ == request_outcome::key_mismatch);
}

TEST_CASE("an unknown outcome stays unknown for every repeat")
{
    auto table = make_table();
    table.begin("k", 1, start);
    table.record_outcome("k", request_outcome::lost, start);
    auto const again = table.begin("k", 1, start + minutes(1));
    CHECK(again.verdict_ == key_verdict::outcome);
    CHECK(again.outcome_ == request_outcome::lost);
}

TEST_CASE("the key of a request that didn't run can be reused")
{
    auto table = make_table();
    table.begin("k", 1, start);
    table.release("k");
    CHECK(table.bytes() == 0);
    CHECK(table.begin("k", 2, start).verdict_ == key_verdict::run);
}

TEST_CASE("a key that a caller chose is removed after its retention")
{
    auto table = make_table();
    table.begin("k", 1, start);
    table.record_response("k", make_response("one"), start);
    CHECK(table.begin("k", 1, start + minutes(10) - duration(1)).verdict_ ==
          key_verdict::replay);
    CHECK(table.begin("k", 1, start + minutes(10)).verdict_ ==
          key_verdict::run);
}

TEST_CASE("an issued key is refused after its retention")
{
    auto table = make_table();
    auto const key = table.issue(start);
    auto const late = table.begin(key, 1, start + minutes(11));
    CHECK(late.outcome_ == request_outcome::key_expired);
    CHECK(response_for(late.outcome_).verdict_ == outcome_verdict::unknown);
}

TEST_CASE("an issued key of another process is refused")
{
    auto table = make_table();
    auto const key = table.issue(start);
    dedup_table successor(self, own_incarnation + 1, 43, {});
    auto const decision = successor.begin(key, 1, start);
    CHECK(decision.verdict_ == key_verdict::outcome);
    CHECK(decision.outcome_ == request_outcome::key_owner_gone);
}

TEST_CASE("a forged key of the issued form is refused")
{
    auto table = make_table();
    auto key = *parse_issued_key(table.issue(start));
    key.sequence_ += 1;
    CHECK(table.begin(to_string(key), 1, start).outcome_ ==
          request_outcome::key_invalid);
}

TEST_CASE("parsing a formatted issued key gives the same key")
{
    issued_key const key{1, 2, 3, 4, 0xFFFFFFFFFFFFFFFFULL};
    CHECK(parse_issued_key(to_string(key)) == key);
    CHECK_FALSE(parse_issued_key("dt1-1-2-3-4"));
    CHECK_FALSE(parse_issued_key("dt1-1-2-3-4-5-6"));
    CHECK_FALSE(parse_issued_key("order-17"));
    CHECK_FALSE(parse_issued_key("dt1-1-2-3-4-x"));
}

TEST_CASE("a full table refuses new keys and evicts none")
{
    dedup_limits limits;
    limits.max_bytes_ = 3'000;
    limits.max_response_bytes_ = 1'000;
    auto table = make_table(limits);
    CHECK(table.begin("a", 1, start).verdict_ == key_verdict::run);
    CHECK(table.begin("b", 1, start).verdict_ == key_verdict::run);
    CHECK(table.begin("c", 1, start).outcome_ ==
          request_outcome::key_memory_full);
    table.record_response("a", make_response("x"), start);
    CHECK(table.begin("c", 1, start).verdict_ == key_verdict::run);
    CHECK(table.begin("a", 1, start).verdict_ == key_verdict::replay);
    CHECK(table.bytes() <= limits.max_bytes_);
}

TEST_CASE("a response too large to store is reported as run")
{
    dedup_limits limits;
    limits.max_response_bytes_ = 10;
    auto table = make_table(limits);
    table.begin("a", 1, start);
    table.record_response("a", make_response(std::string(100, 'x')), start);
    auto const again = table.begin("a", 1, start);
    CHECK(again.outcome_ == request_outcome::key_not_kept);
    CHECK(response_for(again.outcome_).verdict_ == outcome_verdict::ran);
}

TEST_CASE("a key recorded for another agent is never run here")
{
    auto table = make_table();
    CHECK(table.record_owner("k", 1, 9, start) ==
          owner_record_result::recorded);
    CHECK(table.record_owner("k", 1, 9, start) ==
          owner_record_result::recorded);
    CHECK(table.record_owner("k", 1, 10, start) ==
          owner_record_result::already_known);
    CHECK(table.begin("k", 1, start).outcome_ ==
          request_outcome::key_owner_gone);
}

TEST_CASE("a key that is running here can't be recorded for another agent")
{
    auto table = make_table();
    table.begin("k", 1, start);
    CHECK(table.record_owner("k", 1, 9, start) ==
          owner_record_result::already_known);
}
