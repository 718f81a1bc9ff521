// Token bucket for log lines about single flows.
#include "forward/decision_log.hpp"

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr double lines_per_second = 100;
constexpr double burst_lines = 200;
// Part of the burst that is reserved for important lines.
constexpr double reserved_lines = 50;
constexpr std::chrono::seconds report_interval{1};

} // namespace

bool decision_log::admit(time_point now, line_priority priority)
{
    auto const elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(burst_lines, tokens_ + elapsed * lines_per_second);
    refilled_at_ = now;
    double const reserve =
        priority == line_priority::important ? 0 : reserved_lines;
    if (tokens_ < reserve + 1)
    {
        ++suppressed_;
        return false;
    }
    --tokens_;
    return true;
}

void decision_log::report_suppressed(time_point now)
{
    if (suppressed_ > 0 && now >= reported_at_ + report_interval)
    {
        reported_at_ = now;
        log_event(log_level::warning, "flow_lines_suppressed",
                  {{"lines", std::exchange(suppressed_, 0)}});
    }
}

std::string flow_name(flow_key const& flow)
{
    return to_string(flow.caller_) + ">" + to_string(flow.vip_);
}

} // namespace daisytrail
