// Encoding of a trial's packets, heartbeats and configurations.
#include "support/trial_messages.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::uint16_t route_port = 443;
constexpr std::size_t header_bytes = 32;
constexpr std::size_t padding_offset = 1;
constexpr std::size_t checksum_offset = 18;
constexpr std::size_t checksum_bytes = 4;
constexpr ipv4 first_route_address = 0xc6120000; // 198.18.0.0

void put(packet_bytes& out, std::size_t at, std::size_t width,
         std::uint32_t value)
{
    for (std::size_t i = 0; i < width; ++i)
    {
        out[at + i] = static_cast<std::byte>(value >> (8 * i));
    }
}

} // namespace

packet_bytes make_packet(std::uint8_t flags, endpoint const& from,
                         endpoint const& to, std::uint32_t sequence,
                         std::uint32_t acknowledgement,
                         std::uint32_t data_bytes)
{
    packet_bytes result(header_bytes + data_bytes);
    put(result, 0, 1, flags);
    put(result, 2, 2, from.port_);
    put(result, 4, 4, from.address_);
    put(result, 8, 2, to.port_);
    put(result, 10, 4, to.address_);
    put(result, checksum_offset, checksum_bytes, 1);
    put(result, 22, 2, data_bytes);
    put(result, 24, 4, sequence);
    put(result, 28, 4, acknowledgement);
    return result;
}

bool is_balancer_reset(std::span<std::byte const> packet)
{
    return std::ranges::all_of(packet.subspan(checksum_offset, checksum_bytes),
                               [](std::byte each)
                               { return each == std::byte{0}; });
}

packet_bytes return_packet(std::span<std::byte const> packet)
{
    packet_bytes result(packet.begin(), packet.end());
    result[0] |= static_cast<std::byte>(flag_returned);
    result[padding_offset] = std::byte{0};
    return result;
}

std::string to_body(heartbeat const& value)
{
    return json::serialize(
        json::object{{"service", value.service_},
                     {"address", to_string(value.address_)},
                     {"zone", "lafrenz"},
                     {"version", "v1"},
                     {"slots", value.slots_},
                     {"state", value.is_draining_ ? "draining" : "ready"},
                     {"coldLeftMs", 0},
                     {"born", value.born_},
                     {"seq", value.sequence_}});
}

endpoint route_address(int route)
{
    return {first_route_address + static_cast<ipv4>(route), route_port};
}

route_services draw_routes(int version)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(version));
    route_services result;
    for (int route = 1; route <= route_count; ++route)
    {
        auto const draw = random() % 8;
        bool const is_permanent = route <= 2;
        if (draw == 0 && !is_permanent)
        {
            continue; // the version lacks this route
        }
        if (draw == 1)
        {
            result[route] = {"till-0", "till-1"};
            continue;
        }
        result[route] = {"till-" + std::to_string(draw % 2)};
    }
    return result;
}

std::string to_document(int version, route_services const& routes)
{
    json::array list;
    for (auto const& [route, services] : routes)
    {
        json::object entry{
            {"name", "route-" + std::to_string(route)},
            {"host", ipv4_to_string(route_address(route).address_)},
            {"prefix", "/" + std::to_string(route_port) + "/"},
            {"service", *services.begin()}};
        if (services.size() > 1)
        {
            json::array split;
            for (auto const& service : services)
            {
                split.push_back(
                    json::object{{"service", service}, {"weight", 50}});
            }
            entry["split"] = split;
        }
        list.push_back(entry);
    }
    return json::serialize(
        json::object{{"version", version},
                     {"routes", list},
                     {"services", {{{"name", "till-0"}}, {{"name", "till-1"}}}},
                     {"limits", {{"idleTimeoutMs", 12'000}}}});
}

} // namespace daisytrail
