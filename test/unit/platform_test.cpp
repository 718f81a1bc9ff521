// Tests the conversion of the platform's packets, heartbeats and configuration.
#include "net/adopted_template.hpp"
#include "platform/calls.hpp"
#include "platform/operator_config.hpp"
#include "platform/packet_header.hpp"

#include <daisytrail/error.hpp>

#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::platform;

namespace
{

// SYN from 100.64.0.7:40001 to 198.18.0.1:443, sequence 0x11223344.
std::vector<std::byte> make_syn()
{
    constexpr std::array<unsigned char, 32> bytes{
        0x40, 0x00, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0x01,
        0x00, 0x12, 0xc6, 0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1,
        0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00};
    std::vector<std::byte> packet;
    packet.reserve(bytes.size());
    for (auto const byte : bytes)
    {
        packet.push_back(std::byte{byte});
    }
    return packet;
}

} // namespace

TEST_CASE("a packet's header is read with its byte order, widths and flags")
{
    auto const packet = packet_header().read(make_syn());
    REQUIRE(packet);
    CHECK(to_string(packet->source_) == "100.64.0.7:40001");
    CHECK(to_string(packet->destination_) == "198.18.0.1:443");
    CHECK(packet->sequence_ == 0x11223344);
    CHECK(packet->opens_flow());
    CHECK(packet->syn_attempt_ == 0);
    CHECK_FALSE(packet->returned_);
}

TEST_CASE("bytes that aren't a packet are refused")
{
    auto packet = make_syn();
    packet[22] = std::byte{5}; // five bytes of data that aren't there
    CHECK_FALSE(packet_header().read(packet));
    packet.resize(31);
    CHECK_FALSE(packet_header().read(packet));
    CHECK_FALSE(packet_header().read({}));
    packet.assign(32 + 1'201, std::byte{0});
    CHECK_FALSE(packet_header().read(packet));
}

TEST_CASE("setting a mark and clearing a return leave other fields unchanged")
{
    packet_header const format;
    auto packet = make_syn();
    auto const original = packet;
    format.set_mark(packet, 0xDEADBEEF);
    CHECK(format.read(packet)->mark_ == 0xDEADBEEF);
    packet[0] |= std::byte{32}; // returned by the backend server
    CHECK(format.read(packet)->returned_);
    format.clear_return(packet);
    CHECK(packet == original);
}

TEST_CASE("a reset comes from the VIP and carries no checksum")
{
    packet_header const format;
    std::array<std::byte, max_flow_packet_bytes> buffer{};
    auto const size = format.write_reset(*format.read(make_syn()), buffer);
    REQUIRE(size == 32);
    auto const reset = format.read(std::span(buffer).first(size));
    REQUIRE(reset);
    CHECK(reset->reset_);
    CHECK(to_string(reset->source_) == "198.18.0.1:443");
    CHECK(to_string(reset->destination_) == "100.64.0.7:40001");
    for (std::size_t at = 18; at < 22; ++at)
    {
        CHECK(buffer[at] == std::byte{0});
    }
}

TEST_CASE("a heartbeat is read completely or refused")
{
    auto const value = read_heartbeat(
        "i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"a",)"
               R"("version":"v1","slots":4,"state":"draining",)"
               R"("coldLeftMs":1500,"seq":7,"born":1700000000000})");
    CHECK(value.id_ == "i-1");
    CHECK(value.phase_ == backend_phase::draining);
    CHECK(value.slots_ == 4);
    CHECK(value.started_at_ms_ == 1'700'000'000'000);
    CHECK(value.remaining_warm_up_ == std::chrono::milliseconds(1'500));
    for (std::string const body :
         {"", "[]", R"({"service":1})",
          R"({"service":"s","state":"asleep","seq":1,"slots":1,)"
          R"("coldLeftMs":0})",
          R"({"service":"s","state":"ready","seq":"x","slots":1,)"
          R"("coldLeftMs":0})"})
    {
        CHECK_THROWS_AS(read_heartbeat("i-1", body), error);
    }
}

TEST_CASE("the operator's document is converted to a template")
{
    auto const stored = parse_adopted_template(to_stored_template(
        R"({"version":7,"routes":[)"
        R"({"name":"r-1","host":"198.18.0.1","prefix":"/8443/",)"
        R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}]},)"
        R"({"name":"r-2","host":"198.18.0.2","prefix":"/80/","service":"t"}],)"
        R"("services":[{"name":"s"},{"name":"t"}],)"
        R"("limits":{"idleTimeoutMs":15000}})"));
    CHECK(stored->change_id_ == "version 7");
    for (auto const& service : stored->value_.services_)
    {
        CHECK(service.limits_.idle_timeout_ == std::chrono::seconds(15));
    }
    auto const& routes = stored->value_.routes_;
    REQUIRE(routes.size() == 2);
    CHECK(to_string(routes[0].vip_) == "198.18.0.1:8443");
    REQUIRE(routes[0].shares_.size() == 2);
    CHECK(routes[0].shares_[1].weight_ == 10);
    CHECK(routes[1].shares_[0].service_ == hash_name("site/t"));
}

// An odd idle timeout mustn't make the whole document invalid.
TEST_CASE("an idle timeout that a template can't hold is replaced")
{
    auto const idle_timeout = [](std::string const& limits)
    {
        return parse_adopted_template(
                   to_stored_template(
                       R"({"version":7,"routes":[],"services":[{"name":"s"}])" +
                       limits + "}"))
            ->value_.services_.at(0)
            .limits_.idle_timeout_;
    };
    auto const by_default = service_limits{}.idle_timeout_;
    CHECK(idle_timeout("") == by_default);
    CHECK(idle_timeout(R"(,"limits":7)") == by_default);
    CHECK(idle_timeout(R"(,"limits":{"idleTimeoutMs":"x"})") == by_default);
    CHECK(idle_timeout(R"(,"limits":{"idleTimeoutMs":0})") == by_default);
    CHECK(idle_timeout(R"(,"limits":{"idleTimeoutMs":1})") == min_idle_timeout);
    CHECK(idle_timeout(R"(,"limits":{"idleTimeoutMs":4000000000})") ==
          max_idle_timeout);
}

TEST_CASE("a route that can't be converted is omitted, and other routes stay")
{
    auto const stored = parse_adopted_template(to_stored_template(
        R"({"version":7,"routes":[)"
        R"({"name":"r-1","host":"198.18.0.1","prefix":"8443","service":"s"},)"
        R"({"name":"r-2","host":"198.18.0.2","prefix":"/80/","service":"s"},)"
        R"({"name":"r-3","host":"198.18.0.2","prefix":"/80/","service":"s"}],)"
        R"("services":[{"name":"s"}]})"));
    REQUIRE(stored->value_.routes_.size() == 1);
    CHECK(stored->value_.routes_[0].name_ == "r-2");
    CHECK_THROWS_AS(to_stored_template("no document"), error);
}

TEST_CASE("a template is ordered by the operator's version, not by the store's "
          "revision")
{
    std::string const document =
        R"({"version": 15, "routes": [], "services": []})";
    auto const value = to_stored_template(document);
    CHECK(version_of({"daisytrail/templates/site", value, 12}) == 15);
    CHECK(parse_adopted_template(value)->change_id_ == "version 15");
}

TEST_CASE("a configuration whose version isn't a whole number is refused")
{
    for (auto const* version : {R"("15")", "-1", "1.5", "null"})
    {
        auto const document = R"({"version": )" + std::string(version) +
                              R"(, "routes": [], "services": []})";
        CHECK_THROWS_WITH(to_stored_template(document),
                          "operator's configuration: field 'version' isn't a "
                          "whole number from 0 on");
    }
}

TEST_CASE("a stored value without a version is ordered by its revision")
{
    std::string const value =
        R"({"change_id": "a", "who": "", "when": "", "template": {}})";
    CHECK(version_of({"daisytrail/templates/site", value, 12}) == 12);
    CHECK(version_of({"daisytrail/templates/site", "not JSON", 13}) == 13);
}
