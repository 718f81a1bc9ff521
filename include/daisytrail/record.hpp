// Membership records that each process publishes about itself.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytrail
{

// Life cycle of a balancer or target. Later values supersede earlier ones
// within one version.
enum class member_state : std::uint8_t
{
    joining,  // announced and warming up: gets a growing share of new work
    ready,    // accepts new work
    draining, // accepts no new work, keeps its open flows
    left,     // stopped gracefully; its flows have ended
    dead,     // declared dead by more than one observer
    count
};

inline constexpr std::array<std::string_view, 5> member_state_names{
    "joining", "ready", "draining", "left", "dead"};

constexpr std::string_view to_string(member_state state)
{
    return member_state_names[static_cast<std::size_t>(state)];
}

std::optional<member_state> parse_member_state(std::string_view name);

// Returns true if new flows may be placed on a member in this state.
constexpr bool takes_new_work(member_state state)
{
    return state == member_state::joining || state == member_state::ready;
}

// Returns true if a member in this state may still own flows.
constexpr bool may_own_flows(member_state state)
{
    return state != member_state::left && state != member_state::dead;
}

// Orders the versions of one record. Only the owner of the record raises the
// version; an observer that declares the owner dead publishes the state `dead`
// under the owner's current version.
struct record_version
{
    incarnation incarnation_ = 0;
    std::uint64_t sequence_ = 0;

    auto operator<=>(record_version const&) const = default;
};

// One target: an agent together with its backend server.
struct target_record
{
    target_id target_ = 0;
    record_version version_;
    service_id service_ = 0;
    std::string name_; // unique in the fleet, from the settings
    std::string failure_domain_;
    endpoint tunnel_;               // packets from balancers and other agents
    endpoint control_;              // control datagrams
    endpoint rpc_;                  // Cap'n Proto RPC between agents
    std::uint32_t slots_ = 0;       // maximum number of concurrent requests
    std::uint32_t connections_ = 0; // maximum number of open flows
    std::uint32_t weight_ = 0;      // relative share of new flows; at least 1
    member_state state_ = member_state::joining;

    bool operator==(target_record const&) const = default;
};

// One balancer.
struct balancer_record
{
    std::uint64_t balancer_ = 0; // hash_name(name_)
    record_version version_;
    std::string name_;
    std::string failure_domain_;
    endpoint data_;    // packets from the fabric
    endpoint control_; // control datagrams
    member_state state_ = member_state::joining;

    bool operator==(balancer_record const&) const = default;
};

// Returns true if `incoming` replaces `current`: it has a higher version, or
// the same version and a later state. Merging by this rule is commutative,
// associative and idempotent.
template <typename Record>
bool supersedes(Record const& incoming, Record const& current)
{
    if (incoming.version_ != current.version_)
    {
        return incoming.version_ > current.version_;
    }
    return incoming.state_ > current.state_;
}

} // namespace daisytrail
