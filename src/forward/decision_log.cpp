// Budget of log lines about single flows.
#include "forward/decision_log.hpp"

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr double lines_per_second = 100;
constexpr double burst_lines = 200;
constexpr double vital_lines = 50; // of the burst, kept from routine lines
constexpr std::chrono::seconds report_interval{1};

} // namespace

bool decision_log::admit(time_point now, line_rank rank)
{
    auto const passed = std::chrono::duration<double>(now - filled_).count();
    tokens_ = std::min(burst_lines, tokens_ + passed * lines_per_second);
    filled_ = now;
    double const kept = rank == line_rank::vital ? 0 : vital_lines;
    if (tokens_ < kept + 1)
    {
        ++suppressed_;
        return false;
    }
    --tokens_;
    return true;
}

void decision_log::report_suppressed(time_point now)
{
    if (suppressed_ > 0 && now >= reported_ + report_interval)
    {
        reported_ = now;
        log_event(log_level::warning, "flow_lines_suppressed",
                  {{"lines", std::exchange(suppressed_, 0)}});
    }
}

std::string flow_name(flow_key const& flow)
{
    return to_string(flow.caller_) + ">" + to_string(flow.vip_);
}

} // namespace daisytrail
