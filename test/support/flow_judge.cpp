// Judgement of flows.
#include "support/flow_judge.hpp"

#include <algorithm>
#include <set>

namespace daisytrail
{

namespace
{

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::string at(time_point value)
{
    return std::to_string(to_ms(value.time_since_epoch())) + " ms";
}

std::string list(std::vector<int> const& servers)
{
    std::string result;
    for (auto const server : std::set<int>(servers.begin(), servers.end()))
    {
        result += (result.empty() ? "" : ", ") + std::to_string(server);
    }
    return result;
}

} // namespace

flow_judge::open_flow* flow_judge::find(flow_id flow)
{
    auto const found = flows_.find(flow);
    return found == flows_.end() ? nullptr : &found->second;
}

void flow_judge::on_open(flow_id flow, int server, time_point now)
{
    ++judged_;
    auto& value = flows_[flow];
    value.server_ = server;
    value.opened_ = now;
}

void flow_judge::on_sent(flow_id flow, int balancer, time_point now)
{
    if (auto* const value = find(flow))
    {
        value->balancers_[balancer] = now;
        if (!value->has_owner_ && !value->asked_)
        {
            value->asked_ = now;
        }
    }
}

void flow_judge::on_reached(flow_id flow, int server, time_point now)
{
    auto* const value = find(flow);
    if (value == nullptr || !value->has_owner_)
    {
        return;
    }
    if (server != value->server_)
    {
        if (!value->astray_)
        {
            value->astray_ = stretch{now, {}, false};
        }
        value->astray_->servers_.push_back(server);
    }
    check_astray(flow, *value, now);
    if (server == value->server_)
    {
        value->astray_.reset();
    }
}

void flow_judge::check_astray(flow_id flow, open_flow& value, time_point now)
{
    auto& astray = value.astray_;
    bool const is_broken = astray && !astray->is_broken_ &&
                           now >= astray->from_ + bounds_.astray_ &&
                           astray->servers_.size() >= bounds_.astray_packets_ &&
                           is_in_touch(value, astray->from_, now);
    if (!is_broken)
    {
        return;
    }
    astray->is_broken_ = true;
    violations_.push_back(at(now) + ": flow " + std::to_string(flow) +
                          " of server " + std::to_string(value.server_) +
                          ", open since " + at(value.opened_) + ": for " +
                          std::to_string(to_ms(now - astray->from_)) + " ms " +
                          std::to_string(astray->servers_.size()) +
                          " packets reached other servers (" +
                          list(astray->servers_) + ") and none its own");
}

void flow_judge::on_reset(flow_id flow, int sender, time_point now)
{
    auto* const value = find(flow);
    if (value == nullptr)
    {
        return;
    }
    if (!value->has_owner_)
    {
        ownerless_resets_.push_back(now - value->asked_.value_or(now));
    }
    else if (sender != value->server_ && is_in_touch(*value, now, now) &&
             !was_disturbed(sender, now - bounds_.calm_, now))
    {
        violations_.push_back(
            at(now) + ": flow " + std::to_string(flow) + " of server " +
            std::to_string(value->server_) + ", open since " +
            at(value->opened_) + ": reset by " +
            (sender == 0 ? "a balancer" : "server " + std::to_string(sender)));
    }
    flows_.erase(flow);
}

void flow_judge::on_give_up(flow_id flow)
{
    if (auto const* const value = find(flow))
    {
        ++(value->has_owner_ ? left_in_silence_ : ownerless_in_silence_);
        flows_.erase(flow);
    }
}

void flow_judge::on_end(flow_id flow)
{
    flows_.erase(flow);
}

void flow_judge::on_server_end(int server)
{
    for (auto& [flow, value] : flows_)
    {
        if (value.server_ == server)
        {
            value.has_owner_ = false;
        }
    }
}

void flow_judge::on_disturbance(int machine, time_point from, time_point until)
{
    disturbances_.push_back({machine, from, until});
}

bool flow_judge::was_disturbed(int machine, time_point from,
                               time_point until) const
{
    return std::ranges::any_of(disturbances_,
                               [&](disturbance const& each)
                               {
                                   return each.machine_ == machine &&
                                          each.from_ <= until &&
                                          each.until_ >= from;
                               });
}

// The flow's own machine and the balancers that took its packets.
bool flow_judge::is_in_touch(open_flow const& value, time_point from,
                             time_point now) const
{
    auto const calm_from = from - bounds_.calm_;
    return !was_disturbed(value.server_, calm_from, now) &&
           std::ranges::none_of(value.balancers_,
                                [&](auto const& entry)
                                {
                                    return entry.second >= calm_from &&
                                           was_disturbed(entry.first, calm_from,
                                                         now);
                                });
}

} // namespace daisytrail
