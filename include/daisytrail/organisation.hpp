// Organisation template: the configuration of one organisation that operators
// write. parse_organisation() parses and validates it; all processes use the
// types below.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// How the flows of a service are handled.
enum class service_mode : std::uint8_t
{
    stream,   // the agent splices each flow to the backend server
    requests, // the agent schedules HTTP/1.1 requests one by one
    forward,  // packets are forwarded; the backend server terminates TCP
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(service_mode::count)>
    service_mode_names{"stream", "requests", "forward"};

// A class of requests: which requests it matches and how they are scheduled.
struct request_class
{
    std::string name_;
    std::vector<std::string> methods_; // empty: matches every method
    std::string path_prefix_ = "/";
    bool repeatable_ = false;   // idempotent: may be run more than once
    bool long_running_ = false; // never takes the last of several slots
    // The response doesn't end by itself, e.g. that of an event feed. Such a
    // request occupies a connection but no slot, and its deadline applies only
    // to the first byte of the response. `standing` in the settings.
    bool has_endless_response_ = false;
    std::uint32_t priority_ = 1; // 0 is the highest priority, shed last
    std::chrono::milliseconds deadline_{30'000};
    std::chrono::milliseconds expected_{100}; // initial run time estimate

    bool operator==(request_class const&) const = default;
};

// Bounds of service_limits::idle_timeout_.
inline constexpr std::chrono::seconds min_idle_timeout{1};
inline constexpr std::chrono::hours max_idle_timeout{24};

// Resource limits and timeouts of a service. The counts apply to each target.
struct service_limits
{
    std::uint32_t connections_ = 2'000;      // open flows
    std::uint32_t half_open_ = 256;          // incomplete TCP handshakes
    std::uint32_t queue_ = 64;               // queued requests
    std::uint64_t body_bytes_ = 64ULL << 20; // of one request body
    std::uint32_t header_bytes_ = 16'384;    // of one request header
    std::chrono::milliseconds header_timeout_{10'000};
    std::chrono::milliseconds idle_timeout_{300'000};
    std::chrono::milliseconds drain_timeout_{3'600'000}; // also ends feeds

    bool operator==(service_limits const&) const = default;
};

// Configuration of one service.
struct service_template
{
    std::string name_;  // unique in the organisation
    service_id id_ = 0; // hash_name("organisation/service")
    // VIPs of this service only. A service in mode `forward` may have none,
    // since routes lead flows to it.
    std::vector<endpoint> vips_;
    service_mode mode_ = service_mode::requests;
    std::vector<std::string> failure_domains_;
    std::vector<request_class> classes_; // a request gets the first match
    service_limits limits_;
    double retry_budget_ = 0.1; // retries per first attempt

    bool operator==(service_template const&) const = default;
};

// True if targets in the failure domain take new work for the service. A
// service without a list of failure domains runs in all of them.
bool runs_in(service_template const& service, std::string_view failure_domain);

// Share of a route's new flows that goes to one service.
struct route_share
{
    service_id service_ = 0; // of the same organisation, in mode `forward`
    std::uint32_t weight_ = 1;

    bool operator==(route_share const&) const = default;
};

// A VIP whose new flows are distributed over services in mode `forward`.
struct route_template
{
    std::string name_;
    endpoint vip_; // not a VIP of any other route or service
    std::vector<route_share> shares_;

    bool operator==(route_template const&) const = default;
};

// Configuration of one organisation: its services and routes.
struct organisation_template
{
    std::string name_;
    std::vector<service_template> services_;
    std::vector<route_template> routes_ = {};

    bool operator==(organisation_template const&) const = default;
};

// One error in a template or settings file.
struct template_error
{
    std::string path_;       // for example "services[0].limits.queue"
    std::size_t line_ = 0;   // counted from 1; 0: not at a line of the file
    std::size_t column_ = 0; // counted from 1
    std::string found_;
    std::string expected_;

    bool operator==(template_error const&) const = default;
};

// Result of parsing. The template is usable only if there are no errors.
struct parsed_organisation
{
    organisation_template value_;
    std::vector<template_error> errors_;
};

// Parses a template in JSON with comments and reports all errors at once:
//   auto parsed = parse_organisation(text);
//   if (!parsed.errors_.empty()) ...
parsed_organisation parse_organisation(std::string_view text);

// Parses a template that a store has acknowledged. The bounds of an operator's
// text on its length, lists, names and weights don't apply: a process takes
// what the store took.
parsed_organisation parse_stored_organisation(std::string_view text);

// Formats an error, for example as
// "12:7: services[0].mode: found 'strem', expected 'stream' or 'requests'".
std::string to_string(template_error const& fault);

} // namespace daisytrail
