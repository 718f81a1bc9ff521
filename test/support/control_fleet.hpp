// Simulated fleet for tests of membership in virtual time. It delivers the
// messages of balancers and agents with loss, latency, partitions and pauses;
// all random choices derive from one seed.
#pragma once

#include "rpc/control_messages.hpp"

#include <daisytrail/byte_budget.hpp>
#include <daisytrail/membership.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace daisytrail::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline target_record make_member(std::string const& name, service_id service,
                                 std::uint16_t port)
{
    target_record record;
    record.name_ = name;
    record.target_ = hash_name(name);
    record.version_ = {1, 0};
    record.service_ = service;
    record.control_ = {0x7F000001, port};
    record.weight_ = 1;
    record.state_ = member_state::ready;
    return record;
}

// One process of the fleet: a balancer or an agent.
struct process
{
    std::unique_ptr<balancer_membership> balancer_;
    std::unique_ptr<agent_announcer> agent_;
    bool is_alive_ = true;
    bool is_paused_ = false;
    // Time between two turns of a starved process. It reads its datagrams and
    // runs its timers only in its turns; 0: datagrams are read on arrival.
    duration turn_interval_{};
    time_point next_turn_at_;
    std::vector<std::function<void()>> unread_;
    int partition_ = 0; // only processes with equal values reach each other
    std::optional<byte_budget> budget_;                  // none: no limit
    std::uint64_t dropped_over_budget_ = 0;              // datagrams
    std::map<std::uint64_t, target_record> member_view_; // by member_action
    std::map<std::string, template_version> templates_;
    std::map<report_kind, int> reports_;
    std::optional<time_point> view_confirmed_as_of_; // start of the round
    time_point view_confirmed_at_;                   // end of the round

    target_record const& self() const
    {
        return balancer_ ? balancer_->self() : agent_->self();
    }
};

class control_fleet
{
public:
    explicit control_fleet(std::uint64_t seed, double loss = 0)
        : random_(seed), loss_(loss)
    {
    }

    process& add_balancer(std::string const& name)
    {
        auto& added = add(name);
        added.balancer_ = std::make_unique<balancer_membership>(
            make_member(name, balancer_service, last_port_), seeds_,
            [](std::string_view) { return std::nullopt; }, random_());
        if (seeds_.size() < 3)
        {
            seeds_.push_back(added.self().control_);
        }
        return added;
    }

    // Limits the control bytes per second of processes that are added later.
    void limit_control_bytes(std::uint32_t bytes_per_second)
    {
        bytes_per_second_ = bytes_per_second;
    }

    // Replaces a balancer by a new process with the same name and address and
    // without any records.
    void restart_balancer(std::string const& name)
    {
        auto& held = at(name);
        auto record = held.self();
        record.version_ = {record.version_.incarnation_ + 1'000, 0};
        held.balancer_ = std::make_unique<balancer_membership>(
            record, seeds_, [](std::string_view) { return std::nullopt; },
            random_());
        held.templates_.clear();
    }

    // With an empty organisation the agent receives no members and no template.
    process& add_agent(std::string const& name, service_id service,
                       std::string const& organisation = "org")
    {
        auto& added = add(name);
        added.agent_ = std::make_unique<agent_announcer>(
            make_member(name, service, last_port_), organisation, seeds_,
            [](std::string_view) { return std::nullopt; }, random_());
        apply_actions(added, added.agent_->publish(
                                 {4, 100, 1, member_state::ready}, now_));
        return added;
    }

    process& at(std::string const& name)
    {
        return *processes_.at(ports_.at(name));
    }

    void run_for(duration time)
    {
        auto const end = now_ + time;
        while (now_ < end)
        {
            deliver_until(now_ + tick_interval);
            now_ += tick_interval;
            for (auto& [port, each] : processes_)
            {
                if (each->is_alive_ && !each->is_paused_)
                {
                    run_turn(*each);
                }
            }
        }
    }

    // Runs until `holds` returns true or the limit has elapsed. Returns the
    // elapsed time.
    duration run_until(std::function<bool()> const& holds, duration limit)
    {
        auto const start = now_;
        while (!holds() && now_ < start + limit)
        {
            run_for(tick_interval);
        }
        return now_ - start;
    }

    void offer(process& to, template_version at, std::string const& value)
    {
        apply_actions(to, to.balancer_->offer("org", at, value, now_));
    }

    void confirm_view(process& balancer)
    {
        apply_actions(balancer, balancer.balancer_->confirm_view(now_));
    }

    void publish(process& agent, member_state state)
    {
        apply_actions(agent, agent.agent_->publish({4, 100, 1, state}, now_));
    }

    // Returns true if every running balancer holds this state of the member.
    bool all_balancers_hold(std::string const& name, member_state state)
    {
        auto const id = hash_name(name);
        return all_of(
            [&](process& each)
            {
                if (!each.balancer_ || each.self().target_ == id)
                {
                    return true;
                }
                auto const* held = each.balancer_->members().find(id);
                return held != nullptr && held->state_ == state;
            });
    }

    bool all_of(std::function<bool(process&)> const& holds)
    {
        for (auto& [port, each] : processes_)
        {
            if (each->is_alive_ && !each->is_paused_ && !holds(*each))
            {
                return false;
            }
        }
        return true;
    }

    int reports(report_kind kind)
    {
        int sum = 0;
        for (auto& [port, each] : processes_)
        {
            sum += each->reports_[kind];
        }
        return sum;
    }

    // Datagrams dropped over the byte budgets of all processes.
    std::uint64_t dropped_over_budget() const
    {
        std::uint64_t sum = 0;
        for (auto const& [port, each] : processes_)
        {
            sum += each->dropped_over_budget_;
        }
        return sum;
    }

    std::uint64_t messages() const
    {
        return messages_;
    }

    time_point now() const
    {
        return now_;
    }

private:
    struct datagram
    {
        time_point delivered_at_;
        std::uint64_t send_order_ = 0;
        std::uint16_t from_ = 0;
        std::uint16_t to_ = 0;
        control_message message_;

        bool operator<(datagram const& other) const
        {
            return std::pair(delivered_at_, send_order_) >
                   std::pair(other.delivered_at_, other.send_order_);
        }
    };

    void run_turn(process& each)
    {
        if (now_ < each.next_turn_at_)
        {
            return;
        }
        each.next_turn_at_ = now_ + each.turn_interval_;
        for (auto const& read : std::exchange(each.unread_, {}))
        {
            read();
        }
        apply_actions(each, each.balancer_ ? each.balancer_->tick(now_)
                                           : each.agent_->tick(now_));
    }

    process& add(std::string const& name)
    {
        ports_[name] = ++last_port_;
        auto& slot = processes_[last_port_];
        slot = std::make_unique<process>();
        if (bytes_per_second_ > 0)
        {
            slot->budget_.emplace(bytes_per_second_);
        }
        return *slot;
    }

    void apply_actions(process& from,
                       std::vector<control_action> const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* send = std::get_if<send_action>(&action))
            {
                send_datagram(from, *send);
            }
            else if (auto const* member = std::get_if<member_action>(&action))
            {
                from.member_view_[member->record_.target_] = member->record_;
            }
            else if (auto const* value = std::get_if<template_action>(&action))
            {
                from.templates_[value->organisation_] = value->version_;
            }
            else if (auto const* report = std::get_if<report_action>(&action))
            {
                ++from.reports_[report->kind_];
            }
            else if (auto const* view =
                         std::get_if<view_confirmed_action>(&action))
            {
                from.view_confirmed_as_of_ = view->requested_at_;
                from.view_confirmed_at_ = now_;
            }
        }
    }

    void send_datagram(process& from, send_action const& send)
    {
        ++messages_;
        if (from.budget_ && !take_from_budget(from, send.message_))
        {
            ++from.dropped_over_budget_;
            return;
        }
        if (std::bernoulli_distribution(loss_)(random_))
        {
            return;
        }
        std::uniform_int_distribution<int> latency(500, 3'000);
        queue_.push({now_ + std::chrono::microseconds(latency(random_)),
                     ++send_order_, from.self().control_.port_, send.to_.port_,
                     send.message_});
    }

    bool take_from_budget(process& from, control_message const& message)
    {
        auto const bytes = encode_control(message).size() + frame_overhead;
        return from.budget_->consume(bytes, send_class_of(message), now_);
    }

    void deliver_until(time_point end)
    {
        while (!queue_.empty() && queue_.top().delivered_at_ <= end)
        {
            auto const next = queue_.top();
            queue_.pop();
            now_ = std::max(now_, next.delivered_at_);
            auto const to = processes_.find(next.to_);
            auto& from = *processes_.at(next.from_);
            if (to == processes_.end() || !to->second->is_alive_ ||
                to->second->is_paused_ ||
                to->second->partition_ != from.partition_)
            {
                continue;
            }
            auto& peer = *to->second;
            endpoint const source = from.self().control_;
            auto const sender = from.self().target_;
            auto read = [this, &peer, source, sender, next]
            {
                apply_actions(
                    peer, peer.balancer_
                              ? peer.balancer_->receive(now_, source, sender,
                                                        next.message_)
                              : peer.agent_->receive(now_, source, sender,
                                                     next.message_));
            };
            if (peer.turn_interval_ > duration{})
            {
                peer.unread_.emplace_back(std::move(read));
                continue;
            }
            read();
        }
        // Back to the start of the tick; the caller advances the time.
        now_ = end - tick_interval;
    }

    static constexpr milliseconds tick_interval{50};
    // Bytes of the IP, UDP and authenticator headers.
    static constexpr std::size_t frame_overhead = 68;

    std::mt19937_64 random_;
    double loss_;
    time_point now_{seconds(1)};
    std::uint32_t bytes_per_second_ = 0; // 0: no limit
    std::uint16_t last_port_ = 0;
    std::uint64_t send_order_ = 0;
    std::uint64_t messages_ = 0;
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::uint16_t, std::unique_ptr<process>> processes_;
    std::vector<endpoint> seeds_;
    std::priority_queue<datagram> queue_;
};

// Adds balancers b0, b1, ... and agents t0, t1, ... of one service, and runs
// the fleet for 6 s, in which they discover each other.
inline void build_fleet(control_fleet& fleet, int balancers, int agents,
                        std::string const& organisation = "org")
{
    for (int i = 0; i < balancers; ++i)
    {
        fleet.add_balancer("b" + std::to_string(i));
    }
    for (int i = 0; i < agents; ++i)
    {
        fleet.add_agent("t" + std::to_string(i), 7, organisation);
    }
    fleet.run_for(seconds(6));
}

} // namespace daisytrail::test
