// Forwarding decision of a balancer for one packet: drop it, or send it to a
// target. The decision depends only on the packet, the view and the balancer's
// load; no state is kept between packets.
#pragma once

#include <daisytrail/tunnel.hpp>
#include <daisytrail/view.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace daisytrail
{

// Load of a balancer at the time of a decision.
struct balancer_load
{
    double queue_fill_ = 0.0;  // share of the receive buffer in use, 0 to 1
    std::uint32_t random_ = 0; // uniform random number, drawn per packet
};

// Fill of the receive buffer from which on some new flows are refused, and from
// which on all new flows are refused. The buffer space above the second limit
// is reserved for packets of open flows.
inline constexpr double overload_begin_fill = 0.25;
inline constexpr double overload_full_fill = 0.75;

// Admission control: true if a SYN is forwarded at this load. The share of
// refused SYNs grows linearly with the fill between the two limits, so that no
// on/off state can flap.
bool admits_new_flow(balancer_load const& load);

// Decision for one packet. If drop_ is none, header_ and the unchanged packet
// are sent to to_.
struct dispatch_action
{
    drop_reason drop_ = drop_reason::none;
    endpoint to_;
    tunnel_header header_;
};

// A parsed packet with the service that its VIP belongs to.
struct looked_up_packet
{
    drop_reason drop_ = drop_reason::none;
    packet_info info_;
    service_entry const* service_ = nullptr; // null only if drop_ is set
};

// First step of a decision: parses the packet and looks up its service. Taking
// this step for a whole batch of packets first lets the processor load the
// services of several packets into its cache concurrently. A call of prefetch()
// between the two steps starts loading the data that the second step reads.
looked_up_packet look_up_packet(fleet_view const& view,
                                std::span<std::byte const> packet);

inline void prefetch(looked_up_packet const& packet)
{
    if (packet.service_ != nullptr)
    {
        packet.service_->table_.prefetch();
    }
}

// Second step of a decision: chooses the target. The view must not have changed
// since the first step.
dispatch_action dispatch_packet(looked_up_packet const& packet,
                                balancer_load const& load);

// Takes both steps for one IPv4 packet without a tunnel header.
dispatch_action dispatch_packet(fleet_view const& view,
                                balancer_load const& load,
                                std::span<std::byte const> packet);

// Rank of the candidate that a packet is sent to first. For a new flow this is
// the first candidate that takes new work, or candidates.size_ if no candidate
// does; for an open flow it is the first candidate.
std::uint8_t first_position(ranked_candidates const& candidates,
                            bool opens_flow);

} // namespace daisytrail
