// Message pump for tests of membership on virtual time: delivers what the
// cores send with loss, latency, cuts and pauses, all from a seed.
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

// One process of the fleet.
struct process
{
    std::unique_ptr<balancer_membership> balancer_;
    std::unique_ptr<agent_announcer> agent_;
    bool alive_ = true;
    bool paused_ = false;
    // Of a starved process: time between its turns, at which it reads what has
    // come and its timers run; 0: at once.
    duration turn_{};
    time_point next_turn_;
    std::vector<std::function<void()>> unread_;
    int side_ = 0; // of a partition; sides don't hear each other
    std::optional<byte_budget> budget_; // none: it may send without bound
    std::uint64_t over_budget_ = 0;     // datagrams that were dropped
    std::map<std::uint64_t, target_record> view_; // from member actions
    std::map<std::string, revision> templates_;
    std::map<report_kind, int> reports_;
    std::optional<time_point> confirmed_; // view, as of this time
    time_point confirmed_at_;             // when it was

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

    // Processes that are added from now on may send this much for control.
    void limit_bytes(std::uint32_t bytes_per_second)
    {
        bytes_per_second_ = bytes_per_second;
    }

    // A new process under the same name and address that holds nothing.
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

    // With an empty organisation the agent follows nothing.
    process& add_agent(std::string const& name, service_id service,
                       std::string const& organisation = "org")
    {
        auto& added = add(name);
        added.agent_ = std::make_unique<agent_announcer>(
            make_member(name, service, last_port_), organisation, seeds_,
            [](std::string_view) { return std::nullopt; }, random_());
        run(added,
            added.agent_->publish({4, 100, 1, member_state::ready}, now_));
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
                if (each->alive_ && !each->paused_)
                {
                    take_turn(*each);
                }
            }
        }
    }

    // Runs until `holds` or the limit; returns the time that it took.
    duration run_until(std::function<bool()> const& holds, duration limit)
    {
        auto const start = now_;
        while (!holds() && now_ < start + limit)
        {
            run_for(tick_interval);
        }
        return now_ - start;
    }

    void offer(process& to, revision at, std::string const& value)
    {
        run(to, to.balancer_->offer("org", at, value, now_));
    }

    void confirm_view(process& balancer)
    {
        run(balancer, balancer.balancer_->confirm_view(now_));
    }

    void publish(process& agent, member_state state)
    {
        run(agent, agent.agent_->publish({4, 100, 1, state}, now_));
    }

    // True if every live balancer (and peer agents) hold this state.
    bool all_see(std::string const& name, member_state state)
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
            if (each->alive_ && !each->paused_ && !holds(*each))
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

    // Datagrams of live processes that their byte budgets dropped.
    std::uint64_t over_budget() const
    {
        std::uint64_t sum = 0;
        for (auto const& [port, each] : processes_)
        {
            sum += each->over_budget_;
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
        time_point at_;
        std::uint64_t order_ = 0;
        std::uint16_t from_ = 0;
        std::uint16_t to_ = 0;
        control_message message_;

        bool operator<(datagram const& other) const
        {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    void take_turn(process& each)
    {
        if (now_ < each.next_turn_)
        {
            return;
        }
        each.next_turn_ = now_ + each.turn_;
        for (auto const& read : std::exchange(each.unread_, {}))
        {
            read();
        }
        run(each, each.balancer_ ? each.balancer_->tick(now_)
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

    void run(process& from, std::vector<control_action> const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* send = std::get_if<send_action>(&action))
            {
                post(from, *send);
            }
            else if (auto const* member = std::get_if<member_action>(&action))
            {
                from.view_[member->record_.target_] = member->record_;
            }
            else if (auto const* value = std::get_if<template_action>(&action))
            {
                from.templates_[value->organisation_] = value->revision_;
            }
            else if (auto const* report = std::get_if<report_action>(&action))
            {
                ++from.reports_[report->kind_];
            }
            else if (auto const* view =
                         std::get_if<view_confirmed_action>(&action))
            {
                from.confirmed_ = view->requested_at_;
                from.confirmed_at_ = now_;
            }
        }
    }

    void post(process& from, send_action const& send)
    {
        ++messages_;
        if (from.budget_ && !take_bytes(from, send.message_))
        {
            ++from.over_budget_;
            return;
        }
        if (std::bernoulli_distribution(loss_)(random_))
        {
            return;
        }
        std::uniform_int_distribution<int> latency(500, 3'000);
        queue_.push({now_ + std::chrono::microseconds(latency(random_)),
                     ++order_, from.self().control_.port_, send.to_.port_,
                     send.message_});
    }

    bool take_bytes(process& from, control_message const& message)
    {
        auto const bytes = encode_control(message).size() + frame_bytes;
        return from.budget_->consume(bytes, send_class_of(message), now_);
    }

    void deliver_until(time_point end)
    {
        while (!queue_.empty() && queue_.top().at_ <= end)
        {
            auto const next = queue_.top();
            queue_.pop();
            now_ = std::max(now_, next.at_);
            auto const to = processes_.find(next.to_);
            auto& from = *processes_.at(next.from_);
            if (to == processes_.end() || !to->second->alive_ ||
                to->second->paused_ || to->second->side_ != from.side_)
            {
                continue;
            }
            auto& peer = *to->second;
            endpoint const source = from.self().control_;
            auto const sender = from.self().target_;
            auto read = [this, &peer, source, sender, next]
            {
                run(peer, peer.balancer_
                              ? peer.balancer_->receive(now_, source, sender,
                                                        next.message_)
                              : peer.agent_->receive(now_, source, sender,
                                                     next.message_));
            };
            if (peer.turn_ > duration{})
            {
                peer.unread_.emplace_back(std::move(read));
                continue;
            }
            read();
        }
        // Time goes on from the tick, not from the last datagram.
        now_ = end - tick_interval;
    }

    static constexpr milliseconds tick_interval{50};
    // Headers of IP and UDP, and the authenticator's.
    static constexpr std::size_t frame_bytes = 68;

    std::mt19937_64 random_;
    double loss_;
    time_point now_{seconds(1)};
    std::uint32_t bytes_per_second_ = 0; // 0: no bound
    std::uint16_t last_port_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t messages_ = 0;
    std::map<std::string, std::uint16_t> ports_;
    std::map<std::uint16_t, std::unique_ptr<process>> processes_;
    std::vector<endpoint> seeds_;
    std::priority_queue<datagram> queue_;
};

// The fleet of today: balancers b0.. and agents t0.. of one service.
inline void fill(control_fleet& fleet, int balancers, int agents,
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
