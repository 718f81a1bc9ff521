// Tests of what an agent may deny: FLOW broke when an agent took a run's first
// announcement as proof that every packet of the run had passed through its own
// process. The run had taken flows before, through an earlier process of the
// agent.
#include "forward/forward_agent.hpp"
#include "support/announcements.hpp"
#include "support/plain_format.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <unistd.h>
#include <vector>

using namespace daisytrail;
using namespace daisytrail::test;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// A loopback address that no other process uses, so that none takes a port
// between its choice and its use.
asio::ip::address_v4 loopback_of_process()
{
    constexpr std::uint32_t first = 0x7F400000; // 127.64.0.0
    constexpr std::uint32_t process_mask = 0x3FFFFF;
    return asio::ip::address_v4(
        first + (static_cast<std::uint32_t>(getpid()) & process_mask));
}

// Returns different addresses that are free for both protocols.
std::vector<endpoint> unused_addresses(std::size_t count)
{
    asio::io_context io;
    auto const address = loopback_of_process();
    std::vector<udp::socket> probes; // keep their addresses from being chosen
    std::vector<endpoint> result;
    while (result.size() < count)
    {
        auto const& probe = probes.emplace_back(io, udp::endpoint(address, 0));
        auto const port = probe.local_endpoint().port();
        tcp::acceptor listener(io, tcp::v4());
        boost::system::error_code code;
        listener.bind({address, port}, code);
        if (!code)
        {
            result.push_back({address.to_uint(), port});
        }
    }
    return result;
}

// An agent process that has just started, and a balancer that asks it.
struct new_agent_fixture
{
    new_agent_fixture()
        : balancer_(io_, udp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        balancer_.non_blocking(true);
        auto& common = settings_.agent_.common_;
        common.name_ = "one";
        common.failure_domain_ = "a";
        auto const addresses = unused_addresses(6);
        common.control_ = addresses[0];
        common.http_ = addresses[1];
        common.keys_ = {std::string(64, 'a')};
        settings_.agent_.organisation_ = "org";
        settings_.agent_.service_ = "orders";
        settings_.agent_.tunnel_ = addresses[2];
        settings_.backend_ = addresses[3];
        settings_.outbound_ = addresses[4];
        settings_.caller_port_ = addresses[5].port_;
        agent_ = std::make_unique<forward_agent>(io_, settings_, format_);
    }

    // What the agent answers to the question whether a flow is held that this
    // process never saw.
    flow_ownership ownership_of_unseen_flow()
    {
        relay_message question;
        question.kind_ = relay_kind::owner_question;
        question.service_ = hash_name("org/orders");
        question.target_ = hash_name("one");
        question.queried_flows_ = {{{{1, 40'001}, {2, 443}}}};
        std::vector<std::byte> datagram(max_relay_head_bytes);
        datagram.resize(encode_relay_head(question, datagram));
        auto const& to = settings_.agent_.tunnel_;
        balancer_.send_to(
            asio::buffer(datagram),
            udp::endpoint(asio::ip::address_v4(to.address_), to.port_));
        for (int i = 0; i < 100; ++i)
        {
            io_.run_for(2ms);
            io_.restart();
            alignas(8) std::array<std::byte, 2'048> buffer{};
            boost::system::error_code code;
            auto const size = balancer_.receive(asio::buffer(buffer), 0, code);
            auto const decoded =
                code ? std::nullopt
                     : decode_relay(std::span(buffer).first(size));
            if (decoded && decoded->message_.kind_ == relay_kind::owner_answer)
            {
                return decoded->message_.queried_flows_.at(0).ownership_;
            }
        }
        FAIL("no answer");
        return flow_ownership::not_held;
    }

    asio::io_context io_;
    plain_format format_;
    udp::socket balancer_;
    forward_agent_settings settings_;
    std::unique_ptr<forward_agent> agent_;
};

} // namespace

TEST_CASE_FIXTURE(new_agent_fixture,
                  "a new agent process denies no flow when its backend server "
                  "first announces itself")
{
    auto expected = flow_ownership::improbable;
    SUBCASE("as the first run that the process hears of")
    {
        agent_->on_announcement(make_announcement("a", 5'000, 1));
    }
    SUBCASE("after a late announcement of a former run")
    {
        agent_->on_announcement(make_announcement("a", 2'000, 7));
        agent_->on_announcement(make_announcement("b", 5'000, 1));
    }
    SUBCASE("after a late announcement of a former run with the same id")
    {
        agent_->on_announcement(make_announcement("a", 2'000, 7));
        agent_->on_announcement(make_announcement("a", 5'000, 1));
    }
    SUBCASE("after a late announcement of a run that drained")
    {
        agent_->on_announcement(
            make_announcement("a", 2'000, 7, backend_phase::draining));
        agent_->on_announcement(make_announcement("b", 5'000, 1));
    }
    SUBCASE("after a late end of a former run with the same id")
    {
        agent_->on_backend_end("a");
        expected = flow_ownership::undetermined;
    }
    SUBCASE("after a late announcement and a late end of such a run")
    {
        agent_->on_announcement(make_announcement("a", 2'000, 7));
        agent_->on_backend_end("a");
        expected = flow_ownership::undetermined;
    }
    SUBCASE("after the clock went back")
    {
        agent_->on_announcement(make_announcement("a", 9'000, 1));
        agent_->on_announcement(make_announcement("b", 9'001, 1));
    }
    CHECK(ownership_of_unseen_flow() == expected);
}

TEST_CASE_FIXTURE(
    new_agent_fixture,
    "an unseen flow isn't improbable if the run may be older than "
    "the agent")
{
    CHECK(ownership_of_unseen_flow() == flow_ownership::undetermined);
    agent_->on_announcement(make_announcement("a", 5'000, 2));
    CHECK(ownership_of_unseen_flow() == flow_ownership::undetermined);
}

namespace
{

constexpr duration flow_lifetime = 60s;
constexpr duration idle_limit = 15s;

// Backend server runs, agent processes and callers in random order. Callers use
// a flow for flow_lifetime at most and leave it idle for idle_limit at most. An
// announcement may arrive late.
class process_history
{
public:
    explicit process_history(std::uint64_t seed) : random_(seed)
    {
        start_agent();
        start_run();
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            run_agent(std::chrono::milliseconds(pick(1, 4'000)));
            constexpr std::array<void (process_history::*)(), 12> actions{
                &process_history::open_flow,     &process_history::open_flow,
                &process_history::open_flow,     &process_history::use_flow,
                &process_history::use_flow,      &process_history::use_flow,
                &process_history::announce_run,  &process_history::announce_run,
                &process_history::announce_late, &process_history::start_run,
                &process_history::start_agent,   &process_history::pause_agent};
            (this->*actions.at(pick(0, actions.size() - 1)))();
            check();
        }
    }

    int denials() const
    {
        return denials_;
    }

private:
    struct agent_process
    {
        backend_lifecycle lifecycle_{"orders"};
        backend_observer observer_{{.flow_lifetime_ = flow_lifetime}};
    };

    struct held_flow
    {
        flow_packet request_;
        time_point opened_at_{};
        time_point used_at_{};
    };

    std::uint64_t pick(std::uint64_t least, std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(least,
                                                            most)(random_);
    }

    void run_agent(duration time)
    {
        for (auto const end = now_ + time; now_ < end;)
        {
            now_ += 50ms;
            agent_->observer_.tick(now_);
        }
    }

    // The packets that callers send meanwhile are lost.
    void pause_agent()
    {
        now_ += std::chrono::milliseconds(pick(1'100, 20'000));
        for (auto& each : held_)
        {
            each.used_at_ = now_;
        }
        agent_->observer_.tick(now_);
    }

    void start_agent()
    {
        agent_ = std::make_unique<agent_process>();
        agent_->observer_.tick(now_);
    }

    // The clock jumps, and the id is one of two.
    void start_run()
    {
        held_.clear();
        clock_ += pick(0, 20'000);
        clock_ -= 10'000;
        run_ = make_announcement(pick(0, 1) == 0 ? "a" : "b", clock_, 0);
    }

    void announce_run()
    {
        ++run_.sequence_;
        if (pick(0, 3) == 0)
        {
            late_.push_back(run_);
            return;
        }
        hear(run_);
    }

    void announce_late()
    {
        if (late_.empty())
        {
            return;
        }
        auto const at = late_.begin() +
                        static_cast<std::ptrdiff_t>(pick(0, late_.size() - 1));
        auto const value = *at;
        late_.erase(at);
        hear(value);
    }

    void hear(backend_announcement const& value)
    {
        auto const before = agent_->lifecycle_.run_count();
        agent_->lifecycle_.on_announcement(value, now_);
        if (agent_->lifecycle_.run_count() != before)
        {
            agent_->observer_.on_new_run();
        }
    }

    // The run takes a flow that the agent's process passes.
    void open_flow()
    {
        flow_packet syn;
        syn.source_ = {1, ++port_};
        syn.destination_ = {2, 443};
        syn.syn_ = true;
        agent_->observer_.on_caller_packet(syn, now_);
        flow_packet answer;
        answer.source_ = syn.destination_;
        answer.destination_ = syn.source_;
        answer.syn_ = true;
        answer.ack_ = true;
        agent_->observer_.on_backend_packet(answer, now_);
        auto request = syn;
        request.syn_ = false;
        request.ack_ = true;
        request.acknowledgement_ = 1;
        request.payload_bytes_ = 1;
        agent_->observer_.on_caller_packet(request, now_);
        held_.push_back({request, now_, now_});
    }

    // A caller uses one of its flows.
    void use_flow()
    {
        if (held_.empty())
        {
            return;
        }
        auto& used = held_.at(pick(0, held_.size() - 1));
        used.used_at_ = now_;
        used.request_.sequence_ += 1;
        agent_->observer_.on_caller_packet(used.request_, now_);
    }

    // A flow that the living run holds and that is in use is never denied.
    void check()
    {
        std::erase_if(held_,
                      [this](held_flow const& each)
                      {
                          return now_ >= each.opened_at_ + flow_lifetime ||
                                 now_ >= each.used_at_ + idle_limit;
                      });
        auto const& observer = agent_->observer_;
        for (auto const& each : held_)
        {
            auto const key = each.request_.flow_from_caller();
            CHECK(observer.ownership(key) != flow_ownership::not_held);
            CHECK(observer.ownership(key, idle_limit, now_) !=
                  flow_ownership::not_held);
        }
        flow_key const unknown{{9, 9}, {2, 443}};
        denials_ += observer.ownership(unknown, idle_limit, now_) ==
                            flow_ownership::not_held
                        ? 1
                        : 0;
    }

    std::mt19937_64 random_;
    time_point now_{1h};
    std::uint64_t clock_ = 1'800'000'000'000;
    std::unique_ptr<agent_process> agent_;
    backend_announcement run_; // the living one, as last announced
    std::vector<backend_announcement> late_;
    std::vector<held_flow> held_; // by the living run
    std::uint16_t port_ = 0;
    int denials_ = 0;
};

} // namespace

TEST_CASE("an agent denies a flow only if the living run can't hold it, in any "
          "order of starts, packets and announcements")
{
    int denials = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        process_history history(seed);
        history.play(120);
        denials += history.denials();
    }
    // The denials are of use: some agent processes live long enough.
    CHECK(denials > 0);
}

// Guards against an agent that can deny nothing for the whole lifetime of a
// flow: each search for a flow that nobody holds then offers a packet to every
// backend server.
TEST_CASE("an agent denies a flow that has been idle for longer than allowed")
{
    time_point now{1h};
    backend_observer observer;
    flow_key const unknown{{9, 9}, {2, 443}};
    auto const ownership = [&]
    {
        return observer.ownership(unknown, idle_limit, now);
    };
    auto const run = [&](duration time)
    {
        for (auto const end = now + time; now < end;)
        {
            now += 50ms;
            observer.tick(now);
        }
    };
    run(17s);
    CHECK(ownership() == flow_ownership::undetermined);
    run(1s);
    CHECK(ownership() == flow_ownership::not_held);
    CHECK(observer.ownership(unknown, 0s, now) == flow_ownership::undetermined);
    SUBCASE("unless it was paused since")
    {
        now += 1'100ms;
        observer.tick(now);
        CHECK(ownership() == flow_ownership::undetermined);
    }
    SUBCASE("unless it was cut off since")
    {
        observer.on_interruption(now);
        CHECK(ownership() == flow_ownership::undetermined);
    }
    run(18s);
    CHECK(ownership() == flow_ownership::not_held);
}
