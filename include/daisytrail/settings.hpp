// Settings of the processes: JSON with comments, checked whole.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/types.hpp>

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
    std::uint32_t control_bytes_per_second_ = 9'000;
};

struct balancer_settings
{
    common_settings common_;
    endpoint data_;                // packets from the fabric
    std::vector<endpoint> stores_; // endpoints of the configuration store
};

struct agent_settings
{
    common_settings common_;
    std::string organisation_;
    std::string service_;
    endpoint tunnel_;              // packets from balancers and agents
    endpoint rpc_;                 // requests passed between agents
    std::vector<endpoint> fabric_; // where packets to callers go
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

} // namespace daisytrail
