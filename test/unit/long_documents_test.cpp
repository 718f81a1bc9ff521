// Tests of operator's documents as long as the platform's store takes, and of
// documents with parts that the product can't use.
#include "net/adopted_template.hpp"
#include "platform/operator_config.hpp"
#include "support/operator_documents.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

using platform::config_translation;
using platform::to_stored_template;

std::string document_with(std::string const& services,
                          std::string const& routes)
{
    return R"({"version":7,"services":[)" + services + R"(],"routes":[)" +
           routes + "]}";
}

// Returns the names of the routes that come into force with the document.
std::vector<std::string> routes_in_force(std::string const& document)
{
    std::vector<std::string> names;
    auto const stored = parse_adopted_template(to_stored_template(document));
    for (auto const& route : stored->value_.routes_)
    {
        names.push_back(route.name_);
    }
    return names;
}

} // namespace

// CONFIG: the store acknowledges the document, and no balancer adopts it.
TEST_CASE("an acknowledged document of the longest value of the store is "
          "refused by every balancer")
{
    auto const document = make_longest_document(18, platform_value_bytes);
    REQUIRE(document.size() == platform_value_bytes);
    auto const stored = platform::to_stored_template(document);
    CHECK(check_adopted_template(stored).value_or("in force") == "in force");
}

// A peer parses the text, and the balancer that read the document doesn't: the
// two would hold different routes under one version.
TEST_CASE("a document's translation differs from what a peer parses")
{
    auto const document = make_document(18, 300);
    config_translation translation;
    translation.read(document);
    while (!translation.convert_some())
    {
    }
    auto const config = translation.take();
    CHECK(*config.template_ == *parse_adopted_template(config.value_));
    CHECK(config.template_->value_.routes_.size() == 300);
}

TEST_CASE("a document is read in pieces that end anywhere")
{
    auto const document = make_document(18, 40);
    config_translation translation;
    for (std::size_t at = 0; at < document.size(); at += 7)
    {
        translation.read(std::string_view(document).substr(at, 7));
    }
    while (!translation.convert_some())
    {
    }
    CHECK(translation.take().value_ == to_stored_template(document));
}

// CONFIG: one part that the product can't use kept the whole document out of
// force.
TEST_CASE("one odd part of a document keeps its other routes out of force")
{
    std::string const good =
        R"({"name":"good","host":"198.18.0.1","prefix":"/80/","service":"s"})";
    auto const check_without = [&good](std::string routes)
    {
        CAPTURE(routes);
        routes += "," + good;
        CHECK(routes_in_force(document_with(R"({"name":"s"})", routes)) ==
              std::vector<std::string>{"good"});
    };
    check_without(R"({"name":"unlisted service","host":"198.18.0.2",)"
                  R"("prefix":"/80/","service":"t"})");
    check_without(R"({"name":"no port","host":"198.18.0.2",)"
                  R"("prefix":"/0/","service":"s"})");
    check_without(R"({"name":"empty prefix","host":"198.18.0.2",)"
                  R"("prefix":"","service":"s"})");
    check_without(R"({"name":"","host":"198.18.0.2",)"
                  R"("prefix":"/80/","service":"s"})");
    check_without(R"({"name":"half a weight","host":"198.18.0.2",)"
                  R"("prefix":"/80/",)"
                  R"("split":[{"service":"s","weight":0.5}]})");
    CHECK(routes_in_force(document_with(
              R"({"name":"s"},{"name":"s"},{"id":3},{"name":""})", good)) ==
          std::vector<std::string>{"good"});
}

// CONFIG: bounds of an operator's template applied to what a store had
// acknowledged.
TEST_CASE("a document beyond the bounds of an operator's template is refused")
{
    std::string shares;
    for (int i = 0; i < 17; ++i)
    {
        shares += i == 0 ? "" : ",";
        shares += R"({"service":"Till_1","weight":4294967295})";
    }
    auto const long_name = std::string(64, 'r');
    CHECK(routes_in_force(document_with(
              R"({"name":"Till_1"})",
              R"({"name":")" + long_name +
                  R"(","host":"198.18.0.1","prefix":"/80/","split":[)" +
                  shares + "]}")) == std::vector<std::string>{long_name});
    std::string services;
    for (int i = 0; i <= 5'000; ++i)
    {
        services += i == 0 ? "" : ",";
        services += R"({"name":"s)" + std::to_string(i) + R"("})";
    }
    CHECK(routes_in_force(document_with(
              services, R"({"name":"r","host":"198.18.0.1","prefix":"/80/",)"
                        R"("service":"s5000"})")) ==
          std::vector<std::string>{"r"});
}

// The reason of a refusal is logged and kept; that of a long template had a
// line for each of thousands of faults.
TEST_CASE("the reason of a refusal grows with the number of faults")
{
    std::string routes;
    for (int i = 0; i < 1'000; ++i)
    {
        routes += std::string(i == 0 ? "" : ",") + R"({"name":"r"})";
    }
    auto const reason = check_adopted_template(
        R"({"change_id":"a","who":"","when":"","version":3,"template":)"
        R"({"name":"o","services":[],"routes":[)" +
        routes + "]}}");
    REQUIRE(reason);
    CHECK(reason->size() < 1'000);
    CHECK(reason->ends_with("and 1992 more"));
}

} // namespace daisytrail
