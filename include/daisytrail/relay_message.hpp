// The datagrams between the balancer and the agent of a forwarded flow: a
// Cap'n Proto head, followed by the packet itself where there is one.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace daisytrail
{

enum class relay_kind : std::uint8_t
{
    packet,   // balancer to agent: a caller's packet
    returned, // agent to balancer: the packet isn't for this backend server
    report_request, // balancer to agent: asks for a report
    report,         // agent to balancer: load and state alone
    owner_question, // balancer to agent: does the backend server hold them?
    owner_answer,   // agent to balancer
    count
};

// Whether a backend server holds a flow, as its agent knows.
enum class flow_ownership : std::uint8_t
{
    undetermined, // only the flow's packets can tell
    held,
    not_held,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(flow_ownership::count)>
    flow_ownership_names{"unsure", "held", "not_held"};

constexpr std::string_view to_string(flow_ownership ownership)
{
    return flow_ownership_names[static_cast<std::size_t>(ownership)];
}

enum class return_reason : std::uint8_t
{
    none,
    not_held,      // the backend server holds no such flow, or is full
    other_target,  // the head names another target or service
    not_accepting, // the backend server drains or its agent stops
    not_announced, // the agent started and hasn't heard the backend server yet
    no_answer,     // the backend server doesn't answer, or not yet
    count
};

// Which reasons prove that the backend server doesn't hold the packet's flow.
inline constexpr std::array<bool,
                            static_cast<std::size_t>(return_reason::count)>
    proves_not_held_by_reason{
        false, // none
        true,  // not_held
        false, // other_target: the addressee may be elsewhere
        false, // not_accepting
        false, // not_announced: it may have run for long
        false, // no_answer: it may stand still, or the agent may be late
    };

constexpr bool proves_not_held(return_reason reason)
{
    return proves_not_held_by_reason[static_cast<std::size_t>(reason)];
}

// True if the same target may take the flow a moment later.
constexpr bool is_transient(return_reason reason)
{
    return reason == return_reason::not_announced ||
           reason == return_reason::no_answer;
}

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(return_reason::count)>
    return_reason_names{"none",          "not_held",      "other_target",
                        "not_accepting", "not_announced", "no_answer"};

constexpr std::string_view to_string(return_reason reason)
{
    return return_reason_names[static_cast<std::size_t>(reason)];
}

// Load of a backend server as its agent sees it.
struct backend_load
{
    std::uint32_t in_flight_ = 0; // requests without an answer yet
    double mean_in_flight_ = 0;   // smoothed over about a second
    // Smoothed time to answer, without queueing.
    std::uint32_t service_micros_ = 0;
    std::uint32_t open_flows_ = 0;
    std::uint16_t speed_percent_ =
        100;                   // percent of a warm backend server's speed
    double failure_ratio_ = 0; // of requests lately: broken off or unanswered
    bool accepts_ = false;     // takes new flows

    bool operator==(backend_load const&) const = default;
};

struct queried_flow
{
    flow_key flow_;
    flow_ownership ownership_ =
        flow_ownership::undetermined; // told by answers only

    bool operator==(queried_flow const&) const = default;
};

struct relay_message
{
    relay_kind kind_ = relay_kind::packet;
    return_reason reason_ = return_reason::none;
    service_id service_ = 0;
    // Addressee, or the target that answers; with the reason other_target, the
    // addressee that wasn't met.
    target_id target_ = 0;
    revision revision_ = 0; // of the template that the sender has in force
    backend_load load_;     // from agents only
    // With `packet`: the balancer doesn't know whether this target holds the
    // flow and wants to hear if it does.
    bool asks_owner_ = false;
    // One to max_queried_flows with `owner_question` and `owner_answer`, none
    // with the others.
    std::vector<queried_flow> queried_flows_ = {};

    bool operator==(relay_message const&) const = default;
};

// In one datagram, which stays below the data that a packet may carry.
inline constexpr std::size_t max_queried_flows = 64;
inline constexpr std::size_t max_relay_head_bytes = 1'200;

// Encodes the head into a buffer of max_relay_head_bytes; returns its size.
std::size_t encode_relay_head(relay_message const& message,
                              std::span<std::byte> buffer);

// A decoded datagram; packet_ points into it.
struct decoded_relay
{
    relay_message message_;
    std::span<std::byte const> packet_;
};

// Empty if the datagram is malformed. Its first byte must be 8-byte aligned.
std::optional<decoded_relay> decode_relay(std::span<std::byte const> datagram);

} // namespace daisytrail
