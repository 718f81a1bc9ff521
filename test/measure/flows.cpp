// Measures flow ownership: time and memory a flow, datagrams a change of the
// view, and lwIP's walk over open connections and TIME-WAIT.
#include "agent/flow_messages.hpp"
#include "lwip/tcp_stack.hpp"
#include "rpc/authenticator.hpp"

#include <daisytrail/flows.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <random>

namespace
{

using namespace daisytrail;

constexpr int flows_per_target = 2'000;
constexpr std::size_t udp_ip_header_bytes = 28;

target_record make_record(std::uint32_t number)
{
    target_record record;
    record.name_ = "target-" + std::to_string(number);
    record.target_ = hash_name(record.name_);
    record.version_.incarnation_ = 1;
    record.tunnel_ = {0x7F000001, static_cast<std::uint16_t>(number)};
    record.weight_ = 16;
    record.state_ = member_state::ready;
    return record;
}

std::vector<target_record> make_records(std::uint32_t count)
{
    std::vector<target_record> records;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        records.push_back(make_record(i));
    }
    return records;
}

packet_info make_packet(int number, std::uint8_t flags)
{
    packet_info info;
    info.flow_.caller_ = {0x0A000000U + static_cast<ipv4>(number / 50'000),
                          static_cast<std::uint16_t>(10'000 + number % 50'000)};
    info.flow_.vip_ = {0x0A640001, 80};
    info.flags_ = flags;
    return info;
}

double seconds_of(std::function<void()> const& work)
{
    auto const start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

// All agents of a service, with datagrams that arrive at once.
class service
{
public:
    explicit service(std::vector<target_record> const& records)
    {
        for (auto const& record : records)
        {
            start(record, records);
        }
        settle();
    }

    void start(target_record const& record,
               std::vector<target_record> const& records)
    {
        flow_options options;
        options.self_ = record.target_;
        options.start_incarnation_ = 1;
        options.max_open_flows_ = 1'000'000;
        options.max_half_open_flows_ = 1'000'000;
        agents_[record.target_] = std::make_unique<flow_table>(options);
        agents_[record.target_]->set_view(records, now_);
    }

    void set_view(std::vector<target_record> const& records)
    {
        for (auto& [id, agent] : agents_)
        {
            agent->set_view(records, now_);
        }
    }

    target_id open(service_table const& table, int number)
    {
        auto const info = make_packet(number, tcp_flags::syn);
        tunnel_header header;
        header.ranked_ = table.pick(hash_flow(info.flow_));
        auto const owner = header.ranked_.candidates_[0].target_;
        agents_[owner]->decide(header, info, now_);
        agents_[owner]->on_established(info.flow_, now_);
        return owner;
    }

    // Runs until nothing is under way; counts sealed datagrams.
    void settle()
    {
        constexpr int longest_gathering = 30; // ticks
        int idle_ticks = 0;
        for (int tick = 0; tick < 10'000; ++tick)
        {
            now_ += std::chrono::milliseconds(20);
            bool idle = true;
            for (auto& [id, agent] : agents_)
            {
                for (auto& entry : agent->tick(now_).batches_)
                {
                    idle = false;
                    count(entry.batch_);
                    auto const answer =
                        agents_[entry.batch_.to_]->on_batch(entry.batch_, now_);
                    count(answer);
                    agent->on_acknowledgement(answer, now_);
                }
            }
            idle_ticks = idle ? idle_ticks + 1 : 0;
            if (idle_ticks > longest_gathering)
            {
                return;
            }
        }
    }

    void count(flow_message const& message)
    {
        ++datagrams_;
        bytes_ += encode_flow_message(message).size() + seal_bytes +
                  flow_message_prefix_bytes + udp_ip_header_bytes;
    }

    std::map<target_id, std::unique_ptr<flow_table>> agents_;
    time_point now_{std::chrono::hours(1)};
    std::size_t datagrams_ = 0;
    std::size_t bytes_ = 0;
};

void measure_memory()
{
    constexpr int count = 200'000;
    std::vector<target_record> const records = make_records(7);
    service_table const table(records);
    service agents(records);
    auto const before = heap_bytes();
    for (int i = 0; i < count; ++i)
    {
        agents.open(table, i);
    }
    agents.settle();
    std::printf("memory a flow, owner and informed peer together: %.0f bytes\n",
                static_cast<double>(heap_bytes() - before) / count);
    std::printf("flow messages a new flow, %d opened at once: %.1f bytes\n",
                count, static_cast<double>(agents.bytes_) / count);
}

void measure_decisions()
{
    auto const records = make_records(7);
    service_table const table(records);
    service agents(records);
    std::vector<std::pair<packet_info, target_id>> packets;
    for (int i = 0; i < flows_per_target * 7; ++i)
    {
        auto const owner = agents.open(table, i);
        packets.emplace_back(make_packet(i, tcp_flags::ack), owner);
    }
    agents.settle();
    std::mt19937_64 random(1);
    std::shuffle(packets.begin(), packets.end(), random);
    tunnel_header header;
    header.ranked_ = table.pick(1);
    auto const measure = [&](char const* name, bool owned)
    {
        std::size_t wrong = 0;
        constexpr int rounds = 20;
        auto const seconds = seconds_of(
            [&]
            {
                for (int round = 0; round < rounds; ++round)
                {
                    for (auto const& [info, owner] : packets)
                    {
                        auto unknown = info;
                        unknown.flow_.caller_.address_ += owned ? 0 : 1'000;
                        auto const decision = agents.agents_[owner]->decide(
                            header, unknown, agents.now_);
                        wrong += (decision.verdict_ == flow_verdict::deliver) !=
                                 owned;
                    }
                }
            });
        std::printf("decision on a packet of %s: %.0f ns, %zu wrong\n", name,
                    seconds * 1e9 /
                        static_cast<double>(packets.size() * rounds),
                    wrong);
    };
    measure("an own flow", true);
    measure("an unknown flow", false);
}

void measure_change(std::uint32_t targets)
{
    auto records = make_records(targets);
    service_table const table(records);
    service agents(records);
    int const flows = flows_per_target * static_cast<int>(targets);
    for (int i = 0; i < flows; ++i)
    {
        agents.open(table, i);
    }
    agents.settle();
    agents.bytes_ = 0;
    agents.datagrams_ = 0;
    records.push_back(make_record(targets + 1));
    agents.start(records.back(), records);
    auto& first = *agents.agents_.at(records.front().target_);
    auto const seconds =
        seconds_of([&] { first.set_view(records, agents.now_); });
    agents.set_view(records);
    agents.settle();
    auto const joined = agents.bytes_;
    // The former heads are told until balancers have the new view.
    agents.now_ += std::chrono::seconds(11);
    agents.settle();
    std::printf("join to %u targets of %d flows: %.0f us at an agent, "
                "%.1f KB of flow messages a target (%.1f KB within the first "
                "second), %zu datagrams in all\n",
                targets, flows_per_target, seconds * 1e6,
                static_cast<double>(agents.bytes_) / 1e3 / targets,
                static_cast<double>(joined) / 1e3 / targets, agents.datagrams_);
}

// Handmade callers of a listener on one stack.
class callers
{
public:
    callers()
        : stack_(io_, tunnel_mtu_bytes,
                 [this](std::span<std::byte const> packet)
                 { answer_ = parse_packet(packet).info_; })
    {
        stack_.listen(vip_, [this](std::shared_ptr<tcp_flow> flow)
                      { accepted_.push_back(std::move(flow)); });
    }

    static flow_key key(int number)
    {
        return make_packet(number, 0).flow_;
    }

    void send(int number, std::uint8_t flags, std::uint32_t sequence,
              std::uint32_t acknowledgement)
    {
        auto const at = key(number);
        std::array<std::byte, 40> packet{};
        write_segment(packet, {at.vip_, at.caller_}, sequence, acknowledgement,
                      flags);
        stack_.input(packet);
    }

    // Returns the next sequence number of the listener's side.
    std::uint32_t open(int number)
    {
        send(number, tcp_flags::syn, 0, 0);
        auto const next = answer_.sequence_ + 1;
        send(number, tcp_flags::ack, 1, next);
        return next;
    }

    // The agent closes first, so that the flow ends in TIME-WAIT.
    void open_and_close(int number)
    {
        auto const next = open(number);
        accepted_.back()->shutdown();
        send(number, tcp_flags::fin | tcp_flags::ack, 1, next + 1);
        accepted_.clear();
    }

    // Seconds for one bare ACK of an open flow.
    double acknowledge(int flows)
    {
        constexpr int count = 50'000;
        std::mt19937_64 random(1);
        return seconds_of(
                   [&]
                   {
                       for (int i = 0; i < count; ++i)
                       {
                           auto const number = static_cast<int>(
                               random() % static_cast<unsigned>(flows));
                           send(number, tcp_flags::ack, 1, 0);
                       }
                   }) /
               count;
    }

    double open_and_abort(int number)
    {
        auto const seconds = seconds_of([&] { open(number); });
        accepted_.back()->abort();
        accepted_.pop_back();
        return seconds;
    }

    endpoint const vip_ = make_packet(0, 0).flow_.vip_;
    boost::asio::io_context io_;
    packet_info answer_; // the last packet sent
    tcp_stack stack_;
    std::vector<std::shared_ptr<tcp_flow>> accepted_;
};

void measure_connection_walk()
{
    callers all;
    int opened = 0;
    for (int const flows : {1, 500, 1'000, 2'000, 4'000})
    {
        auto const before = heap_bytes();
        int const added = flows - opened;
        for (; opened < flows; ++opened)
        {
            all.open(opened);
        }
        std::printf("lwIP, %d open flows: %.2f us a segment, %.0f bytes a "
                    "flow\n",
                    flows, all.acknowledge(flows) * 1e6,
                    static_cast<double>(heap_bytes() - before) / added);
    }
    for (auto const& flow : all.accepted_)
    {
        flow->abort();
    }
}

void measure_time_wait()
{
    constexpr int samples = 500;
    callers all;
    int number = 0;
    auto const report = [&all](char const* text)
    {
        double seconds = 0;
        for (int i = 0; i < samples; ++i)
        {
            seconds += all.open_and_abort(100'000 + i);
        }
        std::printf("lwIP, %s in TIME-WAIT: %.2f us a handshake\n", text,
                    seconds * 1e6 / samples);
    };
    for (int const waiting : {0, 1'000, 5'000, 20'000})
    {
        for (; number < waiting; ++number)
        {
            all.open_and_close(number);
        }
        report(std::to_string(waiting).c_str());
    }
    all.stack_.trim_time_wait(256);
    report("the newest 256 kept");
}

} // namespace

int main()
{
    measure_memory();
    measure_decisions();
    for (std::uint32_t const targets : {3U, 7U, 14U, 28U})
    {
        measure_change(targets);
    }
    measure_connection_walk();
    measure_time_wait();
    return 0;
}
