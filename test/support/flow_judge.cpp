// Rules for packets, resets and timeouts of open flows.
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
    ++judged_flow_count_;
    auto& value = flows_[flow];
    value.server_ = server;
    value.opened_at_ = now;
}

void flow_judge::on_sent(flow_id flow, int balancer, time_point now)
{
    if (auto* const value = find(flow))
    {
        value->last_sent_by_balancer_[balancer] = now;
        if (!value->has_owner_ && !value->first_ownerless_packet_at_)
        {
            value->first_ownerless_packet_at_ = now;
        }
    }
}

void flow_judge::on_delivered(flow_id flow, int server, time_point now)
{
    auto* const value = find(flow);
    if (value == nullptr || !value->has_owner_)
    {
        return;
    }
    if (server != value->server_)
    {
        if (!value->misrouted_)
        {
            value->misrouted_ = misrouted_span{now, {}, false};
        }
        value->misrouted_->servers_.push_back(server);
    }
    check_misrouting(flow, *value, now);
    if (server == value->server_)
    {
        value->misrouted_.reset();
    }
}

void flow_judge::check_misrouting(flow_id flow, open_flow& value,
                                  time_point now)
{
    auto& misrouted = value.misrouted_;
    bool const is_broken =
        misrouted && !misrouted->is_reported_ &&
        now >= misrouted->from_ + bounds_.max_misrouted_time_ &&
        misrouted->servers_.size() >= bounds_.min_misrouted_packets_ &&
        is_undisturbed(value, misrouted->from_, now);
    if (!is_broken)
    {
        return;
    }
    misrouted->is_reported_ = true;
    violations_.push_back(at(now) + ": flow " + std::to_string(flow) +
                          " of server " + std::to_string(value.server_) +
                          ", open since " + at(value.opened_at_) + ": for " +
                          std::to_string(to_ms(now - misrouted->from_)) +
                          " ms " + std::to_string(misrouted->servers_.size()) +
                          " packets reached other servers (" +
                          list(misrouted->servers_) + ") and none its own");
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
        ownerless_reset_delays_.push_back(
            now - value->first_ownerless_packet_at_.value_or(now));
    }
    else if (sender != value->server_ && is_undisturbed(*value, now, now) &&
             !was_disturbed(sender, now - bounds_.recovery_time_, now))
    {
        violations_.push_back(
            at(now) + ": flow " + std::to_string(flow) + " of server " +
            std::to_string(value->server_) + ", open since " +
            at(value->opened_at_) + ": reset by " +
            (sender == 0 ? "a balancer" : "server " + std::to_string(sender)));
    }
    flows_.erase(flow);
}

void flow_judge::on_timeout(flow_id flow)
{
    if (auto const* const value = find(flow))
    {
        ++(value->has_owner_ ? timed_out_flow_count_
                             : timed_out_ownerless_flow_count_);
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

// Considers the flow's backend server and the balancers that its packets were
// sent to recently.
bool flow_judge::is_undisturbed(open_flow const& value, time_point from,
                                time_point now) const
{
    auto const undisturbed_from = from - bounds_.recovery_time_;
    return !was_disturbed(value.server_, undisturbed_from, now) &&
           std::ranges::none_of(value.last_sent_by_balancer_,
                                [&](auto const& entry)
                                {
                                    return entry.second >= undisturbed_from &&
                                           was_disturbed(entry.first,
                                                         undisturbed_from, now);
                                });
}

} // namespace daisytrail
