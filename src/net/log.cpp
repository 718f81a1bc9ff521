// Writes JSON lines through a glog sink.
#include "net/log.hpp"

#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace daisytrail
{

namespace
{

// Set once by start_log(), before other threads start.
std::string& process_name()
{
    static std::string name;
    return name;
}

// Maximum line length. A pipe that polls as writable accepts PIPE_BUF bytes
// without blocking.
constexpr std::size_t max_line_bytes = 4'096;

// Writes lines to standard output without blocking. Lines that a slow reader
// doesn't accept in time are lost; the next line written reports their number.
class json_sink : public google::LogSink
{
public:
    void send(google::LogSeverity, char const*, char const*, int,
              std::tm const*, char const* message, std::size_t length) override
    {
        std::string line(message, length);
        if (lost_lines_ > 0 && line.ends_with('}'))
        {
            line.pop_back();
            line +=
                ",\"lines_lost_before\":" + std::to_string(lost_lines_) + '}';
        }
        line.resize(std::min(line.size(), max_line_bytes - 1));
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        bool const is_writable =
            ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        bool const is_written =
            is_writable && ::write(STDOUT_FILENO, line.data(), line.size()) ==
                               static_cast<ssize_t>(line.size());
        lost_lines_ = is_written ? 0 : lost_lines_ + 1;
    }

private:
    std::uint64_t lost_lines_ = 0; // since the last line that was written
};

} // namespace

void start_log(std::string_view program, std::string_view process)
{
    static std::string const program_name(program);
    static json_sink sink;
    process_name() = process;
    FLAGS_logtostderr = false;
    FLAGS_minloglevel = google::GLOG_INFO;
    google::SetStderrLogging(google::NUM_SEVERITIES);
    google::InitGoogleLogging(program_name.c_str());
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
    {
        google::SetLogDestination(severity, "");
    }
    google::AddLogSink(&sink);
}

void log_event(log_level level, std::string_view event,
               boost::json::object const& fields)
{
    static constexpr std::string_view level_names[] = {"info", "warning",
                                                       "error"};
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    boost::json::object line;
    line["time_ms"] = now.count();
    line["level"] = level_names[static_cast<std::size_t>(level)];
    line["process"] = process_name();
    line["event"] = event;
    for (auto const& [key, value] : fields)
    {
        line[key] = value;
    }
    auto const text = boost::json::serialize(line);
    switch (level)
    {
    case log_level::info:
        LOG(INFO) << text;
        break;
    case log_level::warning:
        LOG(WARNING) << text;
        break;
    case log_level::error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace daisytrail
