// Settings of the processes. Settings files are JSON with comments; parsing
// reports all errors at once.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/types.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Settings that all daemons share.
struct common_settings
{
    std::string name_; // unique in the fleet
    std::string failure_domain_;
    endpoint control_; // for control datagrams
    endpoint http_;    // for health, metrics and announcements
    // Control endpoints to join the fleet through. They may be empty: a process
    // then waits until the settings name some.
    std::vector<endpoint> seeds_;
    bool has_seeds_field_ = false;
    // Message authentication keys, 32 bytes each, in hex. The first key signs.
    std::vector<std::string> keys_;
    std::uint16_t seed_port_ = 0; // replaces the port of all seeds; 0: unused
    // Limit of the control traffic that the daemon sends.
    std::uint32_t control_bytes_per_second_ = 9'000;
};

// Longest value of a store whose settings don't tell it.
inline constexpr std::uint32_t default_store_value_bytes = 1U << 20U;

// Settings of a balancer.
struct balancer_settings
{
    common_settings common_;
    endpoint data_;                // packets from the fabric
    std::vector<endpoint> stores_; // endpoints of the configuration store
    // Number of balancers that watch the store. The other balancers receive
    // changes from them.
    std::uint32_t store_watchers_ = 2;
    // Longest value that the store takes. A balancer takes each document that
    // the store has acknowledged.
    std::uint32_t store_value_bytes_ = default_store_value_bytes;
    // Delay from the store's acknowledgement of a change until the change is in
    // force.
    std::chrono::milliseconds apply_within_{12'000};
};

// Settings of an agent.
struct agent_settings
{
    common_settings common_;
    std::string organisation_;
    std::string service_;
    endpoint tunnel_;              // receives packets of balancers and agents
    endpoint rpc_;                 // receives requests of other agents
    std::vector<endpoint> fabric_; // next hops of packets to callers
    // False for an agent that uses neither the members of its service nor the
    // template of its organisation.
    bool follows_service_ = true;
};

// Settings of a balancer of services in mode `forward`.
struct forward_balancer_settings
{
    balancer_settings balancer_;
    endpoint relay_;                // exchanges datagrams with agents
    std::uint16_t caller_port_ = 0; // port of callers' VMs; 0: that of data_
    // Cost of traffic to another failure domain: how much longer a flow may
    // wait for a backend server in its own failure domain, for each kilobyte
    // sent.
    double cross_domain_ms_per_kilobyte_ = 15;
};

// Settings of an agent of a service in mode `forward`.
struct forward_agent_settings
{
    agent_settings agent_;          // tunnel_ receives balancers' datagrams
    endpoint backend_;              // destination of packets to the backend
    endpoint outbound_;             // receives packets of the backend server
    std::uint16_t caller_port_ = 0; // port of callers' VMs; 0: that of tunnel_
    // Age beyond which callers and backend servers don't rely on a flow that
    // has been idle since the agent's start.
    std::chrono::milliseconds flow_lifetime_ = max_flow_idle_time;
};

// Result of parsing. value_ is usable only if errors_ is empty.
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
