// Tests the parsing of templates and settings: values of valid files, and the
// position and text of errors.
#include <daisytrail/organisation.hpp>
#include <daisytrail/settings.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace daisytrail;
using namespace std::chrono_literals;

namespace
{

std::string service_with(std::string const& fields)
{
    return R"({"name": "o", "services": [{"name": "s", "mode": "requests",)"
           R"( "vips": ["203.0.113.1:80"])" +
           fields + "}]}";
}

std::vector<std::string> errors_of(std::string const& text)
{
    std::vector<std::string> lines;
    for (auto const& parse_error : parse_organisation(text).errors_)
    {
        lines.push_back(to_string(parse_error));
    }
    return lines;
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string example(std::string const& name)
{
    return read_file(DAISYTRAIL_SOURCE_DIR "/support/examples/" + name);
}

} // namespace

TEST_CASE("a service without failure domains runs in all of them")
{
    CHECK(runs_in({}, "lafrenz"));
}

TEST_CASE("a service runs only in the failure domains that it names")
{
    service_template service;
    service.failure_domains_ = {"lafrenz", "north-ind"};
    CHECK(runs_in(service, "north-ind"));
    CHECK_FALSE(runs_in(service, "kr-a"));
    CHECK_FALSE(runs_in(service, ""));
}

TEST_CASE("a template with the required fields has the defaults")
{
    auto const parsed = parse_organisation(service_with(""));
    REQUIRE(parsed.errors_.empty());
    auto const& service = parsed.value_.services_.at(0);
    CHECK(service.id_ == hash_name("o/s"));
    CHECK(service.vips_ ==
          std::vector<endpoint>{parse_endpoint("203.0.113.1:80")});
    CHECK(service.limits_ == service_limits{});
    CHECK(service.classes_.empty());
}

TEST_CASE("the examples are valid")
{
    CHECK(errors_of(example("hamutenya.json")).empty());
    CHECK(errors_of(example("sencna-mreza.json")).empty());
    CHECK(parse_balancer_settings(example("balancer.json")).errors_.empty());
    CHECK(parse_agent_settings(example("agent.json")).errors_.empty());
}

TEST_CASE("an error states its line, column and path")
{
    auto const lines = errors_of("// a comment\n"
                                 "{\"name\": \"o\",\n"
                                 " /* more */ \"services\": [\n"
                                 "  {\"name\": \"s\", \"mode\": \"strem\",\n"
                                 "   \"vips\": [\"203.0.113.1:80\"]}]}\n");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == "4:25: services[0].mode: found 'strem', expected "
                      "'stream', 'requests' or 'forward'");
}

TEST_CASE("all errors are reported together, in the order of the file")
{
    auto const lines = errors_of(service_with(
        R"(, "limits": {"queue": 70000, "idle_timeout": 5, "x": 1},)"
        R"( "retry_budget": 1.5, "classes": [{"methods": ["get"]}])"));
    REQUIRE(lines.size() == 6);
    CHECK(lines[0].find("limits.queue: found 70000, expected a whole number "
                        "from 0 to 65536") != std::string::npos);
    CHECK(lines[1].find("limits.idle_timeout: found 5, expected a duration") !=
          std::string::npos);
    CHECK(lines[2].find("limits.x: found unknown field 'x'") !=
          std::string::npos);
    CHECK(lines[3].find("retry_budget: found 1.5, expected a number from 0 "
                        "to 1") != std::string::npos);
    CHECK(lines[4].find("classes[0]: found no field 'name'") !=
          std::string::npos);
    CHECK(lines[5].find("classes[0].methods[0]: found 'get'") !=
          std::string::npos);
}

TEST_CASE("numbers at and beyond the bounds of a limit")
{
    CHECK(errors_of(service_with(R"(, "limits": {"queue": 0})")).empty());
    CHECK(errors_of(service_with(R"(, "limits": {"queue": 65536})")).empty());
    CHECK(errors_of(service_with(R"(, "limits": {"queue": 65537})")).size() ==
          1);
    CHECK(errors_of(service_with(R"(, "limits": {"queue": -1})")).size() == 1);
    CHECK(errors_of(service_with(R"(, "limits": {"queue": 1.5})")).size() == 1);
    CHECK(errors_of(service_with(R"(, "limits": {"connections": 0})")).size() ==
          1);
}

TEST_CASE("durations have a unit")
{
    auto const parsed = parse_organisation(service_with(
        R"(, "limits": {"header_timeout": "250ms", "idle_timeout": "5m",)"
        R"( "drain_timeout": "2h"})"));
    REQUIRE(parsed.errors_.empty());
    auto const& limits = parsed.value_.services_[0].limits_;
    CHECK(limits.header_timeout_ == 250ms);
    CHECK(limits.idle_timeout_ == 5min);
    CHECK(limits.drain_timeout_ == 2h);
    for (std::string const bad : {"", "s", "1", "1d", "-1s", "1 s", "1ss"})
    {
        CAPTURE(bad);
        CHECK(errors_of(service_with(R"(, "limits": {"idle_timeout": ")" + bad +
                                     "\"}"))
                  .size() == 1);
    }
}

TEST_CASE("a duplicate key, service, class or VIP is an error")
{
    CHECK(errors_of(R"({"name": "a", "name": "b", "services": []})").size() ==
          1);
    CHECK(errors_of(service_with(R"(, "classes": [{"name": "c"},)"
                                 R"( {"name": "c"}])"))
              .size() == 1);
    auto const lines = errors_of(
        R"({"name": "o", "services": [)"
        R"({"name": "s", "mode": "stream", "vips": ["203.0.113.1:80"]},)"
        R"({"name": "s", "mode": "stream", "vips": ["203.0.113.1:80"]}]})");
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].find("service 's' again") != std::string::npos);
    CHECK(lines[1].find("VIP 203.0.113.1:80") != std::string::npos);
}

TEST_CASE("the same VIP address with another port is another VIP")
{
    CHECK(errors_of(R"({"name": "o", "services": [)"
                    R"({"name": "s", "mode": "stream",)"
                    R"( "vips": ["203.0.113.1:80", "203.0.113.1:81"]}]})")
              .empty());
}

TEST_CASE("VIPs that callers can't reach are errors")
{
    for (std::string const bad :
         {"203.0.113.1", "203.0.113.1:0", "203.0.113.256:80", "224.0.0.1:80",
          "0.0.0.0:80", "name:80", "203.0.113.1:65536"})
    {
        CAPTURE(bad);
        CHECK(errors_of(R"({"name": "o", "services": [{"name": "s",)"
                        R"( "mode": "stream", "vips": [")" +
                        bad + R"("]}]})")
                  .size() == 1);
    }
}

TEST_CASE("wrong types at the top level are errors")
{
    CHECK(errors_of("[]").size() == 1);
    CHECK(errors_of("null").size() == 1);
    CHECK(errors_of(R"({"name": 1, "services": {}})").size() == 2);
}

TEST_CASE("syntax errors state their position")
{
    auto const lines = errors_of("{\n  \"name\" 1}");
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].starts_with("2:10: found '1', expected JSON"));
    CHECK(errors_of("").size() == 1);
    CHECK(errors_of("{").size() == 1);
    CHECK(errors_of("{} {}").size() == 1);
    CHECK(errors_of(R"({"name": "o", "services": []} // end)").empty());
}

TEST_CASE("a template larger than the store's values is refused")
{
    std::string const padding(300'000, ' ');
    CHECK(errors_of(service_with("") + padding).size() == 1);
    auto const longest = service_with("") + padding;
    CHECK(errors_of(longest.substr(0, 300'000)).empty());
    CHECK(errors_of(longest.substr(0, 300'001)).size() == 1);
}

// CONFIG: the bounds of an operator's text applied to what a store holds.
TEST_CASE("a stored template is refused for the bounds of an operator's text")
{
    std::string const padding(300'000, ' ');
    auto const errors_of_stored = [](std::string const& text)
    {
        return parse_stored_organisation(text).errors_.size();
    };
    CHECK(errors_of_stored(service_with("") + padding) == 0);
    std::string const named = R"({"name": "Corner_Shop", "services": []})";
    CHECK(errors_of(named).size() == 1);
    CHECK(errors_of_stored(named) == 0);
    CHECK(errors_of_stored(R"({"name": "", "services": []})") == 1);
    CHECK(errors_of_stored(R"({"name": "o", "service": []})") == 2);
}

TEST_CASE("classes belong to services of mode requests")
{
    CHECK(errors_of(R"({"name": "o", "services": [{"name": "s",)"
                    R"( "mode": "stream", "vips": ["203.0.113.1:80"],)"
                    R"( "classes": [{"name": "c"}]}]})")
              .size() == 1);
}

TEST_CASE(
    "settings errors: unknown field, invalid key, neither stores nor seeds")
{
    std::string const head =
        R"({"name": "b", "failure_domain": "d", "control": "127.0.0.1:1",)"
        R"( "http": "127.0.0.1:2", "data": "127.0.0.1:3",)";
    std::string const key(64, 'a');
    auto const errors = [&](std::string const& rest)
    {
        return parse_balancer_settings(head + rest).errors_;
    };
    CHECK(errors(R"("keys": [")" + key + R"("], "stores": ["127.0.0.1:4"]})")
              .empty());
    CHECK(errors(R"("keys": [")" + key + R"("]})").size() == 1);
    CHECK(errors(R"("keys": [], "stores": ["127.0.0.1:4"]})").size() == 1);
    CHECK(errors(R"("keys": [")" + key +
                 R"("], "stores": ["127.0.0.1:4"], "x": 1})")
              .size() == 1);
    auto const short_key =
        errors(R"("keys": ["5ec2e7"], "stores": ["127.0.0.1:4"]})");
    REQUIRE(short_key.size() == 1);
    CHECK(to_string(short_key[0]).find("5ec2e7") == std::string::npos);
}

namespace
{

std::string forward_template(std::string const& routes)
{
    return R"({"name": "o", "services": [)"
           R"({"name": "s", "mode": "forward"},)"
           R"({"name": "t", "mode": "stream", "vips": ["203.0.113.9:80"]}],)"
           R"( "routes": [)" +
           routes + "]}";
}

} // namespace

TEST_CASE("routes name VIPs and the services that share their flows")
{
    auto const parsed = parse_organisation(
        forward_template(R"({"name": "r", "vip": "203.0.113.1:80",)"
                         R"( "shares": [{"service": "s", "weight": 90}]})"));
    CHECK(parsed.errors_.empty());
    REQUIRE(parsed.value_.routes_.size() == 1);
    auto const& route = parsed.value_.routes_[0];
    CHECK(to_string(route.vip_) == "203.0.113.1:80");
    REQUIRE(route.shares_.size() == 1);
    CHECK(route.shares_[0].service_ == hash_name("o/s"));
    CHECK(route.shares_[0].weight_ == 90);
}

TEST_CASE("errors of routes state their path")
{
    auto const lines = errors_of(forward_template(
        R"({"name": "r", "vip": "203.0.113.9:80",)"
        R"( "shares": [{"service": "t"}, {"service": "u"}]},)"
        R"( {"name": "q", "vip": "203.0.113.2:80", "shares": []})"));
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].find("routes[0]: found VIP 203.0.113.9:80 again") !=
          std::string::npos);
    CHECK(lines[1].find("service 't' of another mode") != std::string::npos);
    CHECK(lines[2].find("found service 'u'") != std::string::npos);
    CHECK(lines[3].find("routes[1].shares") != std::string::npos);
}

TEST_CASE("a service needs VIPs unless its mode is 'forward'")
{
    CHECK(errors_of(R"({"name": "o", "services": [)"
                    R"({"name": "s", "mode": "forward"}]})")
              .empty());
    CHECK(errors_of(R"({"name": "o", "services": [)"
                    R"({"name": "s", "mode": "stream"}]})")
              .size() == 1);
    CHECK(errors_of(R"({"name": "o", "services": [{"name": "s",)"
                    R"( "mode": "forward", "vips": ["203.0.113.1:80"]}]})")
              .size() == 1);
}

// Fault: an agent that started while no balancer ran refused its settings and
// ended, again and again.
TEST_CASE("a process starts without seeds, but not without the field")
{
    std::string const common =
        R"({"name": "a1", "failure_domain": "a", "control": "127.0.0.1:1",)"
        R"( "http": "127.0.0.1:2", "keys": [")" +
        std::string(64, 'a') + R"("],)";
    std::string const agent =
        R"( "organisation": "o", "service": "s", "tunnel": "127.0.0.1:3",)";
    std::string const forward_agent =
        agent + R"( "backend": "127.0.0.1:4", "outbound": "127.0.0.1:5")";
    std::string const stream_agent =
        agent + R"( "rpc": "127.0.0.1:4", "fabric": ["127.0.0.1:5"])";
    std::string const balancer = R"( "data": "127.0.0.1:6")";
    std::string const relay = balancer + R"(, "relay": "127.0.0.1:7")";
    std::string const empty = R"(, "seeds": []})";
    CHECK(parse_forward_agent_settings(common + forward_agent + empty)
              .errors_.empty());
    CHECK(parse_agent_settings(common + stream_agent + empty).errors_.empty());
    CHECK(parse_balancer_settings(common + balancer + empty).errors_.empty());
    CHECK(parse_forward_balancer_settings(common + relay + empty)
              .errors_.empty());
    auto const missing =
        parse_forward_agent_settings(common + forward_agent + "}").errors_;
    REQUIRE(missing.size() == 1);
    CHECK(to_string(missing[0]).find("'seeds'") != std::string::npos);
    CHECK(parse_agent_settings(common + stream_agent + "}").errors_.size() ==
          1);
    CHECK(parse_balancer_settings(common + balancer + "}").errors_.size() == 1);
}

TEST_CASE("settings of the forward mode: defaults, seed port, errors")
{
    std::string const common =
        R"("name": "a1", "failure_domain": "a", "control": "127.0.0.1:1",)"
        R"( "http": "127.0.0.1:2", "seeds": ["127.0.0.2:9"],)"
        R"( "seed_port": 77, "keys": [")" +
        std::string(64, 'a') + R"("])";
    auto const agent = parse_forward_agent_settings(
        "{" + common +
        R"(, "organisation": "o", "service": "s", "tunnel": "127.0.0.1:3",)"
        R"( "backend": "127.0.0.1:4", "outbound": "127.0.0.1:5"})");
    CHECK(agent.errors_.empty());
    CHECK(agent.value_.caller_port_ == 3);
    CHECK(agent.value_.agent_.common_.seeds_[0].port_ == 77);
    auto const balancer = parse_forward_balancer_settings(
        "{" + common + R"(, "data": "127.0.0.1:6", "store_watchers": 0})");
    REQUIRE(balancer.errors_.size() == 2);
    CHECK(to_string(balancer.errors_[0]).find("'relay'") != std::string::npos);
    CHECK(to_string(balancer.errors_[1]).find("store_watchers") !=
          std::string::npos);
}
