// Tests the questions about the owners of flows through the sockets of a
// balancer and of an agent.
#include "forward/agent_relay.hpp"
#include "forward/balancer_relay.hpp"
#include "support/plain_format.hpp"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <cstring>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr endpoint vip{0x0A000001, 443};
constexpr ipv4 caller_address = 0x0A000002;
constexpr std::size_t max_question_bytes = 1'200;

endpoint free_endpoint()
{
    asio::io_context io;
    udp::socket const socket(
        io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {asio::ip::address_v4::loopback().to_uint(),
            socket.local_endpoint().port()};
}

udp::endpoint to_udp(endpoint const& value)
{
    return {asio::ip::address_v4(value.address_), value.port_};
}

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

flow_key flow_of(std::uint16_t port)
{
    return {{caller_address, port}, vip};
}

// Remote end of a relay: sends messages and decodes the received datagrams.
class relay_peer
{
public:
    relay_peer() : socket_(io_, to_udp(local_endpoint_))
    {
        socket_.non_blocking(true);
    }

    // Reads all waiting datagrams and returns those of one kind.
    std::vector<relay_message> read(relay_kind kind)
    {
        std::vector<relay_message> result;
        boost::system::error_code code;
        for (;;)
        {
            udp::endpoint from;
            auto const size =
                socket_.receive_from(asio::buffer(buffer_), from, 0, code);
            if (code)
            {
                return result;
            }
            auto const reading = decode_relay(std::span(buffer_).first(size));
            REQUIRE(reading);
            if (reading->message_.kind_ == kind)
            {
                longest_datagram_ = std::max(longest_datagram_, size);
                result.push_back(reading->message_);
            }
        }
    }

    void send(endpoint const& to, relay_message const& message)
    {
        alignas(8) std::array<std::byte, max_relay_head_bytes> buffer{};
        auto const size = encode_relay_head(message, buffer);
        socket_.send_to(asio::buffer(buffer.data(), size), to_udp(to));
    }

    endpoint local_endpoint_ = free_endpoint();
    std::size_t longest_datagram_ = 0; // returned by read(), in bytes

private:
    asio::io_context io_;
    udp::socket socket_;
    alignas(8) std::array<std::byte, 2'048> buffer_{};
};

// A balancer that receives packets of open flows that it doesn't know.
struct searching_fixture
{
    searching_fixture() : callers_(io_, udp::v4())
    {
        organisation_template organisation{"org", {}, {}};
        organisation.routes_.push_back(
            {"main", vip, {{hash_name("org/orders"), 1}}});
        directory_.apply(organisation, 1);
        directory_.apply(record("one", one_));
        directory_.apply(record("two", two_));
        settings_.balancer_.common_.failure_domain_ = "a";
        settings_.balancer_.data_ = free_endpoint();
        settings_.relay_ = free_endpoint();
        settings_.caller_port_ = free_endpoint().port_;
        balancer_ = std::make_unique<balancer_relay>(io_, settings_, format_,
                                                     directory_, metrics_);
        balancer_->start();
    }

    static target_record record(std::string const& name,
                                relay_peer const& agent)
    {
        target_record result;
        result.name_ = name;
        result.target_ = hash_name(name);
        result.service_ = hash_name("org/orders");
        result.failure_domain_ = "a";
        result.tunnel_ = agent.local_endpoint_;
        result.slots_ = 4;
        result.state_ = member_state::ready;
        return result;
    }

    // Sends a packet of each of `count` open flows.
    void send_packets(std::uint16_t count)
    {
        for (std::uint16_t port = 1; port <= count; ++port)
        {
            flow_packet packet;
            packet.source_ = flow_of(port).caller_;
            packet.destination_ = vip;
            packet.ack_ = true;
            callers_.send_to(asio::buffer(plain_format::write(packet)),
                             to_udp(settings_.balancer_.data_));
        }
        run();
    }

    // Handles all received datagrams.
    void run()
    {
        while (io_.poll() > 0)
        {
        }
    }

    asio::io_context io_;
    udp::socket callers_;
    plain_format format_;
    relay_peer one_;
    relay_peer two_;
    metrics metrics_;
    forward_directory directory_;
    forward_balancer_settings settings_;
    std::unique_ptr<balancer_relay> balancer_;
};

} // namespace

// After a change of the network fabric's hash every flow of a failure domain is
// searched. Each search used to send a datagram of its own to every agent.
TEST_CASE_FIXTURE(searching_fixture,
                  "questions about many flows share datagrams")
{
    constexpr std::uint16_t flows = 150;
    constexpr std::size_t datagrams = 3; // of up to 64 flows
    send_packets(flows);
    CHECK(one_.read(relay_kind::owner_question).size() == datagrams);
    CHECK(two_.read(relay_kind::owner_question).size() == datagrams);
    // Retransmissions of one tick are batched too.
    balancer_->tick(current_time() + 1s);
    CHECK(one_.read(relay_kind::owner_question).size() == datagrams);
    CHECK(two_.read(relay_kind::owner_question).size() == datagrams);
    CHECK(one_.longest_datagram_ <= max_question_bytes);
}

TEST_CASE_FIXTURE(searching_fixture,
                  "the answers to all flows of a question are handled")
{
    constexpr std::uint16_t flows = 150;
    send_packets(flows);
    std::size_t asked = 0;
    for (auto answer : one_.read(relay_kind::owner_question))
    {
        asked += answer.queried_flows_.size();
        answer.kind_ = relay_kind::owner_answer;
        for (auto& each : answer.queried_flows_)
        {
            bool const is_odd = each.flow_.caller_.port_ % 2 == 1;
            each.ownership_ =
                is_odd ? flow_ownership::held : flow_ownership::not_held;
        }
        one_.send(settings_.relay_, answer);
    }
    CHECK(asked == flows);
    run();
    CHECK(one_.read(relay_kind::packet).size() == flows / 2);
    for (auto answer : two_.read(relay_kind::owner_question))
    {
        answer.kind_ = relay_kind::owner_answer;
        for (auto& each : answer.queried_flows_)
        {
            each.ownership_ = flow_ownership::held;
        }
        two_.send(settings_.relay_, answer);
    }
    run();
    CHECK(one_.read(relay_kind::packet).empty());
    CHECK(two_.read(relay_kind::packet).size() == flows / 2);
}

TEST_CASE("an agent answers all flows of a question in one datagram")
{
    asio::io_context io;
    plain_format const format;
    metrics counters;
    relay_peer balancer;
    backend_lifecycle lifecycle("orders");
    forward_agent_settings settings;
    settings.agent_.common_.name_ = "one";
    settings.agent_.organisation_ = "org";
    settings.agent_.service_ = "orders";
    settings.agent_.tunnel_ = free_endpoint();
    settings.outbound_ = free_endpoint();
    settings.flow_lifetime_ = std::chrono::milliseconds(0);
    agent_relay agent(io, settings, format, lifecycle, counters);
    agent.start();
    auto const now = std::chrono::steady_clock::now();
    agent.tick(now);
    agent.tick(now + std::chrono::milliseconds(1));
    relay_message question;
    question.kind_ = relay_kind::owner_question;
    question.service_ = hash_name("org/orders");
    question.target_ = hash_name("one");
    for (std::uint16_t port = 1; port <= max_queried_flows; ++port)
    {
        question.queried_flows_.push_back({flow_of(port)});
    }
    balancer.send(settings.agent_.tunnel_, question);
    while (io.poll() > 0)
    {
    }
    auto const answers = balancer.read(relay_kind::owner_answer);
    REQUIRE(answers.size() == 1);
    for (auto& each : question.queried_flows_)
    {
        each.ownership_ = flow_ownership::not_held;
    }
    CHECK(answers[0].queried_flows_ == question.queried_flows_);
    CHECK(balancer.longest_datagram_ <= max_question_bytes);
}

TEST_CASE("a misplaced or malformed list of flows is rejected")
{
    constexpr std::size_t kind_offset = 40;
    constexpr std::size_t flows_pointer_offset = 56;
    constexpr std::size_t flows_tag_offset = 64;
    constexpr std::size_t holding_offset = flows_tag_offset + 8 + 12;
    relay_message message;
    message.kind_ = relay_kind::owner_answer;
    message.queried_flows_.push_back({flow_of(1)});
    alignas(8) std::array<std::byte, max_relay_head_bytes> encoded{};
    auto const size = encode_relay_head(message, encoded);
    auto const decodes = [size](std::span<std::byte const> bytes)
    {
        return decode_relay(bytes.first(size)).has_value();
    };
    REQUIRE(decodes(encoded));
    SUBCASE("a kind that carries no list")
    {
        encoded[kind_offset] = std::byte{0};
        CHECK_FALSE(decodes(encoded));
    }
    SUBCASE("an unknown holding value")
    {
        encoded[holding_offset] = static_cast<std::byte>(flow_ownership::count);
        CHECK_FALSE(decodes(encoded));
    }
    SUBCASE("no list")
    {
        std::memset(&encoded[flows_pointer_offset], 0, 8);
        CHECK_FALSE(decodes(encoded));
    }
    SUBCASE("too many flows without bytes")
    {
        // A list pointer with no words, and a tag of elements without fields.
        std::uint32_t const tag[2] = {(max_queried_flows + 1) << 2U, 0};
        std::uint32_t const no_words = 7;
        std::memcpy(&encoded[flows_tag_offset], tag, sizeof(tag));
        std::memcpy(&encoded[flows_pointer_offset + 4], &no_words,
                    sizeof(no_words));
        CHECK_FALSE(decodes(encoded));
    }
    SUBCASE("a single flow in place of a list")
    {
        // A struct pointer of two words, as messages had before the list.
        std::uint32_t const pointer[2] = {0, 2};
        std::memcpy(&encoded[flows_pointer_offset], pointer, sizeof(pointer));
        CHECK_FALSE(decodes(encoded));
    }
}
