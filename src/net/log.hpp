// Structured log: JSON lines written through glog.
#pragma once

#include <boost/json/object.hpp>

#include <string_view>

namespace daisytrail
{

enum class log_level
{
    info,
    warning,
    error
};

// Starts glog, which writes one JSON object per line to standard output. Every
// line contains `process`, the name of this process.
void start_log(std::string_view program, std::string_view process);

// Writes one line:
//   log_event(log_level::info, "flow_reset", {{"flows", 3}});
void log_event(log_level level, std::string_view event,
               boost::json::object const& fields = {});

} // namespace daisytrail
