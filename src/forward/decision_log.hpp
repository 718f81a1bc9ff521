// Rate limit (token bucket) for log lines about single flows. Suppressed lines
// are counted and the count is logged.
#pragma once

#include "net/log.hpp"

#include <daisytrail/types.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace daisytrail
{

enum class line_priority : std::uint8_t
{
    routine,
    important // may also use the tokens that are reserved
};

class decision_log
{
public:
    // Returns true if a line may be written now; otherwise counts it as
    // suppressed.
    bool admit(time_point now, line_priority priority = line_priority::routine);

    // Logs the number of suppressed lines, at most once a second.
    void report_suppressed(time_point now);

private:
    double tokens_ = 0; // lines that may be written now
    time_point refilled_at_{};
    time_point reported_at_{};
    std::uint64_t suppressed_ = 0;
};

// The flow's name in log lines, such as "10.0.0.1:4000>198.18.0.1:443".
std::string flow_name(flow_key const& flow);

} // namespace daisytrail
