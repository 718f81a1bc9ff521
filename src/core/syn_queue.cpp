// Queue of new flows in front of a backend server.
#include <daisytrail/syn_queue.hpp>

#include <algorithm>

namespace daisytrail
{

bool syn_queue::has_room(std::uint32_t in_flight) const
{
    auto const requests = static_cast<double>(in_flight + handshakes_.size());
    return requests < settings_.requests_per_slot_ * slots_;
}

void syn_queue::begin_handshake(flow_key const& flow, time_point now)
{
    handshakes_[flow] = now + settings_.handshake_timeout_;
}

void syn_queue::forget_old_handshakes(time_point now)
{
    std::erase_if(handshakes_,
                  [now](auto const& entry) { return now >= entry.second; });
}

duration syn_queue::remaining_time(flow_packet const& packet) const
{
    auto const last = settings_.remaining_times_.size() - 1;
    return settings_
        .remaining_times_[std::min<std::size_t>(packet.syn_attempt_, last)];
}

syn_queue::step syn_queue::on_syn(flow_packet const& packet,
                                  std::uint32_t in_flight, time_point now)
{
    auto const flow = packet.flow_from_caller();
    if (contains(flow))
    {
        return step::wait;
    }
    forget_old_handshakes(now);
    bool const was_passed = handshakes_.contains(flow);
    if (was_passed || (expires_at_.empty() && has_room(in_flight)))
    {
        begin_handshake(flow, now);
        return step::pass;
    }
    if (expires_at_.size() >= settings_.max_waiting_)
    {
        return step::refuse;
    }
    expires_at_[flow] = now + remaining_time(packet);
    order_.push_back(flow);
    return step::wait;
}

void syn_queue::on_handshake_end(flow_key const& flow)
{
    handshakes_.erase(flow);
}

std::vector<flow_key> syn_queue::take_ready(std::uint32_t in_flight,
                                            time_point now)
{
    forget_old_handshakes(now);
    std::vector<flow_key> result;
    while (!order_.empty() && has_room(in_flight))
    {
        auto const flow = order_.back();
        order_.pop_back();
        if (expires_at_.erase(flow) > 0)
        {
            begin_handshake(flow, now);
            result.push_back(flow);
        }
    }
    return result;
}

std::vector<flow_key> syn_queue::take_expired(time_point now)
{
    std::vector<flow_key> result;
    for (auto const& [flow, expires_at] : expires_at_)
    {
        if (now >= expires_at)
        {
            result.push_back(flow);
        }
    }
    for (auto const& flow : result)
    {
        expires_at_.erase(flow);
    }
    if (!result.empty())
    {
        std::erase_if(order_,
                      [this](flow_key const& flow) { return !contains(flow); });
    }
    return result;
}

std::vector<flow_key> syn_queue::take_all()
{
    std::vector<flow_key> result;
    for (auto const& flow : order_)
    {
        if (expires_at_.erase(flow) > 0)
        {
            result.push_back(flow);
        }
    }
    order_.clear();
    return result;
}

void syn_queue::clear_handshakes()
{
    handshakes_.clear();
}

} // namespace daisytrail
