// Tests of the agent's data path on loopback sockets: which packets it accepts,
// which it drops and what it answers.
#include "agent/data_path.hpp"
#include "flow_fleet.hpp"

#include <daisytrail/error.hpp>

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

using namespace daisytrail;
using namespace daisytrail::test;

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr endpoint vip{0x0A640001, 80};
constexpr incarnation epoch = 1'000;

std::uint16_t free_port()
{
    asio::io_context io;
    udp::socket probe(io, {asio::ip::address_v4::loopback(), 0});
    return probe.local_endpoint().port();
}

// The data path of one agent. The socket peer_ acts both as the balancer that
// sends packets to the agent and as the fabric that receives packets from it.
struct harness
{
    harness() : peer_(io_, {asio::ip::address_v4::loopback(), 0})
    {
        settings_.common_.name_ = "target-1";
        settings_.common_.keys_ = {std::string(64, '1')};
        settings_.organisation_ = "hamutenya";
        settings_.service_ = "depot-orders";
        settings_.tunnel_ = {0x7F000001, free_port()};
        settings_.fabric_ = {{0x7F000001, peer_.local_endpoint().port()}};
        data_path_ = std::make_unique<data_path>(
            io_, settings_, epoch, metrics_,
            [this](std::shared_ptr<tcp_flow> flow)
            { accepted_.push_back(std::move(flow)); });
        service_template service;
        service.vips_ = {vip};
        data_path_->set_service(service);
        data_path_->set_view(std::vector{make_record(1)});
        data_path_->start();
    }

    ~harness()
    {
        data_path_->stop();
        for (auto const& flow : accepted_)
        {
            flow->abort();
        }
    }

    tunnel_header header() const
    {
        tunnel_header result;
        result.service_ = hash_name("hamutenya/depot-orders");
        result.target_ = hash_name("target-1");
        result.incarnation_ = epoch;
        result.ranked_ = service_table(std::vector{make_record(1)}).pick(1);
        return result;
    }

    void send(tunnel_header const& header, std::uint8_t flags,
              std::uint16_t port, std::uint32_t sequence,
              std::uint32_t acknowledgement)
    {
        alignas(8) std::array<std::byte, max_tunnel_header_bytes + 40> data{};
        auto const bytes = encode_tunnel_header(header, data);
        // write_segment() writes a segment from the VIP to the caller, so the
        // flow is reversed.
        flow_key const reversed{vip, {0x0A000001, port}};
        auto const total =
            bytes + write_segment(std::span(data).subspan(bytes), reversed,
                                  sequence, acknowledgement, flags);
        peer_.send_to(
            asio::buffer(data.data(), total),
            {asio::ip::address_v4::loopback(), settings_.tunnel_.port_});
    }

    // Returns the next packet to the fabric, or nothing if none arrives within
    // 250 ms.
    std::optional<packet_info> receive()
    {
        std::array<std::byte, 2'048> buffer{};
        std::optional<packet_info> result;
        peer_.async_receive(
            asio::buffer(buffer),
            [&](boost::system::error_code code, std::size_t count)
            {
                if (!code)
                {
                    result = parse_packet(std::span(buffer).first(count)).info_;
                }
            });
        auto const deadline =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(250);
        while (!result && std::chrono::steady_clock::now() < deadline)
        {
            io_.run_one_until(deadline);
        }
        if (!result)
        {
            peer_.cancel();
            io_.poll();
        }
        return result;
    }

    std::uint64_t drop_count(drop_reason reason)
    {
        return metrics_.counter(
            "daisytrail_agent_drops_total{reason=\"" +
            std::string(drop_reason_names[static_cast<std::size_t>(reason)]) +
            "\"}");
    }

    asio::io_context io_;
    udp::socket peer_;
    metrics metrics_;
    agent_settings settings_;
    std::vector<std::shared_ptr<tcp_flow>> accepted_;
    std::unique_ptr<data_path> data_path_;
};

} // namespace

TEST_CASE("a handshake through the tunnel results in an accepted flow")
{
    harness agent;
    agent.send(agent.header(), tcp_flags::syn, 1'001, 10, 0);
    auto const answer = agent.receive();
    REQUIRE(answer);
    CHECK(answer->flags_ == (tcp_flags::syn | tcp_flags::ack));
    CHECK(answer->acknowledgement_ == 11);
    agent.send(agent.header(), tcp_flags::ack, 1'001, 11,
               answer->sequence_ + 1);
    agent.receive();
    REQUIRE(agent.accepted_.size() == 1);
    CHECK(agent.accepted_[0]->key() == flow_key{{0x0A000001, 1'001}, vip});
    CHECK(agent.data_path_->open_flows() == 1);
}

TEST_CASE("the reset for an unknown flow carries its acknowledgement number")
{
    harness agent;
    agent.send(agent.header(), tcp_flags::ack, 1'002, 10, 4'711);
    auto const answer = agent.receive();
    REQUIRE(answer);
    CHECK(answer->flags_ == tcp_flags::rst);
    CHECK(answer->sequence_ == 4'711);
}

TEST_CASE("packets of another service, target or process are never delivered")
{
    harness agent;
    auto service = agent.header();
    ++service.service_;
    auto target = agent.header();
    ++target.target_;
    auto older = agent.header();
    older.incarnation_ = epoch - 1;
    auto newer = agent.header();
    newer.incarnation_ = epoch + 1;
    for (auto const& header : {service, target, older, newer})
    {
        agent.send(header, tcp_flags::syn, 1'003, 1, 0);
    }
    CHECK(!agent.receive());
    CHECK(agent.drop_count(drop_reason::foreign_service) == 1);
    CHECK(agent.drop_count(drop_reason::foreign_target) == 1);
    CHECK(agent.drop_count(drop_reason::foreign_incarnation) == 2);
}

TEST_CASE("an agent accepts packets for every incarnation since its start")
{
    harness agent;
    agent.data_path_->set_incarnation(epoch + 2);
    auto header = agent.header();
    header.incarnation_ = epoch + 1;
    agent.send(header, tcp_flags::syn, 1'004, 1, 0);
    CHECK(agent.receive());
}

TEST_CASE("a flow message without a valid authentication code is refused")
{
    harness agent;
    std::vector<std::byte> const sealed(200, std::byte{7});
    auto const datagram = add_flow_prefix(sealed);
    agent.peer_.send_to(
        asio::buffer(datagram),
        {asio::ip::address_v4::loopback(), agent.settings_.tunnel_.port_});
    CHECK(!agent.receive());
    CHECK(agent.metrics_.counter(
              "daisytrail_agent_refused_flow_messages_total") == 1);
}

TEST_CASE("a SYN to a VIP that isn't the service's is dropped")
{
    harness agent;
    agent.data_path_->set_service({});
    agent.send(agent.header(), tcp_flags::syn, 1'005, 1, 0);
    CHECK(!agent.receive());
    CHECK(agent.drop_count(drop_reason::unknown_vip) == 1);
}

TEST_CASE("an encoded flow message is decoded to the same message")
{
    flow_batch batch;
    batch.from_ = 1;
    batch.to_ = 2;
    batch.from_epoch_ = 3;
    batch.to_epoch_ = 4;
    batch.stream_ = 5;
    batch.sequence_ = 6;
    batch.view_hash_ = 7;
    batch.complete_ = true;
    batch.changes_ = {{make_ack(1).flow_, false},
                      {make_ack(2).flow_, true},
                      {{{1, 2}, {3, 4}}, false}};
    auto const bytes = encode_flow_message(batch);
    auto const decoded = std::get<flow_batch>(decode_flow_message(bytes));
    CHECK(decoded.stream_ == 5);
    CHECK(decoded.view_hash_ == 7);
    CHECK(decoded.complete_);
    CHECK(decoded.changes_ == batch.changes_);
    flow_acknowledgement answer;
    answer.sequence_ = 9;
    auto const decoded_answer = std::get<flow_acknowledgement>(
        decode_flow_message(encode_flow_message(answer)));
    CHECK(decoded_answer.sequence_ == 9);
}

TEST_CASE("a truncated flow message is refused")
{
    flow_batch batch;
    for (std::size_t i = 0; i < max_batch_changes; ++i)
    {
        auto flow = make_ack(1).flow_;
        flow.vip_.port_ = static_cast<std::uint16_t>(i);
        batch.changes_.push_back({flow, false});
    }
    auto const bytes = encode_flow_message(batch);
    CHECK(bytes.size() + flow_message_prefix_bytes + seal_bytes <=
          max_datagram_bytes);
    for (std::size_t size = 0; size < bytes.size(); size += 8)
    {
        auto const part = std::span(bytes).first(size);
        CHECK_THROWS_AS(decode_flow_message(part), error const&);
    }
}
