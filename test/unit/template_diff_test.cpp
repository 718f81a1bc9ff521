// Tests the comparison of two templates.
#include "cli/template_diff.hpp"

#include <doctest/doctest.h>

using namespace daisytrail;

namespace
{

organisation_template one_class(request_class const& value)
{
    service_template service;
    service.name_ = "s";
    service.classes_ = {value};
    return {"o", {service}};
}

// Returns the path that differs after the edit, or an empty string unless
// exactly one path differs.
std::string changed_path(void (*edit)(request_class&))
{
    request_class before;
    before.name_ = "c";
    auto after = before;
    edit(after);
    auto const differences =
        diff_templates(one_class(before), one_class(after));
    return differences.size() == 1 ? differences[0].path_ : "";
}

} // namespace

TEST_CASE("equal templates have no difference")
{
    CHECK(diff_templates(one_class({}), one_class({})).empty());
}

TEST_CASE("a change of any field of a request class is a difference")
{
    std::string const base = "services[s].classes[c].";
    CHECK(changed_path([](request_class& edited)
                       { edited.methods_ = {"GET"}; }) == base + "methods");
    CHECK(changed_path([](request_class& edited)
                       { edited.path_prefix_ = "/x"; }) ==
          base + "path_prefix");
    CHECK(changed_path([](request_class& edited)
                       { edited.repeatable_ = true; }) == base + "repeatable");
    CHECK(changed_path([](request_class& edited)
                       { edited.long_running_ = true; }) ==
          base + "long_running");
    CHECK(changed_path([](request_class& edited)
                       { edited.has_endless_response_ = true; }) ==
          base + "standing");
    CHECK(changed_path([](request_class& edited) { edited.priority_ = 7; }) ==
          base + "priority");
    CHECK(changed_path([](request_class& edited)
                       { edited.deadline_ = std::chrono::seconds(1); }) ==
          base + "deadline");
    CHECK(changed_path([](request_class& edited)
                       { edited.expected_ = std::chrono::seconds(1); }) ==
          base + "expected");
}

TEST_CASE("differences of routes have the effect on open flows")
{
    auto const parse = [](std::string const& routes)
    {
        return parse_organisation(
                   R"({"name": "o", "services": [)"
                   R"({"name": "a", "mode": "forward"},)"
                   R"({"name": "b", "mode": "forward"}], "routes": [)" +
                   routes + "]}")
            .value_;
    };
    std::string const plain = R"({"name": "r", "vip": "203.0.113.1:80",)"
                              R"( "shares": [{"service": "a", "weight": 1}]})";
    std::string const moved = R"({"name": "r", "vip": "203.0.113.1:80",)"
                              R"( "shares": [{"service": "b", "weight": 1}]})";
    auto const move = diff_templates(parse(plain), parse(moved));
    REQUIRE(move.size() == 2);
    CHECK(move[0].path_ == "routes[r].shares[a]");
    CHECK_FALSE(breaks_flows(move));
    auto const drop = diff_templates(parse(plain), parse(""));
    CHECK(breaks_flows(drop));
    CHECK(diff_templates(parse(plain), parse(plain)).empty());
}
