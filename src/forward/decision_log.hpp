// Log lines of decisions on single flows: as many as the budget allows, the
// rest counted and reported.
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
    important // may also use what routine lines leave
};

class decision_log
{
public:
    // True if a line may be written now; otherwise it counts as suppressed.
    bool admit(time_point now, line_priority priority = line_priority::routine);

    // Reports the lines that were suppressed, at most once a second.
    void report_suppressed(time_point now);

private:
    double tokens_ = 0; // lines that may be written
    time_point refilled_at_{};
    time_point reported_at_{};
    std::uint64_t suppressed_ = 0;
};

// "10.0.0.1:4000>198.18.0.1:443", as every line about a flow names it.
std::string flow_name(flow_key const& flow);

} // namespace daisytrail
