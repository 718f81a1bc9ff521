// Messages that a trial of the platform's programs creates: packets of callers
// and backend servers, heartbeats, and the operator's configurations.
#pragma once

#include "support/config_judge.hpp"

#include <daisytrail/types.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace daisytrail
{

inline constexpr int route_count = 6;

inline constexpr std::uint8_t flag_ack = 1;
inline constexpr std::uint8_t flag_fin = 8;
inline constexpr std::uint8_t flag_returned = 32;
inline constexpr std::uint8_t flag_syn = 64;
inline constexpr std::uint8_t flag_reset = 128;

using packet_bytes = std::vector<std::byte>;

// Returns a packet with the platform's header and data_bytes of data.
packet_bytes make_packet(std::uint8_t flags, endpoint const& from,
                         endpoint const& to, std::uint32_t sequence,
                         std::uint32_t acknowledgement,
                         std::uint32_t data_bytes = 0);

// Returns whether a reset was created by a balancer: its checksum is zero.
bool is_balancer_reset(std::span<std::byte const> packet);

// Returns the packet as a backend server sends it back if the server doesn't
// hold the packet's flow.
packet_bytes return_packet(std::span<std::byte const> packet);

// State that a backend server reports to its agent.
struct heartbeat
{
    std::string service_;
    endpoint address_;
    int slots_ = 4;
    bool is_draining_ = false;
    std::uint64_t born_ = 1;
    std::uint64_t sequence_ = 1;
};

std::string to_body(heartbeat const& value);

// Returns the address and port of a route; routes are numbered from 1 to
// route_count.
endpoint route_address(int route);

// Returns the routes of a version. They depend on the version alone, not on the
// trial's seed.
route_services draw_routes(int version);

// Returns the operator's configuration document with these routes.
std::string to_document(int version, route_services const& routes);

} // namespace daisytrail
