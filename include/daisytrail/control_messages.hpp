// Control-plane messages between balancers and agents, and the actions that the
// core returns to its caller.
#pragma once

#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytrail
{

// Reserved service of the balancers: a balancer is stored as a target_record of
// this service, with its endpoint for packets from the fabric in tunnel_.
inline constexpr service_id balancer_service = 0;

// Maximum size of an encoded message. An authenticated datagram of this size
// isn't fragmented. src/rpc/control_messages.cpp encodes the messages.
inline constexpr std::size_t max_control_bytes = 1'200;

enum class item_kind : std::uint8_t
{
    member,       // target or balancer; id_ is the hash of its name
    organisation, // template; id_ is the hash of the organisation's name
    count
};

// Identifier, version and state of one record, without the record's body. The
// version of a template is {version, 0}.
struct item
{
    item_kind kind_ = item_kind::member;
    std::uint64_t id_ = 0;
    record_version version_;
    member_state state_ = member_state::ready;

    bool operator==(item const&) const = default;
};

// A process and the endpoint at which it receives control datagrams.
struct contact
{
    std::uint64_t id_ = 0;
    endpoint control_;

    bool operator==(contact const&) const = default;
};

// Asks the process `subject_` for a pong; other processes ignore the message.
struct ping_message
{
    std::uint64_t subject_ = 0;

    bool operator==(ping_message const&) const = default;
};

struct pong_message
{
    item self_;

    bool operator==(pong_message const&) const = default;
};

// Indirect probe (SWIM): asks the receiver to ping the subject on behalf of the
// sender.
struct probe_request
{
    contact subject_;

    bool operator==(probe_request const&) const = default;
};

// Result of an indirect probe.
struct probe_answer
{
    std::uint64_t subject_ = 0;
    bool alive_ = false;

    bool operator==(probe_answer const&) const = default;
};

// Versions of some records that the sender holds, and the root of its hash tree
// over all records.
struct digest_message
{
    std::uint64_t root_ = 0; // 0: the sender requests no comparison
    std::vector<item> items_;
    bool complete_ = false; // items_ holds all members of the agent's service

    bool operator==(digest_message const&) const = default;
};

// Requests the records of these members.
struct pull_message
{
    std::vector<std::uint64_t> ids_;

    bool operator==(pull_message const&) const = default;
};

// Full records, in response to a pull or pushed to an agent.
struct records_message
{
    std::vector<target_record> records_;

    bool operator==(records_message const&) const = default;
};

// Hashes of the children of one node of the hash tree. level_ is the level of
// the children, prefix_ the prefix of the node.
struct tree_message
{
    std::uint8_t level_ = 1;
    std::uint32_t prefix_ = 0;
    std::vector<std::uint64_t> hashes_;

    bool operator==(tree_message const&) const = default;
};

// All items below one node of the hash tree.
struct branch_message
{
    std::uint8_t level_ = 0;
    std::uint32_t prefix_ = 0;
    std::vector<item> items_;

    bool operator==(branch_message const&) const = default;
};

// Periodic message of an agent to its observers, with the agent's record.
struct heartbeat_message
{
    target_record record_;
    // Hash of the name of the agent's organisation; 0 if the agent follows
    // neither the members of its service nor its organisation's template.
    std::uint64_t organisation_ = 0;
    template_version version_ = 0;     // of the template in force at the agent
    std::uint64_t peers_hash_ = 0;     // over the known members of its service
    std::uint64_t observers_hash_ = 0; // over the agent's set of observers

    bool operator==(heartbeat_message const&) const = default;
};

struct heartbeat_ack
{
    item known_; // version of the agent's record that the balancer holds
    std::vector<contact> observers_; // empty if the agent's set is up to date

    bool operator==(heartbeat_ack const&) const = default;
};

// Requests chunks of a template of at least this version. Releases that don't
// compress leave the last three members out.
struct template_request
{
    std::uint64_t organisation_ = 0;
    template_version version_ = 0;
    std::uint32_t index_ = 0;
    std::uint32_t count_ = 0; // number of chunks; 0 counts as 1
    bool accepts_compressed_ = false;
    // Hash of the value that the sender has in force and that the chunks may be
    // compressed against; 0: none.
    std::uint64_t base_hash_ = 0;

    bool operator==(template_request const&) const = default;
};

// One chunk of a template's value, which is as in the store or compressed.
struct template_chunk
{
    std::string organisation_;
    template_version version_ = 0;
    std::uint32_t index_ = 0;
    std::uint32_t count_ = 1;
    std::string bytes_;
    bool is_compressed_ = false;
    std::uint64_t base_hash_ = 0; // that it was compressed against; 0: none

    bool operator==(template_chunk const&) const = default;
};

// Asks a balancer whether it knows targets that the sender doesn't know.
struct view_question
{
    std::uint32_t round_ = 0;
    std::uint64_t targets_hash_ = 0; // over the identifiers known to the sender

    bool operator==(view_question const&) const = default;
};

struct view_answer
{
    std::uint32_t round_ = 0;        // as in the question
    std::uint64_t targets_hash_ = 0; // over the identifiers known to the sender
    // False if the sender has just started or suspects that it is isolated: its
    // view may be incomplete and confirms nothing.
    bool can_confirm_ = false;
    // If the hashes differ: the targets that the sender added or removed last,
    // newest first.
    std::vector<std::uint64_t> latest_changes_;

    bool operator==(view_answer const&) const = default;
};

using control_message =
    std::variant<ping_message, pong_message, probe_request, probe_answer,
                 digest_message, pull_message, records_message, tree_message,
                 branch_message, heartbeat_message, heartbeat_ack,
                 template_request, template_chunk, view_question, view_answer>;

// Actions that the core returns and its caller executes.

// Send a message.
struct send_action
{
    endpoint to_;
    control_message message_;
};

// Report that a member's record is new or was superseded.
struct member_action
{
    target_record record_;
};

// Report that a peer offered a version that was unknown to this process.
struct template_offer_action
{
    std::uint64_t organisation_ = 0; // hash of the organisation's name
    template_version version_ = 0;
    template_version held_ = 0; // version in force; 0: none
    endpoint from_;
};

// Check a value that was fetched from a peer, and then adopt or refuse it. The
// check of a long value takes several turns of the event loop.
struct template_received_action
{
    std::string organisation_;
    template_version version_ = 0;
    std::string value_;
    std::string source_; // control endpoint of the peer
};

// Report that a template came into force in this process.
struct template_action
{
    std::string organisation_;
    template_version version_ = 0;
    std::string value_;  // as in the store
    std::string source_; // "store" or the control endpoint of the peer
    // Time since a peer first offered a version newer than the one in force;
    // empty if none did.
    std::optional<duration> offered_ago_;
};

// Kinds of events that a process reports in its log and metrics.
enum class report_kind : std::uint8_t
{
    refused_older,          // store or peer offered an older version
    refused_invalid,        // a template failed validation
    refused_conflict,       // two different values with the same version
    self_suspected,         // most members don't answer; no deaths are declared
    declared_dead,          // this process was declared dead and refutes it
    paused,                 // the event loop was stalled
    member_dead,            // this process declared a member dead
    self_suspicion_ended,   // most members answer again
    balancers_silent,       // no message from another balancer for 1.75 s
    balancers_reachable,    // a balancer's message ended the silence
    view_unconfirmed,       // a view confirmation is overdue
    view_unconfirmed_ended, // confirmed, or no longer requested
    transfer_failed,        // a peer's template couldn't be put together
    contact_found,          // a balancer runs that isn't a member here
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(report_kind::count)>
    report_kind_names{"refused_older",
                      "refused_invalid",
                      "refused_conflict",
                      "self_suspected",
                      "declared_dead",
                      "paused",
                      "member_dead",
                      "self_trusted",
                      "balancers_silent",
                      "balancers_heard",
                      "view_unconfirmed",
                      "view_settled",
                      "template_transfer_failed",
                      "contact_found"};

struct report_action
{
    report_kind kind_ = report_kind::count;
    std::string text_;
};

// Report the round-trip time of an answered probe.
struct round_trip_action
{
    duration round_trip_time_{};
};

// Report that other balancers know no target that is unknown to this balancer.
struct view_confirmed_action
{
    time_point requested_at_; // the confirmation covers the state at this time
};

using control_action =
    std::variant<send_action, member_action, template_offer_action,
                 template_received_action, template_action, report_action,
                 round_trip_action, view_confirmed_action>;

} // namespace daisytrail
