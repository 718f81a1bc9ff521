// Tests of a balancer's forwarding decision for one packet.
#include <daisytrail/dispatch.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace daisytrail;

namespace
{

constexpr endpoint vip{0xC0000201, 80};
constexpr balancer_load idle{0.0, 0};

using packet_bytes = std::array<std::byte, 40>;

packet_bytes make_packet(std::uint16_t caller_port, std::uint8_t flags)
{
    packet_bytes packet{};
    write_segment(packet, {vip, {0x0A000001, caller_port}}, 1, 1, flags);
    return packet;
}

target_record make_target(target_id id, member_state state,
                          std::uint32_t weight = 1)
{
    target_record record;
    record.target_ = id;
    record.service_ = 1;
    record.version_ = {100 + id, 1};
    record.tunnel_ = {0x7F000001, static_cast<std::uint16_t>(1'000 + id)};
    record.weight_ = weight;
    record.state_ = state;
    return record;
}

void add_service(fleet_view& view)
{
    service_template service;
    service.name_ = "one";
    service.id_ = 1;
    service.vips_ = {vip};
    view.apply(organisation_template{"org", {service}});
}

} // namespace

TEST_CASE("a packet is sent to the first candidate, and its header names it")
{
    fleet_view view;
    add_service(view);
    view.apply(make_target(1, member_state::ready));
    view.apply(make_target(2, member_state::ready));
    auto const action =
        dispatch_packet(view, idle, make_packet(5, tcp_flags::ack));
    REQUIRE(action.drop_ == drop_reason::none);
    auto const& header = action.header_;
    CHECK(header.service_ == 1);
    CHECK(header.ranked_.size_ == 2);
    CHECK(header.position_ == 0);
    CHECK(header.target_ == header.ranked_.candidates_[0].target_);
    CHECK(header.incarnation_ == 100 + header.target_);
    CHECK(action.to_.port_ == 1'000 + header.target_);
}

TEST_CASE("a new flow skips draining candidates, an open flow doesn't")
{
    fleet_view view;
    add_service(view);
    view.apply(make_target(1, member_state::draining));
    view.apply(make_target(2, member_state::ready));
    int passed_over = 0;
    for (std::uint16_t port = 1; port <= 100; ++port)
    {
        auto const syn =
            dispatch_packet(view, idle, make_packet(port, tcp_flags::syn));
        auto const data =
            dispatch_packet(view, idle, make_packet(port, tcp_flags::ack));
        CHECK(syn.header_.target_ == 2);
        CHECK(data.header_.position_ == 0);
        CHECK(syn.header_.ranked_.candidates_ ==
              data.header_.ranked_.candidates_);
        passed_over += syn.header_.position_;
    }
    CHECK(passed_over > 0);
}

TEST_CASE("a new flow is dropped if no target takes new work")
{
    fleet_view view;
    add_service(view);
    view.apply(make_target(1, member_state::draining));
    CHECK(dispatch_packet(view, idle, make_packet(5, tcp_flags::syn)).drop_ ==
          drop_reason::no_target);
    CHECK(dispatch_packet(view, idle, make_packet(5, tcp_flags::ack)).drop_ ==
          drop_reason::none);
}

TEST_CASE("all packets to a service without targets are dropped")
{
    fleet_view view;
    add_service(view);
    CHECK(dispatch_packet(view, idle, make_packet(5, tcp_flags::ack)).drop_ ==
          drop_reason::no_target);
}

TEST_CASE("a packet to an unknown VIP is dropped")
{
    fleet_view view;
    CHECK(dispatch_packet(view, idle, make_packet(5, tcp_flags::ack)).drop_ ==
          drop_reason::unknown_vip);
}

TEST_CASE("a malformed packet is dropped with the reason of the parser")
{
    fleet_view view;
    auto packet = make_packet(5, tcp_flags::ack);
    packet[11] ^= std::byte{1};
    CHECK(dispatch_packet(view, idle, packet).drop_ ==
          drop_reason::bad_header_checksum);
}

TEST_CASE("up to the first limit every new flow is admitted")
{
    CHECK(admits_new_flow({0.0, 0}));
    CHECK(admits_new_flow({overload_begin_fill, 0}));
}

TEST_CASE("from the second limit on no new flow is admitted")
{
    CHECK(!admits_new_flow({overload_full_fill, 0xFFFFFFFF}));
    CHECK(!admits_new_flow({1.0, 0xFFFFFFFF}));
}

TEST_CASE("half way between the limits half of the new flows are admitted")
{
    double const middle = (overload_begin_fill + overload_full_fill) / 2;
    CHECK(!admits_new_flow({middle, 0x7FFFFFFF}));
    CHECK(admits_new_flow({middle, 0x80000000}));
}

TEST_CASE("a full balancer drops new flows and forwards open ones")
{
    fleet_view view;
    add_service(view);
    view.apply(make_target(1, member_state::ready));
    balancer_load const full{1.0, 0xFFFFFFFF};
    CHECK(dispatch_packet(view, full, make_packet(5, tcp_flags::syn)).drop_ ==
          drop_reason::overload);
    CHECK(dispatch_packet(view, full, make_packet(5, tcp_flags::ack)).drop_ ==
          drop_reason::none);
}
