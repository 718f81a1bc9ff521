// Messages of the control plane between balancers and agents, as typed values.
// src/rpc/control_messages.cpp encodes them.
#pragma once

#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisytrail
{

// A balancer is held as a target_record of this service; tunnel_ is its
// endpoint for the fabric.
inline constexpr service_id balancer_service = 0;

// Largest encoded message, so that a sealed datagram isn't fragmented.
inline constexpr std::size_t max_control_bytes = 1'200;

enum class item_kind : std::uint8_t
{
    member,       // a target or balancer; id_ is the hash of its name
    organisation, // a template; id_ is the hash of the organisation's name
    count
};

// One version of one record, without its body. The version of a template is
// {revision, 0}.
struct item
{
    item_kind kind_ = item_kind::member;
    std::uint64_t id_ = 0;
    record_version version_;
    member_state state_ = member_state::ready;

    bool operator==(item const&) const = default;
};

// Where a process takes control datagrams.
struct contact
{
    std::uint64_t id_ = 0;
    endpoint control_;

    bool operator==(contact const&) const = default;
};

// Asks process subject_ for a pong; others ignore it.
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

// Asks the receiver to ping the subject in the sender's place.
struct probe_request
{
    contact subject_;

    bool operator==(probe_request const&) const = default;
};

struct probe_answer
{
    std::uint64_t subject_ = 0;
    bool alive_ = false;

    bool operator==(probe_answer const&) const = default;
};

// Versions that the sender holds, and the hash over everything that it holds.
struct digest_message
{
    std::uint64_t root_ = 0; // 0: no comparison is wanted
    std::vector<item> items_;
    bool complete_ = false; // items_ are all members of the agent's service

    bool operator==(digest_message const&) const = default;
};

// Asks for the bodies of these members.
struct pull_message
{
    std::vector<std::uint64_t> ids_;

    bool operator==(pull_message const&) const = default;
};

struct records_message
{
    std::vector<target_record> records_;

    bool operator==(records_message const&) const = default;
};

// Hashes of the children of one node of the hash tree; level_ is the
// children's, prefix_ the node's.
struct tree_message
{
    std::uint8_t level_ = 1;
    std::uint32_t prefix_ = 0;
    std::vector<std::uint64_t> hashes_;

    bool operator==(tree_message const&) const = default;
};

// All items under one node of the hash tree.
struct branch_message
{
    std::uint8_t level_ = 0;
    std::uint32_t prefix_ = 0;
    std::vector<item> items_;

    bool operator==(branch_message const&) const = default;
};

// An agent's announcement and sign of life.
struct heartbeat_message
{
    target_record record_;
    // Hash of its organisation's name; 0 if the agent follows neither the
    // members of its service nor its organisation's template.
    std::uint64_t organisation_ = 0;
    revision revision_ = 0;        // of the template in force at the agent
    std::uint64_t peers_hash_ = 0; // over the members of its service
    std::uint64_t observers_hash_ = 0;

    bool operator==(heartbeat_message const&) const = default;
};

// known_ is what the balancer holds of the agent; observers_ is empty if the
// agent's set is right.
struct heartbeat_ack
{
    item known_;
    std::vector<contact> observers_;

    bool operator==(heartbeat_ack const&) const = default;
};

// Asks for one part of a template that is newer than revision_ - 1.
struct template_request
{
    std::uint64_t organisation_ = 0;
    revision revision_ = 0;
    std::uint32_t index_ = 0;

    bool operator==(template_request const&) const = default;
};

// One part of the store's value for a template.
struct template_chunk
{
    std::string organisation_;
    revision revision_ = 0;
    std::uint32_t index_ = 0;
    std::uint32_t count_ = 1;
    std::string bytes_;

    bool operator==(template_chunk const&) const = default;
};

// Asks a balancer whether it knows targets that the asker doesn't know.
struct view_question
{
    std::uint32_t round_ = 0;
    std::uint64_t targets_hash_ = 0; // over the identifiers known to the asker

    bool operator==(view_question const&) const = default;
};

struct view_answer
{
    std::uint32_t round_ = 0; // as in the question
    std::uint64_t targets_hash_ = 0;
    // False if the sender has just started or most others don't answer it:
    // then it knows too little to confirm anything.
    bool can_confirm_ = false;
    // If the hashes differ: targets that joined or ended here, newest first.
    std::vector<std::uint64_t> latest_changes_;

    bool operator==(view_answer const&) const = default;
};

using control_message =
    std::variant<ping_message, pong_message, probe_request, probe_answer,
                 digest_message, pull_message, records_message, tree_message,
                 branch_message, heartbeat_message, heartbeat_ack,
                 template_request, template_chunk, view_question, view_answer>;

// Actions that the core asks of the surrounding code.
struct send_action
{
    endpoint to_;
    control_message message_;
};

// A member's record was superseded.
struct member_action
{
    target_record record_;
};

// A template is in force here.
struct template_action
{
    std::string organisation_;
    revision revision_ = 0;
    std::string value_;  // as in the store
    std::string source_; // "store" or the control endpoint of a peer
};

enum class report_kind : std::uint8_t
{
    refused_older,          // a store or peer showed an older revision
    refused_invalid,        // a template failed its check
    refused_conflict,       // one revision with two different values
    self_suspected,         // most others don't answer: deaths aren't declared
    declared_dead,          // this process was declared dead and comes back
    paused,                 // the event loop stood still
    member_dead,            // this process declared a member dead
    self_suspicion_ended,   // most others answer again
    balancers_silent,       // no other balancer was heard for 1.75 s
    balancers_reachable,    // one was heard again
    view_unconfirmed,       // others don't confirm the targets that are known
    view_unconfirmed_ended, // they do, or nobody wants it any more
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(report_kind::count)>
    report_kind_names{"refused_older",   "refused_invalid",  "refused_conflict",
                      "self_suspected",  "declared_dead",    "paused",
                      "member_dead",     "self_trusted",     "balancers_silent",
                      "balancers_heard", "view_unconfirmed", "view_settled"};

struct report_action
{
    report_kind kind_ = report_kind::count;
    std::string text_;
};

// A probe of this process was answered.
struct round_trip_action
{
    duration round_trip_time_{};
};

// Others know no target that isn't known here, as of this time.
struct view_confirmed_action
{
    time_point requested_at_;
};

using control_action =
    std::variant<send_action, member_action, template_action, report_action,
                 round_trip_action, view_confirmed_action>;

} // namespace daisytrail
