// Tests of the data path of mode `forward` on loopback sockets, with one
// balancer, two agents and two backend servers that hold only the flows that
// they opened.
#include "forward/agent_relay.hpp"
#include "forward/balancer_relay.hpp"
#include "support/plain_format.hpp"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <set>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr endpoint vip{0x0A000001, 443};

endpoint unused_endpoint()
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

// A socket that records the packets that it receives.
class recording_socket
{
public:
    recording_socket(asio::io_context& io, endpoint const& local)
        : socket_(io, to_udp(local))
    {
        receive();
    }

    void send(endpoint const& to, flow_packet const& packet)
    {
        socket_.send_to(asio::buffer(plain_format::write(packet)), to_udp(to));
    }

    std::deque<flow_packet> received_;
    std::function<void(flow_packet const&)> on_packet_;

private:
    void receive()
    {
        socket_.async_receive_from(
            asio::buffer(buffer_), from_,
            [this](boost::system::error_code code, std::size_t bytes)
            {
                if (code)
                {
                    return;
                }
                auto const packet = plain_format().read(
                    std::span<std::byte const>(buffer_).first(bytes));
                received_.push_back(*packet);
                if (on_packet_)
                {
                    on_packet_(*packet);
                }
                receive();
            });
    }

    udp::socket socket_;
    udp::endpoint from_;
    std::array<std::byte, 2'048> buffer_{};
};

// An agent and its backend server.
struct target
{
    // The agent knows all flows after `flow_lifetime`.
    target(asio::io_context& io, std::string const& name,
           std::uint16_t caller_port, packet_format const& format,
           std::chrono::milliseconds flow_lifetime)
        : lifecycle_("orders")
    {
        settings_.flow_lifetime_ = flow_lifetime;
        settings_.agent_.common_.name_ = name;
        settings_.agent_.organisation_ = "org";
        settings_.agent_.service_ = "orders";
        settings_.agent_.tunnel_ = unused_endpoint();
        settings_.backend_ = unused_endpoint();
        settings_.outbound_ = unused_endpoint();
        settings_.caller_port_ = caller_port;
        backend_announcement value;
        value.id_ = name;
        value.service_ = "orders";
        value.sequence_ = 1;
        lifecycle_.on_announcement(value, current_time());
        backend_ = std::make_unique<recording_socket>(io, settings_.backend_);
        backend_->on_packet_ = [this](flow_packet const& packet)
        {
            answer(packet);
        };
        relay_ = std::make_unique<agent_relay>(io, settings_, format,
                                               lifecycle_, metrics_);
        relay_->start();
        relay_->tick(current_time());
        relay_->tick(current_time() + std::chrono::milliseconds(1));
    }

    void answer(flow_packet const& packet)
    {
        auto const flow = packet.flow_from_caller();
        if (packet.opens_flow())
        {
            flows_.insert(flow);
        }
        if (!flows_.contains(flow))
        {
            auto returned = packet;
            returned.returned_ = true;
            backend_->send(settings_.outbound_, returned);
            return;
        }
        flow_packet reply;
        reply.source_ = packet.destination_;
        reply.destination_ = packet.source_;
        reply.syn_ = packet.syn_;
        reply.ack_ = true;
        reply.payload_bytes_ = packet.payload_bytes_;
        backend_->send(settings_.outbound_, reply);
    }

    target_record record() const
    {
        target_record result;
        result.name_ = settings_.agent_.common_.name_;
        result.target_ = hash_name(result.name_);
        result.service_ = hash_name("org/orders");
        result.failure_domain_ = "a";
        result.tunnel_ = settings_.agent_.tunnel_;
        result.slots_ = 4;
        result.state_ = member_state::ready;
        return result;
    }

    forward_agent_settings settings_;
    metrics metrics_;
    backend_lifecycle lifecycle_;
    std::unique_ptr<recording_socket> backend_;
    std::set<flow_key> flows_; // that the backend server holds
    std::unique_ptr<agent_relay> relay_;
};

struct relay_fixture
{
    explicit relay_fixture(
        std::chrono::milliseconds flow_lifetime = max_flow_idle_time)
        : caller_endpoint_(unused_endpoint()), caller_(io_, caller_endpoint_),
          one_(io_, "one", caller_endpoint_.port_, format_, flow_lifetime),
          two_(io_, "two", caller_endpoint_.port_, format_, flow_lifetime)
    {
        organisation_.routes_.push_back(
            {"main", vip, {{hash_name("org/orders"), 1}}});
        directory_.apply(organisation_, 1);
        directory_.apply(one_.record());
        directory_.apply(two_.record());
        balancer_ = make_balancer();
        balancer_->start();
        balancer_->tick(current_time());
        run();
    }

    std::unique_ptr<balancer_relay> make_balancer()
    {
        settings_.balancer_.common_.failure_domain_ = "a";
        settings_.balancer_.data_ = unused_endpoint();
        settings_.relay_ = unused_endpoint();
        settings_.caller_port_ = caller_endpoint_.port_;
        auto result = std::make_unique<balancer_relay>(io_, settings_, format_,
                                                       directory_, metrics_);
        newest_balancer_ = result.get();
        return result;
    }

    // Replaces the balancer by one that knows only the stored list of targets.
    std::unique_ptr<balancer_relay>
    restart_balancer(std::vector<target_record> const& listed)
    {
        balancer_->stop();
        directory_ = {};
        directory_.apply(organisation_, 1);
        directory_.expect_targets(listed);
        auto result = make_balancer();
        result->start();
        result->discover_targets(current_time());
        run();
        return result;
    }

    void run(std::chrono::milliseconds time = 50ms)
    {
        io_.run_for(time / 2);
        io_.restart();
        bool const is_view_requested =
            confirms_view_ && newest_balancer_ != nullptr &&
            newest_balancer_->wants_view(current_time());
        if (is_view_requested)
        {
            directory_.confirm_view(current_time());
            newest_balancer_->tick(current_time());
        }
        io_.run_for(time / 2);
        io_.restart();
    }

    void send_packet(bool syn)
    {
        flow_packet packet;
        packet.source_ = caller_endpoint_; // the port only identifies the flow
        packet.destination_ = vip;
        packet.syn_ = syn;
        packet.ack_ = !syn;
        packet.payload_bytes_ = syn ? 0 : 10;
        caller_.send(settings_.balancer_.data_, packet);
        run();
    }

    std::size_t answers() const
    {
        return caller_.received_.size();
    }

    asio::io_context io_;
    plain_format format_;
    endpoint caller_endpoint_;
    recording_socket caller_;
    target one_;
    target two_;
    metrics metrics_;
    organisation_template organisation_{"org", {}, {}};
    forward_directory directory_;
    forward_balancer_settings settings_;
    std::unique_ptr<balancer_relay> balancer_;
    balancer_relay* newest_balancer_ = nullptr; // the one made last
    bool confirms_view_ = true;                 // stands in for other balancers
};

// Agents that know all flows of their backend servers.
struct known_flows_fixture : relay_fixture
{
    known_flows_fixture() : relay_fixture(std::chrono::milliseconds(0)) {}
};

} // namespace

TEST_CASE_FIXTURE(relay_fixture, "a flow is opened and answered on loopback")
{
    send_packet(true);
    REQUIRE(answers() == 1);
    CHECK(caller_.received_[0].syn_);
    send_packet(false);
    REQUIRE(answers() == 2);
    CHECK(caller_.received_[1].payload_bytes_ == 10);
    CHECK(one_.flows_.size() + two_.flows_.size() == 1);
}

TEST_CASE_FIXTURE(relay_fixture,
                  "another balancer finds a flow's owner by the packets that "
                  "agents return")
{
    send_packet(true);
    balancer_->stop();
    auto const other = make_balancer();
    other->start();
    for (int i = 0; i < 3; ++i)
    {
        send_packet(false);
    }
    CHECK(answers() == 4);
    for (auto const& packet : caller_.received_)
    {
        CHECK_FALSE(packet.reset_);
    }
}

TEST_CASE_FIXTURE(relay_fixture,
                  "a stopping agent refuses SYNs of balancers that weren't "
                  "notified")
{
    one_.relay_->set_stopping();
    two_.relay_->set_stopping();
    send_packet(true);
    CHECK(one_.flows_.empty());
    CHECK(two_.flows_.empty());
}

TEST_CASE_FIXTURE(relay_fixture, "a packet for another target is returned")
{
    auto record = one_.record();
    record.tunnel_ = two_.settings_.agent_.tunnel_;
    record.version_ = {2, 0};
    directory_.apply(record);
    auto left = two_.record();
    left.state_ = member_state::left;
    left.version_ = {2, 0};
    directory_.apply(left);
    send_packet(true);
    CHECK(one_.flows_.empty());
    CHECK(two_.flows_.empty());
}

// Guards against sending a packet in a loop to a target whose address was
// reused by another target: the packets that the other target returns must not
// count as returned by the addressed one.
TEST_CASE_FIXTURE(relay_fixture,
                  "a flow skips a target whose address was reused by another")
{
    auto record = one_.record();
    record.tunnel_ = two_.settings_.agent_.tunnel_;
    record.version_ = {2, 0};
    directory_.apply(record);
    for (int i = 0; i < 4; ++i)
    {
        send_packet(true);
        caller_endpoint_.port_ += 1;
    }
    CHECK(one_.flows_.empty());
    CHECK(two_.flows_.size() == 4);
}

// Guards against searches that skip the owner because its backend server
// answers slowly: under load answers take longer than a search waits, and 257
// open flows lost their packets for 2 s.
TEST_CASE_FIXTURE(relay_fixture,
                  "an owner is reported before its backend server answers")
{
    send_packet(true);
    auto const before = answers();
    for (auto* value : {&one_, &two_})
    {
        value->backend_->on_packet_ = [value](flow_packet const& packet)
        {
            if (!value->flows_.contains(packet.flow_from_caller()))
            {
                value->answer(packet);
                return;
            }
            // A packet of another flow, which shows that the backend server
            // runs.
            flow_packet other;
            other.source_ = packet.destination_;
            other.destination_ = {packet.source_.address_, 1};
            other.ack_ = true;
            value->backend_->send(value->settings_.outbound_, other);
        };
    }
    balancer_->stop();
    auto const other = make_balancer();
    other->start();
    send_packet(false);
    for (int i = 0; i < 8; ++i)
    {
        one_.relay_->tick(current_time());
        two_.relay_->tick(current_time());
        run();
        other->tick(current_time());
    }
    auto const& owner = one_.flows_.empty() ? two_ : one_;
    auto const& non_owner = one_.flows_.empty() ? one_ : two_;
    CHECK(answers() == before + 1); // the packet of the other flow
    CHECK(owner.backend_->received_.size() == 2);
    CHECK(non_owner.backend_->received_.size() <= 1);
}

TEST_CASE_FIXTURE(relay_fixture, "malformed datagrams are counted and dropped")
{
    asio::io_context io;
    udp::socket socket(io, udp::v4());
    std::array<std::byte, 5> const noise{};
    socket.send_to(asio::buffer(noise), to_udp(settings_.balancer_.data_));
    socket.send_to(asio::buffer(noise), to_udp(settings_.relay_));
    socket.send_to(asio::buffer(noise), to_udp(one_.settings_.agent_.tunnel_));
    run();
    CHECK(metrics_.counter("daisytrail_packets_malformed_total") == 2);
    CHECK(one_.metrics_.counter("daisytrail_packets_malformed_total") == 1);
}

// Guards against waiting for the answer of a full backend server, which comes
// late, although the agent has already seen the flow answered.
TEST_CASE_FIXTURE(relay_fixture,
                  "an agent that saw a flow answered reports its owner at once")
{
    send_packet(true);
    send_packet(false);
    auto& owner = one_.flows_.empty() ? two_ : one_;
    auto& non_owner = one_.flows_.empty() ? one_ : two_;
    REQUIRE(answers() == 2);
    owner.backend_->on_packet_ = nullptr;
    balancer_->stop();
    auto const other = make_balancer();
    other->start();
    send_packet(false);
    other->tick(current_time() + std::chrono::seconds(1));
    run();
    CHECK(owner.backend_->received_.size() == 3);
    CHECK(non_owner.backend_->received_.size() <= 1);
}

// Guards against sending packets to several targets in search of their owner,
// which saturated slow links.
TEST_CASE_FIXTURE(known_flows_fixture,
                  "packets of an unknown flow are sent to its owner only")
{
    send_packet(true);
    send_packet(false);
    auto const& owner = one_.flows_.empty() ? two_ : one_;
    auto const& non_owner = one_.flows_.empty() ? one_ : two_;
    balancer_->stop();
    auto const other = make_balancer();
    other->start();
    send_packet(false);
    CHECK(answers() == 3);
    CHECK(owner.backend_->received_.size() == 3);
    CHECK(non_owner.backend_->received_.empty());
}

// An agent that started after its backend server can't determine which flows
// the backend server holds, so the first packet of an unknown flow is offered
// to it. Guards against dropping the packets that follow, as of an upload.
TEST_CASE_FIXTURE(relay_fixture,
                  "packets that arrive during an offer reach the owner too")
{
    send_packet(true);
    auto& owner = one_.flows_.empty() ? two_ : one_;
    auto& non_owner = one_.flows_.empty() ? one_ : two_;
    owner.backend_->on_packet_ = nullptr;
    balancer_->stop();
    auto const other = make_balancer();
    other->start();
    send_packet(false);
    send_packet(false);
    flow_packet answer;
    answer.source_ = vip;
    answer.destination_ = caller_endpoint_;
    answer.ack_ = true;
    owner.backend_->send(owner.settings_.outbound_, answer);
    run();
    // The SYN and both packets, each received once.
    CHECK(owner.backend_->received_.size() == 3);
    CHECK(non_owner.backend_->received_.size() <= 1);
}

// Guards against handling a returned SYN like the buffered packets of an
// earlier flow when a caller's port is reused during a search.
TEST_CASE_FIXTURE(relay_fixture,
                  "a returned SYN is handled apart from buffered packets")
{
    send_packet(false);
    one_.relay_->set_stopping();
    two_.relay_->set_stopping();
    flow_packet syn;
    syn.source_ = caller_endpoint_;
    syn.destination_ = vip;
    syn.syn_ = true;
    auto const before =
        one_.backend_->received_.size() + two_.backend_->received_.size();
    caller_.send(settings_.balancer_.data_, syn);
    run();
    CHECK(one_.backend_->received_.size() + two_.backend_->received_.size() ==
          before);
}

// A caller whose flow no target holds must not wait after the view is
// confirmed.
TEST_CASE_FIXTURE(known_flows_fixture,
                  "a flow that no target holds is reset once the view is "
                  "confirmed")
{
    confirms_view_ = false;
    directory_.expect_targets({}); // all listed targets have been discovered
    send_packet(false);
    CHECK(answers() == 0);
    CHECK(balancer_->wants_view(current_time()));
    directory_.confirm_view(current_time());
    balancer_->tick(current_time());
    run();
    REQUIRE(answers() == 1);
    CHECK(caller_.received_[0].reset_);
    CHECK_FALSE(balancer_->wants_view(current_time()));
}

// After a power failure agents were running for 300 ms, but balancers learned
// of them only through seeds that started late, and dropped every SYN until
// then.
TEST_CASE_FIXTURE(relay_fixture,
                  "a listed target takes flows as soon as its agent reports")
{
    // Target one has the address of a target that has gone.
    auto gone = one_.record();
    gone.name_ = "gone";
    gone.target_ = hash_name(gone.name_);
    auto const started = restart_balancer({one_.record(), two_.record(), gone});
    CHECK(directory_.targets().size() == 2);
    CHECK_FALSE(directory_.knows_all_expected());
    send_packet(true);
    REQUIRE(answers() == 1);
    CHECK(caller_.received_[0].syn_);
}

// The stored list may name a backend server that has left since it was written.
TEST_CASE_FIXTURE(relay_fixture,
                  "a listed target whose backend server has left isn't used")
{
    one_.lifecycle_.on_end("one");
    auto const started = restart_balancer({one_.record(), two_.record()});
    REQUIRE(directory_.find(hash_name("one")) != nullptr);
    CHECK_FALSE(directory_.find(hash_name("one"))->load_.accepts_);
    send_packet(true);
    CHECK(one_.flows_.empty());
    CHECK(two_.flows_.size() == 1);
}

TEST_CASE("the relay head round-trips and a truncated one is rejected")
{
    relay_message message;
    message.kind_ = relay_kind::owner_answer;
    message.service_ = 1;
    message.target_ = 2;
    message.version_ = 3;
    message.queried_flows_.push_back(
        {{{4, 5}, {6, 7}}, flow_ownership::not_held});
    message.queried_flows_.push_back(
        {{{8, 9}, {10, 11}}, flow_ownership::held});
    alignas(8) std::array<std::byte, max_relay_head_bytes> buffer{};
    auto const size = encode_relay_head(message, buffer);
    auto const decoded = decode_relay(std::span(buffer).first(size));
    REQUIRE(decoded);
    CHECK(decoded->message_ == message);
    for (std::size_t cut = 0; cut < size; ++cut)
    {
        CHECK_FALSE(decode_relay(std::span(buffer).first(cut)));
    }
}
