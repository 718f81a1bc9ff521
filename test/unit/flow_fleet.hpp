// Simulates the agents of a service in virtual time, connected by a network
// that can lose, duplicate and reorder the datagrams between the agents.
#pragma once

#include <daisytrail/flows.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisytrail::test
{

using records = std::vector<target_record>;

inline target_record make_record(std::uint32_t number,
                                 member_state state = member_state::ready)
{
    target_record record;
    record.name_ = "target-" + std::to_string(number);
    record.target_ = hash_name(record.name_);
    record.version_.incarnation_ = 1'000;
    record.tunnel_ = {0x7F000001, static_cast<std::uint16_t>(number)};
    record.weight_ = 16;
    record.state_ = state;
    return record;
}

inline records make_records(std::uint32_t count)
{
    records result;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        result.push_back(make_record(i));
    }
    return result;
}

inline packet_info make_packet(std::uint16_t port, std::uint8_t flags)
{
    packet_info info;
    info.flow_ = {{0x0A000001, port}, {0x0A640001, 80}};
    info.flags_ = flags;
    return info;
}

inline packet_info make_syn(std::uint16_t port)
{
    return make_packet(port, tcp_flags::syn);
}

inline packet_info make_ack(std::uint16_t port)
{
    return make_packet(port, tcp_flags::ack);
}

// What finally happened to a packet, and at which target.
struct outcome
{
    flow_verdict verdict_ = flow_verdict::drop;
    drop_reason drop_ = drop_reason::none;
    target_id at_ = 0;
    unsigned hops_ = 0;

    bool operator==(outcome const&) const = default;
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed = 1) : random_(seed) {}

    // Starts or restarts an agent process with the given view.
    flow_table& start(target_record const& record, records const& view,
                      flow_options options = {})
    {
        options.self_ = record.target_;
        options.start_incarnation_ = record.version_.incarnation_;
        auto& table = agents_[record.target_];
        table = std::make_unique<flow_table>(options);
        table->set_view(view, now_);
        return *table;
    }

    void start_all(records const& view, flow_options const& options = {})
    {
        for (auto const& record : view)
        {
            start(record, view, options);
        }
    }

    void kill(target_id target)
    {
        agents_.erase(target);
    }

    void set_view(records const& view)
    {
        for (auto& [id, table] : agents_)
        {
            table->set_view(view, now_);
        }
    }

    flow_table& at(target_id target)
    {
        return *agents_.at(target);
    }

    // Sends a packet in the way of a balancer with this view.
    outcome send(records const& view, packet_info const& info)
    {
        tunnel_header header;
        header.ranked_ = service_table(view).pick(hash_flow(info.flow_));
        if (info.opens_flow())
        {
            while (header.position_ + 1 < header.ranked_.size_ &&
                   !takes_new_work(
                       header.ranked_.candidates_[header.position_].state_))
            {
                ++header.position_;
            }
        }
        header.target_ = header.ranked_.candidates_[header.position_].target_;
        return follow_hops(header, info);
    }

    // Follows a packet from agent to agent until one of them doesn't forward
    // it. A packet to a process that isn't running is lost.
    outcome follow_hops(tunnel_header header, packet_info const& info)
    {
        for (;;)
        {
            auto const agent = agents_.find(header.target_);
            if (agent == agents_.end())
            {
                return {flow_verdict::drop, drop_reason::none, header.target_,
                        header.hops_};
            }
            auto const decision = agent->second->decide(header, info, now_);
            if (decision.verdict_ != flow_verdict::forward)
            {
                return {decision.verdict_, decision.drop_, agent->first,
                        header.hops_};
            }
            header = decision.header_;
        }
    }

    // Opens a flow and completes its handshake; returns the owner, or 0.
    target_id open(records const& view, std::uint16_t port)
    {
        auto const result = send(view, make_syn(port));
        if (result.verdict_ != flow_verdict::deliver)
        {
            return 0;
        }
        at(result.at_).on_established(make_syn(port).flow_, now_);
        return result.at_;
    }

    // Advances the time; the agents tick and exchange datagrams.
    void run(std::chrono::milliseconds time)
    {
        constexpr auto step = std::chrono::milliseconds(20);
        for (auto const end = now_ + time; now_ < end;)
        {
            now_ += step;
            tick();
        }
    }

    time_point now() const
    {
        return now_;
    }

    double loss_ = 0;        // probability for each datagram
    double duplication_ = 0; // probability for each datagram
    bool reorder_ = false;
    std::vector<flow_key> probes_; // all probes so far
    std::size_t batches_ = 0;
    std::size_t changes_ = 0;

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    void tick()
    {
        std::vector<flow_batch> batches;
        for (auto& [id, table] : agents_)
        {
            auto output = table->tick(now_);
            probes_.insert(probes_.end(), output.probes_.begin(),
                           output.probes_.end());
            for (auto const& report : output.reports_)
            {
                auto const to = agents_.find(report.to_);
                if (to != agents_.end() && !chance(loss_))
                {
                    to->second->on_acknowledgement(report, now_);
                }
            }
            for (auto& entry : output.batches_)
            {
                changes_ += entry.batch_.changes_.size();
                batches.push_back(std::move(entry.batch_));
            }
        }
        batches_ += batches.size();
        if (reorder_)
        {
            std::shuffle(batches.begin(), batches.end(), random_);
        }
        for (auto const& batch : batches)
        {
            deliver(batch);
        }
    }

    void deliver(flow_batch const& batch)
    {
        int const copies = chance(duplication_) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            auto const to = agents_.find(batch.to_);
            if (chance(loss_) || to == agents_.end())
            {
                continue;
            }
            auto const answer = to->second->on_batch(batch, now_);
            auto const from = agents_.find(batch.from_);
            if (!chance(loss_) && from != agents_.end())
            {
                from->second->on_acknowledgement(answer, now_);
            }
        }
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::map<target_id, std::unique_ptr<flow_table>> agents_;
};

// Time after which the agents have received the flows of their peers.
inline constexpr std::chrono::milliseconds sync_time{600};

inline std::uint16_t port_of(int number)
{
    return static_cast<std::uint16_t>(10'000 + number);
}

inline void set_state(records& view, target_id target, member_state state)
{
    for (auto& record : view)
    {
        if (record.target_ == target)
        {
            record.state_ = state;
            ++record.version_.sequence_;
        }
    }
}

// Opens flows through a balancer with the view; returns the owner by port.
inline std::map<std::uint16_t, target_id>
open_flows(fleet& agents, records const& view, int count)
{
    std::map<std::uint16_t, target_id> owners;
    for (int i = 0; i < count; ++i)
    {
        owners[port_of(i)] = agents.open(view, port_of(i));
    }
    return owners;
}

inline int count_broken(fleet& agents, records const& view,
                        std::map<std::uint16_t, target_id> const& owners)
{
    int broken = 0;
    for (auto const& [port, owner] : owners)
    {
        auto const result = agents.send(view, make_ack(port));
        broken +=
            result.verdict_ != flow_verdict::deliver || result.at_ != owner ? 1
                                                                            : 0;
    }
    return broken;
}

// Agents that know each other, with open flows of which the peers that have to
// know them were notified.
struct synchronized_fleet
{
    synchronized_fleet(int agents, int flows) : view_(make_records(agents))
    {
        agents_.start_all(view_);
        agents_.run(sync_time);
        owners_ = open_flows(agents_, view_, flows);
        agents_.run(sync_time);
    }

    fleet agents_;
    records view_;
    std::map<std::uint16_t, target_id> owners_;
};

} // namespace daisytrail::test
