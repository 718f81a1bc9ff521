// Load plan of each service and report of the load tool.
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

// Kinds of work that callers request.
enum class work_kind : std::uint8_t
{
    feed,      // a stream that is open from the start to the end of the load
    order,     // a request that must not run twice
    fetch,     // a short, idempotent request
    straggler, // a fetch with a service time many times longer
    upload,    // a request with a large body
    count
};

inline constexpr std::size_t work_kind_count =
    static_cast<std::size_t>(work_kind::count);

inline constexpr std::array<std::string_view, work_kind_count> work_kind_names{
    "feed", "order", "fetch", "straggler", "upload"};

// Load on one service.
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
    double peak_factor_ = 1;  // multiplies the arrival rates during the peak
    double peak_start_s_ = 0; // start of the peak
    double peak_end_s_ = 0;   // end of the peak
};

// Parses "NAME=ADDRESS:PORT feeds=100 orders=50"; throws
// error(invalid_argument).
service_plan parse_plan(std::string const& text);

// Outcome of a request as its caller saw it.
enum class work_result : std::uint8_t
{
    answered,      // complete and correct
    refused,       // outcome header "not-run"
    unknown,       // outcome header "unknown"
    broken,        // the flow ended without an answer
    truncated,     // an incomplete answer
    wrong_answer,  // another request's answer or corrupt content
    wrong_service, // another service's answer
    failed,        // any other status
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
    // Times from the intended start to the answer or the refusal.
    std::vector<double> latencies_ms_;
    std::vector<double> refusal_latencies_ms_;
    double longest_gap_ms_ = 0; // between successive lines of a feed

    std::uint64_t total() const;
    double quantile_ms(double level) const;
};

struct service_report
{
    std::string service_;
    std::array<work_report, work_kind_count> work_;
};

// Identifiers of orders by outcome, for comparison with the ledgers.
struct order_log
{
    std::vector<std::string> answered_;
    std::vector<std::string> refused_;
    std::vector<std::string> unknown_;
};

// Comparison of the orders' outcomes with the backend servers' ledgers.
struct ledger_report
{
    std::uint64_t started_ = 0;
    std::uint64_t started_twice_ = 0;    // orders that ran more than once
    std::uint64_t refused_but_ran_ = 0;  // refused as "not-run" but started
    std::uint64_t answered_not_run_ = 0; // answered but never finished
    std::uint64_t wrong_service_ = 0;    // requests of another service
};

boost::json::object to_json(service_report const& report);
std::string to_table(std::vector<service_report> const& reports);

} // namespace daisytrail::test
