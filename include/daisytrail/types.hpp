// Value types shared by all modules: time, addresses, flows and identifiers.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisytrail
{

// Monotonic time since an arbitrary epoch. Core functions read no clock; their
// callers pass the current time.
using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// IPv4 address in host byte order.
using ipv4 = std::uint32_t;

// An IPv4 address and a port, both in host byte order.
struct endpoint
{
    ipv4 address_ = 0;
    std::uint16_t port_ = 0;

    auto operator<=>(endpoint const&) const = default;
};

struct endpoint_hash
{
    std::size_t operator()(endpoint const& value) const noexcept
    {
        return (std::uint64_t{value.address_} << 16U | value.port_) *
               0x9E3779B97F4A7C15ULL;
    }
};

// Parses an endpoint such as "127.0.0.1:80"; throws error(invalid_argument).
endpoint parse_endpoint(std::string_view text);

// Parses an address such as "127.0.0.1"; throws error(invalid_argument).
ipv4 parse_ipv4(std::string_view text);

std::string to_string(endpoint const& value);
std::string ipv4_to_string(ipv4 address);

// Transport protocol number as in the IPv4 header.
enum class protocol : std::uint8_t
{
    tcp = 6,
    udp = 17
};

// Identifies a TCP flow by the endpoint of the caller and the VIP endpoint that
// the caller connects to.
struct flow_key
{
    endpoint caller_;
    endpoint vip_;

    auto operator<=>(flow_key const&) const = default;
};

// 64-bit hash of a flow, identical in every process and build.
std::uint64_t hash_flow(flow_key const& flow);

struct flow_hash
{
    std::size_t operator()(flow_key const& flow) const noexcept
    {
        return static_cast<std::size_t>(hash_flow(flow));
    }
};

// Longer than callers and backend servers keep an idle flow.
inline constexpr std::chrono::seconds max_flow_idle_time{310};

// Stable identifiers, derived from names by hash_name().
using service_id = std::uint64_t;
using target_id = std::uint64_t;

// 64-bit XXH3 of a name: hash_name("hamutenya/depot-orders").
std::uint64_t hash_name(std::string_view name);

// Start time of a process in milliseconds since 1970. A process that was
// declared dead while it runs refutes this by incrementing its incarnation.
using incarnation = std::uint64_t;

// Revision of the configuration store; increases with each accepted change.
using revision = std::uint64_t;

// Orders the versions of an organisation's template; 0: none. Whoever writes a
// template chooses its version and stores it in the value, so that the order
// also holds after the store was restored from a copy and its revisions went
// back.
using template_version = std::uint64_t;

} // namespace daisytrail
