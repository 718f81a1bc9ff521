// What a trial of the platform's programs writes itself: packets of callers and
// backend servers, and the operator's configurations.
#pragma once

#include "support/config_judge.hpp"

#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <string>

namespace daisytrail
{

inline constexpr int route_count = 6;

inline constexpr std::uint8_t flag_ack = 1;
inline constexpr std::uint8_t flag_syn = 64;
inline constexpr std::uint8_t flag_reset = 128;

using packet_bytes = std::array<std::byte, 32>;

// The platform's packet head, without data.
packet_bytes make_packet(std::uint8_t flags, endpoint const& from,
                         endpoint const& to, std::uint32_t sequence,
                         std::uint32_t acknowledgement);

// Address and port of a route, from 1 to route_count.
endpoint route_address(int route);

// Routes of a version, the same for each seed.
route_services draw_routes(int version);

// The operator's document with these routes.
std::string to_document(int version, route_services const& routes);

} // namespace daisytrail
