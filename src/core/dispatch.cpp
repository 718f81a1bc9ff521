// From packet and view to the action of a balancer.
#include <daisytrail/dispatch.hpp>

namespace daisytrail
{

bool admits_new_flow(balancer_load const& load)
{
    constexpr double random_range = 4'294'967'296.0;
    double const refused_share = (load.queue_fill_ - overload_begin_fill) /
                                 (overload_full_fill - overload_begin_fill);
    return load.random_ / random_range >= refused_share;
}

std::uint8_t first_position(trail const& candidates, bool opens_flow)
{
    if (!opens_flow)
    {
        return 0;
    }
    std::uint8_t position = 0;
    while (position < candidates.size_ &&
           !takes_new_work(candidates.candidates_[position].state_))
    {
        ++position;
    }
    return position;
}

dispatch_action dispatch_packet(fleet_view const& view,
                                balancer_load const& load,
                                std::span<std::byte const> packet)
{
    dispatch_action action;
    auto const reading = read_packet(packet);
    if (reading.drop_ != drop_reason::none)
    {
        action.drop_ = reading.drop_;
        return action;
    }
    auto const& info = reading.info_;
    auto const* service = view.find(info.flow_.vip_);
    if (service == nullptr)
    {
        action.drop_ = drop_reason::unknown_vip;
        return action;
    }
    bool const opens_flow = info.opens_flow();
    if (opens_flow && !admits_new_flow(load))
    {
        action.drop_ = drop_reason::overload;
        return action;
    }
    auto& header = action.header_;
    header.trail_ = service->table_.pick(hash_flow(info.flow_));
    header.position_ = first_position(header.trail_, opens_flow);
    if (header.position_ == header.trail_.size_)
    {
        action.drop_ = drop_reason::no_target;
        return action;
    }
    auto const& chosen = header.trail_.candidates_[header.position_];
    header.service_ = service->id_;
    header.target_ = chosen.target_;
    header.incarnation_ = chosen.incarnation_;
    action.to_ = chosen.tunnel_;
    return action;
}

} // namespace daisytrail
