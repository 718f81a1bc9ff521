// Settings of the processes: JSON with comments, checked whole.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/types.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Settings that every daemon has.
struct common_settings
{
    std::string name_; // unique in the fleet
    std::string failure_domain_;
    endpoint control_;              // control datagrams
    endpoint http_;                 // health, metrics and announcements
    std::vector<endpoint> seeds_;   // control endpoints to ask first
    std::vector<std::string> keys_; // hex, 32 bytes; the first one signs
    // Replaces the port of each seed; 0 keeps them.
    std::uint16_t seed_port_ = 0;
    std::uint32_t control_bytes_per_second_ = 9'000;
};

struct balancer_settings
{
    common_settings common_;
    endpoint data_;                // packets from the fabric
    std::vector<endpoint> stores_; // endpoints of the configuration store
    // Balancers that read the store; others hear of changes from these.
    std::uint32_t store_watchers_ = 2;
    // A change is in force this long after the store has acknowledged it.
    std::chrono::milliseconds apply_within_{12'000};
};

struct agent_settings
{
    common_settings common_;
    std::string organisation_;
    std::string service_;
    endpoint tunnel_;              // packets from balancers and agents
    endpoint rpc_;                 // requests passed between agents
    std::vector<endpoint> fabric_; // where packets to callers go
    // False for an agent that needs neither the members of its service nor its
    // organisation's template.
    bool follows_service_ = true;
};

// Settings of a balancer of forwarded flows.
struct forward_balancer_settings
{
    balancer_settings balancer_;
    endpoint relay_;                // datagrams from and to agents
    std::uint16_t caller_port_ = 0; // of callers' VMs; default: data_'s port
    // Time that a kilobyte to another failure domain is worth waiting for a
    // backend server of the own one.
    double cross_domain_ms_per_kilobyte_ = 15;
};

// Settings of an agent of forwarded flows.
struct forward_agent_settings
{
    agent_settings agent_;          // tunnel_ takes datagrams from balancers
    endpoint backend_;              // packets to the backend server
    endpoint outbound_;             // packets from the backend server
    std::uint16_t caller_port_ = 0; // of callers' VMs; default: tunnel_'s port
};

// A parse result: errors_ is empty if and only if value_ is usable.
template <typename Settings>
struct parsed_settings
{
    Settings value_;
    std::vector<template_error> errors_;
};

parsed_settings<balancer_settings>
parse_balancer_settings(std::string_view text);
parsed_settings<agent_settings> parse_agent_settings(std::string_view text);
parsed_settings<forward_balancer_settings>
parse_forward_balancer_settings(std::string_view text);
parsed_settings<forward_agent_settings>
parse_forward_agent_settings(std::string_view text);

} // namespace daisytrail
