// Forwarding decision of a balancer for one packet.
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

std::uint8_t first_position(ranked_candidates const& candidates,
                            bool opens_flow)
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

looked_up_packet look_up_packet(fleet_view const& view,
                                std::span<std::byte const> packet)
{
    auto const parsed = parse_packet(packet);
    looked_up_packet result{parsed.drop_, parsed.info_, nullptr};
    if (result.drop_ != drop_reason::none)
    {
        return result;
    }
    result.service_ = view.find(result.info_.flow_.vip_);
    if (result.service_ == nullptr)
    {
        result.drop_ = drop_reason::unknown_vip;
        return result;
    }
    __builtin_prefetch(result.service_);
    return result;
}

dispatch_action dispatch_packet(looked_up_packet const& packet,
                                balancer_load const& load)
{
    dispatch_action action;
    action.drop_ = packet.drop_;
    if (action.drop_ != drop_reason::none)
    {
        return action;
    }
    bool const opens_flow = packet.info_.opens_flow();
    if (opens_flow && !admits_new_flow(load))
    {
        action.drop_ = drop_reason::overload;
        return action;
    }
    auto& header = action.header_;
    header.ranked_ =
        packet.service_->table_.pick(hash_flow(packet.info_.flow_));
    header.position_ = first_position(header.ranked_, opens_flow);
    if (header.position_ == header.ranked_.size_)
    {
        action.drop_ = drop_reason::no_target;
        return action;
    }
    auto const& chosen = header.ranked_.candidates_[header.position_];
    header.service_ = packet.service_->id_;
    header.target_ = chosen.target_;
    header.incarnation_ = chosen.incarnation_;
    action.to_ = chosen.tunnel_;
    return action;
}

dispatch_action dispatch_packet(fleet_view const& view,
                                balancer_load const& load,
                                std::span<std::byte const> packet)
{
    return dispatch_packet(look_up_packet(view, packet), load);
}

} // namespace daisytrail
