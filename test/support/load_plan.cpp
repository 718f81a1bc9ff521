// Parsing of load plans and formatting of load reports.
#include "support/load_plan.hpp"

#include <daisytrail/error.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <sstream>

namespace daisytrail::test
{

namespace
{

struct plan_field
{
    std::string_view name_;
    double service_plan::*member_;
};

constexpr std::array<plan_field, 11> plan_fields{{
    {"feeds", &service_plan::feeds_},
    {"orders", &service_plan::orders_},
    {"fetches", &service_plan::fetches_},
    {"stragglers", &service_plan::stragglers_},
    {"uploads", &service_plan::uploads_},
    {"work_ms", &service_plan::work_ms_},
    {"straggler_ms", &service_plan::straggler_ms_},
    {"upload_kb", &service_plan::upload_kb_},
    {"crest_factor", &service_plan::peak_factor_},
    {"crest_from_s", &service_plan::peak_start_s_},
    {"crest_to_s", &service_plan::peak_end_s_},
}};

double parse_number(std::string const& text, std::string const& name)
{
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || value < 0)
    {
        throw error(error_kind::invalid_argument,
                    name + ": found '" + text + "', expected a number from 0");
    }
    return value;
}

} // namespace

service_plan parse_plan(std::string const& text)
{
    std::istringstream words(text);
    std::string word;
    service_plan plan;
    while (words >> word)
    {
        auto const equals = word.find('=');
        if (equals == std::string::npos)
        {
            throw error(error_kind::invalid_argument,
                        "found '" + word + "', expected NAME=VALUE");
        }
        auto const name = word.substr(0, equals);
        auto const value = word.substr(equals + 1);
        if (plan.service_.empty())
        {
            plan.service_ = name;
            plan.address_ = parse_endpoint(value);
            continue;
        }
        auto const* const field =
            std::ranges::find(plan_fields, name, &plan_field::name_);
        if (field == plan_fields.end())
        {
            throw error(error_kind::invalid_argument,
                        "unknown field '" + name + "' of a load plan");
        }
        plan.*field->member_ = parse_number(value, name);
    }
    if (plan.service_.empty())
    {
        throw error(error_kind::invalid_argument, "the load plan is empty");
    }
    return plan;
}

std::uint64_t work_report::total() const
{
    return std::accumulate(results_.begin(), results_.end(), std::uint64_t{0});
}

namespace
{

double quantile(std::vector<double> values, double level)
{
    if (values.empty())
    {
        return 0;
    }
    auto const at = static_cast<std::ptrdiff_t>(
        level * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

double work_report::quantile_ms(double level) const
{
    return quantile(latencies_ms_, level);
}

boost::json::object to_json(service_report const& report)
{
    boost::json::object kinds;
    for (std::size_t kind = 0; kind < work_kind_count; ++kind)
    {
        auto const& work = report.work_[kind];
        if (work.total() == 0)
        {
            continue;
        }
        boost::json::object fields;
        for (std::size_t i = 0; i < work_result_count; ++i)
        {
            fields[work_result_names[i]] = work.results_[i];
        }
        fields["p50_ms"] = work.quantile_ms(0.5);
        fields["p99_ms"] = work.quantile_ms(0.99);
        fields["max_ms"] = work.quantile_ms(1);
        fields["refusal_p99_ms"] = quantile(work.refusal_latencies_ms_, 0.99);
        fields["longest_gap_ms"] = work.longest_gap_ms_;
        kinds[work_kind_names[kind]] = std::move(fields);
    }
    return {{"service", report.service_}, {"work", std::move(kinds)}};
}

std::string to_table(std::vector<service_report> const& reports)
{
    std::string text = "service          work       answered  refused  unknown"
                       "   broken    wrong   p50 ms   p99 ms\n";
    for (auto const& report : reports)
    {
        for (std::size_t kind = 0; kind < work_kind_count; ++kind)
        {
            auto const& work = report.work_[kind];
            if (work.total() == 0)
            {
                continue;
            }
            auto const of = [&work](work_result result)
            {
                return static_cast<unsigned long long>(
                    work.results_[static_cast<std::size_t>(result)]);
            };
            std::array<char, 160> line{};
            std::snprintf(
                line.data(), line.size(),
                "%-16s %-10s %8llu %8llu %8llu %8llu %8llu %8.1f %8.1f\n",
                report.service_.c_str(), work_kind_names[kind].data(),
                of(work_result::answered), of(work_result::refused),
                of(work_result::unknown),
                of(work_result::broken) + of(work_result::truncated) +
                    of(work_result::failed),
                of(work_result::wrong_answer) + of(work_result::wrong_service),
                work.quantile_ms(0.5), work.quantile_ms(0.99));
            text += line.data();
        }
    }
    return text;
}

} // namespace daisytrail::test
