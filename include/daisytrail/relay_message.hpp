// Datagrams between balancer and agent in mode `forward`: a Cap'n Proto head,
// followed by the forwarded packet if the message carries one.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <chrono>
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
    packet,         // balancer to agent: carries a caller's packet
    returned,       // agent to balancer: carries a packet that was refused
    report_request, // balancer to agent: requests a `report`
    report,         // agent to balancer: load and state, no packet
    owner_question, // balancer to agent: asks whether flows are held here
    owner_answer,   // agent to balancer: whether the flows are held here
    syn_waits,      // agent to balancer: the flow's SYN waits at the agent
    count
};

// Whether a backend server holds a flow, as far as its agent can determine.
enum class flow_ownership : std::uint8_t
{
    undetermined, // passing a packet of the flow is the only way to find out
    held,
    not_held,
    // Undetermined, but the agent never saw the flow and heard of the backend
    // server's run from its first announcement on.
    improbable,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(flow_ownership::count)>
    flow_ownership_names{"unsure", "held", "not_held", "improbable"};

constexpr std::string_view to_string(flow_ownership ownership)
{
    return flow_ownership_names[static_cast<std::size_t>(ownership)];
}

enum class return_reason : std::uint8_t
{
    none,
    not_held,      // the backend server holds no such flow, or is full
    other_target,  // the head names another target or service
    not_accepting, // the backend server is draining or its agent is stopping
    not_announced, // no announcement was received since the agent started
    no_answer,     // the backend server is silent or hasn't answered yet
    queue_full,    // too many SYNs wait at the agent
    count
};

// For each reason, whether it proves that the backend server doesn't hold the
// packet's flow.
inline constexpr std::array<bool,
                            static_cast<std::size_t>(return_reason::count)>
    proves_not_held_by_reason{
        false, // none
        true,  // not_held
        false, // other_target: the addressed target may have moved
        false, // not_accepting
        false, // not_announced: the backend server may be older than the agent
        false, // no_answer: backend server stalled, or agent short of CPU time
        false, // queue_full
    };

constexpr bool proves_not_held(return_reason reason)
{
    return proves_not_held_by_reason[static_cast<std::size_t>(reason)];
}

// True if the same target may accept the flow a moment later.
constexpr bool is_transient(return_reason reason)
{
    return reason == return_reason::not_announced ||
           reason == return_reason::no_answer ||
           reason == return_reason::queue_full;
}

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(return_reason::count)>
    return_reason_names{"none",          "not_held",      "other_target",
                        "not_accepting", "not_announced", "no_answer",
                        "queue_full"};

constexpr std::string_view to_string(return_reason reason)
{
    return return_reason_names[static_cast<std::size_t>(reason)];
}

// Load of a backend server as measured by its agent.
struct backend_load
{
    std::uint32_t in_flight_ = 0; // requests that await an answer
    double mean_in_flight_ = 0;   // moving average over about a second
    // Moving average of the time to answer, without queueing.
    std::uint32_t service_micros_ = 0;
    std::uint32_t open_flows_ = 0;
    std::uint16_t speed_percent_ = 100; // 100 once the warm-up is over
    // Share of recent requests that were reset, refused or left unanswered.
    double failure_ratio_ = 0;
    bool accepts_ = false; // takes new flows

    bool operator==(backend_load const&) const = default;
};

struct queried_flow
{
    flow_key flow_;
    // Meaningful in an `owner_answer` only.
    flow_ownership ownership_ = flow_ownership::undetermined;

    bool operator==(queried_flow const&) const = default;
};

struct relay_message
{
    relay_kind kind_ = relay_kind::packet;
    return_reason reason_ = return_reason::none;
    service_id service_ = 0;
    // The addressed target in messages of a balancer and the answering target
    // in messages of an agent. An owner_answer and a message with the reason
    // other_target name the target that the balancer addressed.
    target_id target_ = 0;
    template_version version_ = 0; // of the template in force at the balancer
    backend_load load_;            // set by agents only
    // In a `packet`: the balancer doesn't know whether this target holds the
    // flow and requests an `owner_answer` if it does. In messages of other
    // kinds: false.
    bool is_owner_unknown_ = false;
    // In an `owner_question`: flows that have been idle for longer than this
    // needn't be kept; 0: no such limit is known. In messages of other kinds:
    // 0.
    std::chrono::milliseconds idle_limit_{0};
    // One to max_queried_flows flows in an `owner_question`, an `owner_answer`
    // and a `syn_waits`, empty in messages of other kinds.
    std::vector<queried_flow> queried_flows_ = {};

    bool operator==(relay_message const&) const = default;
};

// Limit per datagram, so that the datagram fits into one network packet.
inline constexpr std::size_t max_queried_flows = 64;
inline constexpr std::size_t max_relay_head_bytes = 1'200;

// Encodes the head into a buffer of max_relay_head_bytes; returns its size.
std::size_t encode_relay_head(relay_message const& message,
                              std::span<std::byte> buffer);

// Result of decode_relay(); packet_ is a view into the decoded datagram.
struct decoded_relay
{
    relay_message message_;
    std::span<std::byte const> packet_;
};

// Returns nullopt if the datagram is malformed. Its first byte must be 8-byte
// aligned.
std::optional<decoded_relay> decode_relay(std::span<std::byte const> datagram);

} // namespace daisytrail
