// Tests of stored values that are parsed in pieces.
#include "net/template_parser.hpp"
#include "platform/operator_config.hpp"
#include "support/operator_documents.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace daisytrail
{

namespace
{

std::string stored_value(std::string const& organisation)
{
    return R"({"change_id":"a","who":"b","when":"c","version":7,"template":)" +
           organisation + "}";
}

std::string fault_of(std::string const& value)
{
    return parse_template(value).fault_;
}

std::string const service = R"({"name":"s","mode":"forward"})";

} // namespace

// Nothing was forwarded while a balancer parsed the longest document that a
// peer sent: for over a second at 0.028 cores.
TEST_CASE("nothing is forwarded while a long value of a peer is parsed")
{
    constexpr std::size_t min_turns = 100;
    auto const value = platform::to_stored_template(
        make_longest_document(18, platform_value_bytes));
    boost::asio::io_context io;
    template_reader reader(io);
    bool is_done = false;
    reader.read(value,
                [&](std::string const& text)
                {
                    is_done = true;
                    CHECK(text == value);
                });
    std::size_t turns = 0;
    while (io.poll_one() > 0)
    {
        ++turns;
    }
    CHECK(is_done);
    CHECK(turns > min_turns);
    CHECK(check_adopted_template(value).value_or("in force") == "in force");
}

TEST_CASE("a value that is no template is refused with its reason and version")
{
    CHECK(fault_of("") == "the stored value isn't a JSON object");
    CHECK(fault_of("[]") == "the stored value isn't a JSON object");
    CHECK(fault_of(R"({"version":7)") ==
          "the stored value isn't a JSON object");
    CHECK(fault_of(R"({"version":7})") ==
          "the stored value has no member 'change_id'");
    CHECK(fault_of(R"({"version":"x"})") ==
          "the stored value's member 'version' isn't a whole number from 0 on");
    CHECK(parse_template(R"({"version":7})").version_ == 7);
}

TEST_CASE("faults of routes and services are listed together, with their paths")
{
    auto const fault = fault_of(stored_value(
        R"({"name":"o","services":[)" + service +
        R"(,{"name":"t","mode":"forwards"}],"routes":[)"
        R"({"name":"a","vip":"198.18.0.1:80","shares":[{"service":"s"}]},)"
        R"({"name":"b","vip":"198.18.0.1:80","shares":[{"service":"u"}]},)"
        R"({"name":"c","vip":7,"shares":{}}]})"));
    CAPTURE(fault);
    CHECK(fault.find("services[1].mode: found 'forwards'") !=
          std::string::npos);
    CHECK(fault.find("routes[1]: found VIP 198.18.0.1:80 again") !=
          std::string::npos);
    CHECK(fault.find("routes[1]: found service 'u'") != std::string::npos);
    CHECK(fault.find("routes[2].vip: found 7") != std::string::npos);
    CHECK(fault.find("routes[2].shares: found an object") != std::string::npos);
}

TEST_CASE("routes that aren't a list are refused")
{
    CHECK(fault_of(stored_value(R"({"name":"o","services":[],"routes":{}})"))
              .find("routes: found an object") != std::string::npos);
}

// Releases before versions stored the operator's text itself.
TEST_CASE("a template that was stored as a text is parsed")
{
    auto const parsed = parse_template(
        R"({"change_id":"a","who":"b","when":"c","template":)"
        R"("{\"name\":\"o\",\"services\":[{\"name\":\"s\",)"
        R"(\"mode\":\"forward\"}],\"routes\":[{\"name\":\"a\",)"
        R"(\"vip\":\"198.18.0.1:80\",\"shares\":[{\"service\":\"s\"}]}]}"})");
    CHECK(parsed.fault_.empty());
    REQUIRE(parsed.template_);
    CHECK(parsed.template_->value_.routes_.size() == 1);
    CHECK_FALSE(parsed.version_);
}

} // namespace daisytrail
