// What a trial of the platform's programs writes itself: packets of callers and
// backend servers, and the operator's configurations.
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

// The platform's packet head and as many bytes of data.
packet_bytes make_packet(std::uint8_t flags, endpoint const& from,
                         endpoint const& to, std::uint32_t sequence,
                         std::uint32_t acknowledgement,
                         std::uint32_t data_bytes = 0);

// A reset that no caller or backend server wrote.
bool is_balancer_reset(std::span<std::byte const> packet);

// A packet as a backend server returns it that doesn't hold its flow.
packet_bytes return_packet(std::span<std::byte const> packet);

// What a backend server says of itself.
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

// Address and port of a route, from 1 to route_count.
endpoint route_address(int route);

// Routes of a version, the same for each seed.
route_services draw_routes(int version);

// The operator's document with these routes.
std::string to_document(int version, route_services const& routes);

} // namespace daisytrail
