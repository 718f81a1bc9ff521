// The balancer's decision for one packet: drop it, or send it to a target.
// A pure function of the packet and the view; no memory between packets.
#pragma once

#include <daisytrail/tunnel.hpp>
#include <daisytrail/view.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace daisytrail
{

// How loaded a balancer is at the moment of a decision.
struct balancer_load
{
    double queue_fill_ = 0.0;  // share of the receive buffer in use, 0 to 1
    std::uint32_t random_ = 0; // uniform, fresh for each packet
};

// Receive buffer fill at which new flows begin to be refused, and at which all
// of them are. The room above the second is left to packets of open flows.
inline constexpr double overload_begin_fill = 0.25;
inline constexpr double overload_full_fill = 0.75;

// True if a SYN is forwarded at this load. The refused share grows in
// proportion to the fill between the two limits, so that there is no state
// that could flap.
bool admits_new_flow(balancer_load const& load);

// What to do with one packet. If drop_ is none, header_ and the unchanged
// packet go to to_.
struct dispatch_action
{
    drop_reason drop_ = drop_reason::none;
    endpoint to_;
    tunnel_header header_;
};

// A packet that was read and whose service was looked up.
struct looked_up_packet
{
    drop_reason drop_ = drop_reason::none;
    packet_info info_;
    service_entry const* service_ = nullptr; // null only if drop_ is set
};

// First half of a decision. Looking up a whole batch before the second half
// lets the processor load the services of many packets at a time; `prefetch`
// between the two begins to load what the choice reads.
looked_up_packet look_up_packet(fleet_view const& view,
                                std::span<std::byte const> packet);

inline void prefetch(looked_up_packet const& packet)
{
    if (packet.service_ != nullptr)
    {
        packet.service_->table_.prefetch();
    }
}

// Second half of a decision; the view must be unchanged since the first.
dispatch_action dispatch_packet(looked_up_packet const& packet,
                                balancer_load const& load);

// Decides for one bare IPv4 packet.
dispatch_action dispatch_packet(fleet_view const& view,
                                balancer_load const& load,
                                std::span<std::byte const> packet);

// Rank of the candidate that gets a packet first, or trail.size_ if none is
// suitable: for a new flow the first that takes new work, else the first.
std::uint8_t first_position(ranked_candidates const& candidates,
                            bool opens_flow);

} // namespace daisytrail
