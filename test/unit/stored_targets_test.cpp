// Tests of the text form of the stored list of targets.
#include "net/stored_targets.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

target_record make_target(std::string const& name)
{
    target_record record;
    record.name_ = name;
    record.target_ = hash_name(name);
    record.version_ = {7, 8};
    record.service_ = hash_name("org/orders");
    record.failure_domain_ = "a";
    record.tunnel_ = {0x0A000001, 8'452};
    record.state_ = member_state::draining;
    return record;
}

} // namespace

TEST_CASE("the stored list says where the targets were")
{
    auto const one = make_target("one");
    auto const two = make_target("the second one");
    auto const parsed =
        parse_stored_targets(format_stored_targets({&one, &two}));
    REQUIRE(parsed.size() == 2);
    CHECK(parsed[1].target_ == two.target_);
    CHECK(parsed[1].name_ == two.name_);
    CHECK(parsed[1].service_ == two.service_);
    CHECK(parsed[1].failure_domain_ == two.failure_domain_);
    CHECK(parsed[1].tunnel_ == two.tunnel_);
    // Any published record supersedes a stored one.
    CHECK(parsed[1].version_ == record_version{});
}

TEST_CASE("a target without a usable address is stored by its identifier")
{
    auto one = make_target("one");
    one.failure_domain_ = "two words";
    auto const parsed = parse_stored_targets(format_stored_targets({&one}));
    REQUIRE(parsed.size() == 1);
    CHECK(parsed[0].target_ == one.target_);
    CHECK(parsed[0].name_.empty());
}

TEST_CASE("the number of stored addresses is bounded")
{
    auto const one = make_target("one");
    std::vector<target_record const*> const many(max_stored_addresses + 1,
                                                 &one);
    auto const parsed = parse_stored_targets(format_stored_targets(many));
    REQUIRE(parsed.size() == many.size());
    CHECK_FALSE(parsed[max_stored_addresses - 1].name_.empty());
    CHECK(parsed[max_stored_addresses].name_.empty());
}

TEST_CASE("a malformed stored list is refused")
{
    CHECK(parse_stored_targets("").empty());
    CHECK_THROWS_AS(parse_stored_targets("not-hex\n"), error);
    CHECK_THROWS_AS(parse_stored_targets("1f 2a 10.0.0.1:80\n"), error);
    CHECK_THROWS_AS(parse_stored_targets("1f 2a nowhere a one\n"), error);
}
