// Tests of the agent's data path on loopback sockets: which packets it passes
// or returns, and how it answers owner questions about flows that its backend
// server may not hold.
#include "forward/agent_relay.hpp"
#include "support/plain_format.hpp"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr endpoint vip{0x0A000001, 443};

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

// A non-blocking socket that is read when the test calls receive().
class polled_socket
{
public:
    explicit polled_socket(asio::io_context& io)
        : socket_(io, udp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        socket_.non_blocking(true);
    }

    endpoint address() const
    {
        return {asio::ip::address_v4::loopback().to_uint(),
                socket_.local_endpoint().port()};
    }

    void send(endpoint const& to, std::span<std::byte const> bytes)
    {
        socket_.send_to(
            asio::buffer(bytes.data(), bytes.size()),
            udp::endpoint(asio::ip::address_v4(to.address_), to.port_));
    }

    std::vector<std::vector<std::byte>> receive()
    {
        std::vector<std::vector<std::byte>> result;
        for (;;)
        {
            std::vector<std::byte> bytes(2'048);
            boost::system::error_code code;
            auto const size = socket_.receive(asio::buffer(bytes), 0, code);
            if (code)
            {
                return result;
            }
            bytes.resize(size);
            result.push_back(bytes);
        }
    }

private:
    udp::socket socket_;
};

struct agent_fixture
{
    agent_fixture() : balancer_(io_), backend_(io_), caller_(io_)
    {
        settings_.agent_.common_.name_ = "one";
        settings_.agent_.organisation_ = "org";
        settings_.agent_.service_ = "orders";
        settings_.agent_.tunnel_ = polled_socket(io_).address();
        settings_.outbound_ = polled_socket(io_).address();
        settings_.backend_ = backend_.address();
        settings_.caller_port_ = caller_.address().port_;
    }

    // Starts the agent; the backend server announces itself. The agent has seen
    // all flows that the backend server may hold, or has just started.
    void announce(bool knows_all_flows = true)
    {
        if (knows_all_flows)
        {
            settings_.flow_lifetime_ = 0ms;
        }
        relay_ = std::make_unique<agent_relay>(io_, settings_, format_,
                                               lifecycle_, metrics_);
        relay_->start();
        relay_->tick(current_time());
        relay_->tick(current_time() + 1ms);
        backend_announcement value;
        value.id_ = "run";
        value.service_ = "orders";
        value.sequence_ = 1;
        lifecycle_.on_announcement(value, current_time());
        relay_->on_new_run();
    }

    flow_packet packet(std::uint32_t acknowledgement = 0) const
    {
        flow_packet result;
        result.source_ = {caller_.address().address_, 40'001};
        result.destination_ = vip;
        result.ack_ = true;
        result.acknowledgement_ = acknowledgement;
        result.payload_bytes_ = 10;
        return result;
    }

    flow_packet syn(std::uint8_t copy = 0) const
    {
        auto result = packet();
        result.syn_ = true;
        result.ack_ = false;
        result.payload_bytes_ = 0;
        result.syn_attempt_ = copy;
        return result;
    }

    flow_packet answer(std::uint32_t sequence) const
    {
        flow_packet result;
        result.source_ = vip;
        result.destination_ = packet().source_;
        result.ack_ = true;
        result.sequence_ = sequence;
        return result;
    }

    flow_packet syn_ack(std::uint32_t sequence) const
    {
        auto result = answer(sequence);
        result.syn_ = true;
        return result;
    }

    // A packet of the backend server that belongs to another flow.
    flow_packet answer_of_other_flow() const
    {
        auto result = answer(0);
        result.destination_.port_ += 1;
        return result;
    }

    flow_packet backend_reset() const
    {
        auto result = answer(1);
        result.reset_ = true;
        return result;
    }

    void send_from_balancer(flow_packet const& value,
                            bool is_owner_unknown = false)
    {
        send_without_run(value, is_owner_unknown);
        run();
    }

    // Sends a packet without running the event loop, so that the agent doesn't
    // read it yet.
    void send_without_run(flow_packet const& value, bool is_owner_unknown)
    {
        relay_message message;
        message.kind_ = relay_kind::packet;
        message.service_ = hash_name("org/orders");
        message.target_ = hash_name("one");
        message.is_owner_unknown_ = is_owner_unknown;
        send(message, plain_format::write(value));
    }

    void send(relay_message const& message, std::vector<std::byte> const& bytes)
    {
        std::vector<std::byte> datagram(max_relay_head_bytes);
        datagram.resize(encode_relay_head(message, datagram));
        datagram.insert(datagram.end(), bytes.begin(), bytes.end());
        balancer_.send(settings_.agent_.tunnel_, datagram);
    }

    void send_from_backend(flow_packet const& value)
    {
        backend_.send(settings_.outbound_, plain_format::write(value));
        run();
    }

    void run(std::chrono::milliseconds time = 5ms)
    {
        io_.run_for(time);
        io_.restart();
        // Polls at least once, even if the test was delayed beyond `time`.
        io_.poll();
        io_.restart();
    }

    // Messages but reports that the balancer received since the last call.
    std::vector<relay_message> received_by_balancer()
    {
        std::vector<relay_message> result;
        for (auto const& bytes : balancer_.receive())
        {
            alignas(8) std::array<std::byte, 2'048> buffer{};
            std::ranges::copy(bytes, buffer.begin());
            auto const decoded =
                decode_relay(std::span(buffer).first(bytes.size()));
            if (decoded->message_.kind_ != relay_kind::report)
            {
                result.push_back(decoded->message_);
            }
        }
        return result;
    }

    // Packets that the backend server or the caller received.
    static std::vector<flow_packet> packets(polled_socket& receiver)
    {
        std::vector<flow_packet> result;
        for (auto const& bytes : receiver.receive())
        {
            result.push_back(*plain_format().read(bytes));
        }
        return result;
    }

    asio::io_context io_;
    plain_format format_;
    polled_socket balancer_;
    polled_socket backend_;
    polled_socket caller_;
    metrics metrics_;
    forward_agent_settings settings_;
    backend_lifecycle lifecycle_{"orders"};
    std::unique_ptr<agent_relay> relay_;
};

} // namespace

// Guards against a reset of an open flow by a backend server that got only a
// copy of its SYN: the caller's next packet overtakes the SYN+ACK of this
// second backend server, which then resets the flow.
TEST_CASE_FIXTURE(agent_fixture,
                  "a packet that overtakes the SYN+ACK isn't passed to a "
                  "backend server that a copy of the SYN went to")
{
    announce();
    send_from_balancer(syn(1));
    send_from_balancer(packet(700'000));
    auto const passed = packets(backend_);
    REQUIRE(passed.size() == 1);
    CHECK(passed[0].opens_flow());
    auto const answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason_ == return_reason::not_held);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a restarted agent neither passes nor denies a packet that "
                  "overtakes the SYN+ACK of a retransmitted SYN")
{
    announce(false);
    send_from_balancer(syn(1));
    send_from_balancer(packet(5'001));
    CHECK(packets(backend_).size() == 1);
    auto answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason_ == return_reason::no_answer);
    send_from_backend(syn_ack(5'000));
    send_from_balancer(packet(5'001));
    CHECK(packets(backend_).size() == 1);
    CHECK(received_by_balancer().empty());
}

// A backend server resets a half-open flow when the flow times out or when it
// gets a packet of a flow that the caller opened elsewhere.
TEST_CASE_FIXTURE(agent_fixture,
                  "a backend server's reset of a flow that the caller opened "
                  "elsewhere doesn't reach the caller")
{
    announce();
    send_from_balancer(syn(1));
    send_from_backend(syn_ack(5'000));
    send_from_backend(backend_reset());
    auto const seen = packets(caller_);
    REQUIRE(seen.size() == 1);
    CHECK(seen[0].syn_);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a reset in answer to an offered packet is reported as not "
                  "held")
{
    announce(false);
    send_from_balancer(packet(700'000), true);
    send_from_backend(backend_reset());
    CHECK(packets(caller_).empty());
    auto const answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].kind_ == relay_kind::owner_answer);
    CHECK(answers[0].queried_flows_.at(0).ownership_ ==
          flow_ownership::not_held);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a backend server's reset of a flow that is open there "
                  "reaches the caller")
{
    announce();
    send_from_balancer(syn());
    send_from_backend(syn_ack(5'000));
    send_from_balancer(packet(5'001));
    send_from_backend(backend_reset());
    auto const seen = packets(caller_);
    REQUIRE(seen.size() == 2);
    CHECK(seen[1].reset_);
}

// Guards against reporting a flow as held merely because 30 ms passed since its
// packet, regardless of what was read since: the balancer would assign the flow
// to a backend server that doesn't hold it.
TEST_CASE_FIXTURE(agent_fixture,
                  "a flow whose packet is returned late isn't reported as held")
{
    announce(false);
    // The backend server's answer is sent before the packet is passed and read
    // after it.
    send_without_run(packet(), true);
    backend_.send(settings_.outbound_,
                  plain_format::write(answer_of_other_flow()));
    run();
    auto returned = packets(backend_).at(0);
    returned.returned_ = true;
    for (int i = 0; i < 4; ++i)
    {
        run(50ms);
        relay_->tick(current_time());
    }
    CHECK(received_by_balancer().empty());
    send_from_backend(returned);
    auto const answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason_ == return_reason::not_held);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a flow whose packet was returned before the agent's tick "
                  "isn't reported as held")
{
    announce(false);
    send_from_balancer(packet(), true);
    auto returned = packets(backend_).at(0);
    returned.returned_ = true;
    send_from_backend(answer_of_other_flow());
    std::this_thread::sleep_for(100ms);
    backend_.send(settings_.outbound_, plain_format::write(returned));
    relay_->tick(current_time());
    run();
    auto const answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason_ == return_reason::not_held);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a flow whose packet isn't returned is reported as held")
{
    announce(false);
    send_from_balancer(packet(), true);
    send_from_backend(answer_of_other_flow());
    run(50ms);
    relay_->tick(current_time());
    auto const answers = received_by_balancer();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].queried_flows_.at(0).ownership_ == flow_ownership::held);
}

// After a power failure the backlog of all callers met the backend servers at
// once: they refused a third of the requests and reset flows.
TEST_CASE_FIXTURE(agent_fixture,
                  "the SYN of a flow waits while the backend server is busy")
{
    announce();
    relay_->set_slots(1);
    auto const flow = [this](std::uint16_t port, flow_packet value)
    {
        value.source_.port_ = port;
        return value;
    };
    for (std::uint16_t const port : {1, 2})
    {
        send_from_balancer(flow(port, syn()));
        auto accepted = syn_ack(5'000);
        accepted.destination_.port_ = port;
        send_from_backend(accepted);
        send_from_balancer(flow(port, packet(5'001)));
    }
    CHECK(packets(backend_).size() == 4);
    CHECK(received_by_balancer().empty());
    send_from_balancer(flow(3, syn()));
    CHECK(packets(backend_).empty());
    auto const told = received_by_balancer();
    REQUIRE(told.size() == 1);
    CHECK(told[0].kind_ == relay_kind::syn_waits);
    CHECK(told[0].queried_flows_[0].flow_.caller_.port_ == 3);
    CHECK(told[0].load_.in_flight_ == 3);
    SUBCASE("until a request is answered")
    {
        auto done = answer(1);
        done.destination_.port_ = 1;
        done.payload_bytes_ = 10;
        send_from_backend(done);
        auto const passed = packets(backend_);
        REQUIRE(passed.size() == 1);
        CHECK(passed[0].opens_flow());
        CHECK(passed[0].source_.port_ == 3);
    }
    // The copy may come through a balancer that doesn't know yet that the
    // configuration moved new flows elsewhere.
    SUBCASE("and isn't replaced by a later copy")
    {
        send_from_balancer(flow(3, syn(2)));
        auto done = answer(1);
        done.destination_.port_ = 1;
        done.payload_bytes_ = 10;
        send_from_backend(done);
        auto const passed = packets(backend_);
        REQUIRE(passed.size() == 1);
        CHECK(passed[0].syn_attempt_ == 0);
    }
    SUBCASE("and is returned when the agent stops")
    {
        relay_->set_stopping();
        relay_->tick(current_time());
        run();
        CHECK(packets(backend_).empty());
        auto const returned = received_by_balancer();
        REQUIRE(returned.size() == 1);
        CHECK(returned[0].kind_ == relay_kind::returned);
        CHECK(returned[0].reason_ == return_reason::not_accepting);
    }
}
