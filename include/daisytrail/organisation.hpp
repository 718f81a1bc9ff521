// The organisation template: what operators fill in. Parsed and checked whole
// by parse_organisation(); every process works on this typed form.
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

enum class service_mode : std::uint8_t
{
    stream,   // bytes are spliced to the backend server
    requests, // HTTP/1.1 requests are scheduled one by one
    forward,  // packets are passed on; the backend server ends the flow
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(service_mode::count)>
    service_mode_names{"stream", "requests", "forward"};

// A class of requests: which it matches and how it is scheduled.
struct request_class
{
    std::string name_;
    std::vector<std::string> methods_; // empty: every method
    std::string path_prefix_ = "/";
    bool repeatable_ = false;   // may be run more than once
    bool long_running_ = false; // may never take the last slot
    // An answer without end, such as a feed: it holds a connection but no slot,
    // and its deadline bounds only the time to the first byte.
    bool standing_ = false;
    std::uint32_t priority_ = 1; // 0 is shed last
    std::chrono::milliseconds deadline_{30'000};
    std::chrono::milliseconds expected_{100}; // first guess of the run time

    bool operator==(request_class const&) const = default;
};

struct service_limits
{
    std::uint32_t connections_ = 2'000;      // open flows a target
    std::uint32_t half_open_ = 256;          // unfinished handshakes a target
    std::uint32_t queue_ = 64;               // waiting requests a target
    std::uint64_t body_bytes_ = 64ULL << 20; // one request body
    std::uint32_t header_bytes_ = 16'384;    // one request header
    std::chrono::milliseconds header_timeout_{10'000};
    std::chrono::milliseconds idle_timeout_{300'000};
    std::chrono::milliseconds drain_timeout_{3'600'000}; // feeds end by then

    bool operator==(service_limits const&) const = default;
};

struct service_template
{
    std::string name_;           // unique in the organisation
    service_id id_ = 0;          // hash_name("organisation/service")
    std::vector<endpoint> vips_; // no two services share one; none needed
                                 // in mode `forward`, which has routes
    service_mode mode_ = service_mode::requests;
    std::vector<std::string> failure_domains_;
    std::vector<request_class> classes_; // the first match decides
    service_limits limits_;
    double retry_budget_ = 0.1; // retries for each first attempt

    bool operator==(service_template const&) const = default;
};

// True if targets in the failure domain take new work for the service; a
// service that names no failure domain runs in all.
bool runs_in(service_template const& service, std::string_view failure_domain);

// A service's part of the new flows of a route.
struct route_share
{
    service_id service_ = 0; // of the same organisation, in mode `forward`
    std::uint32_t weight_ = 1;

    bool operator==(route_share const&) const = default;
};

// A VIP whose new flows go to services of mode `forward`.
struct route_template
{
    std::string name_;
    endpoint vip_; // no two routes or services share one
    std::vector<route_share> shares_;

    bool operator==(route_template const&) const = default;
};

struct organisation_template
{
    std::string name_;
    std::vector<service_template> services_;
    std::vector<route_template> routes_ = {};

    bool operator==(organisation_template const&) const = default;
};

// One fault in a template or settings file.
struct template_error
{
    std::string path_;       // "services[0].limits.queue"
    std::size_t line_ = 0;   // from 1; 0 if the file has no such line
    std::size_t column_ = 0; // from 1
    std::string found_;
    std::string expected_;

    bool operator==(template_error const&) const = default;
};

// Result of a parse: either no errors, or errors and an unusable template.
struct parsed_organisation
{
    organisation_template value_;
    std::vector<template_error> errors_;
};

// Parses JSON with comments and reports all errors at once:
//   auto parsed = parse_organisation(text);
//   if (!parsed.errors_.empty()) ...
parsed_organisation parse_organisation(std::string_view text);

// "12:7: services[0].mode: found 'strem', expected 'stream' or 'requests'".
std::string to_string(template_error const& fault);

} // namespace daisytrail
