// Plan and report of the load tool.
#pragma once

#include <daisytrail/types.hpp>

#include <boost/json/object.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail::test
{

// Kinds of work that callers do.
enum class work_kind : std::uint8_t
{
    feed,      // a standing feed, open from the start until the load ends
    order,     // an order that may not be repeated
    fetch,     // a short, repeatable fetch
    straggler, // a fetch that runs many times longer
    upload,    // a large request body
    count
};

inline constexpr std::size_t work_kind_count =
    static_cast<std::size_t>(work_kind::count);

inline constexpr std::array<std::string_view, work_kind_count> work_kind_names{
    "feed", "order", "fetch", "straggler", "upload"};

// What to do to one service.
struct service_plan
{
    std::string service_;
    endpoint address_;
    double feeds_ = 0;      // open feeds
    double orders_ = 0;     // arrivals a second
    double fetches_ = 0;    // arrivals a second
    double stragglers_ = 0; // arrivals a second
    double uploads_ = 0;    // arrivals a second
    double work_ms_ = 5;    // service time of orders and fetches
    double straggler_ms_ = 150;
    double upload_kb_ = 2'000;
    double peak_factor_ = 1;  // arrivals are multiplied by it
    double peak_start_s_ = 0; // from this second
    double peak_end_s_ = 0;   // to this second
};

// "NAME=ADDRESS:PORT feeds=100 orders=50"; throws error(invalid_argument).
service_plan parse_plan(std::string const& text);

// How one piece of work ended, as its caller saw it.
enum class work_result : std::uint8_t
{
    answered,      // whole and right
    refused,       // told "not run"
    unknown,       // told "outcome unknown"
    broken,        // the flow ended without an answer
    truncated,     // part of an answer
    wrong_answer,  // another request's answer or damaged content
    wrong_service, // another service's answer
    failed,        // another status
    count
};

inline constexpr std::size_t work_result_count =
    static_cast<std::size_t>(work_result::count);

inline constexpr std::array<std::string_view, work_result_count>
    work_result_names{"answered",  "refused",      "unknown",       "broken",
                      "truncated", "wrong_answer", "wrong_service", "failed"};

// Results of one kind of work on one service.
struct work_report
{
    std::array<std::uint64_t, work_result_count> results_{};
    std::vector<double> latencies_ms_; // of answered work, from intended start
    std::vector<double> refusal_latencies_ms_; // time until "not run" was told
    double longest_gap_ms_ = 0;                // between two lines of a feed

    std::uint64_t total() const;
    double quantile_ms(double level) const;
};

struct service_report
{
    std::string service_;
    std::array<work_report, work_kind_count> work_;
};

// Order identifiers by how they ended, for comparison with the ledgers.
struct order_log
{
    std::vector<std::string> answered_;
    std::vector<std::string> refused_;
    std::vector<std::string> unknown_;
};

// What the backend servers' ledgers say of the orders.
struct ledger_report
{
    std::uint64_t started_ = 0;
    std::uint64_t started_twice_ = 0;    // started more than once
    std::uint64_t refused_but_ran_ = 0;  // told "not run", yet started
    std::uint64_t answered_not_run_ = 0; // answered, yet never finished
    std::uint64_t wrong_service_ = 0;    // requests of another service
};

boost::json::object to_json(service_report const& report);
std::string to_table(std::vector<service_report> const& reports);

} // namespace daisytrail::test
