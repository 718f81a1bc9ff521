// Structured log: JSON lines written through glog.
#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <string>
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

// Maximum length of a line. A pipe that polls as writable accepts PIPE_BUF
// bytes without blocking.
inline constexpr std::size_t max_log_line_bytes = 4'096;

// Writes one line. Long texts are cut, so that the line is whole JSON:
//   log_event(log_level::info, "flow_reset", {{"flows", 3}});
void log_event(log_level level, std::string_view event,
               boost::json::object const& fields = {});

namespace detail
{

// Returns the object as text of less than max_log_line_bytes. Bytes that aren't
// UTF-8 are replaced, and long texts, arrays and objects are cut.
std::string format_log_line(boost::json::object const& line);

} // namespace detail

} // namespace daisytrail
