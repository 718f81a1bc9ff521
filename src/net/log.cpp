// JSON lines through a glog sink.
#include "net/log.hpp"

#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <chrono>
#include <cstdio>
#include <string>

namespace daisytrail
{

namespace
{

// Written once by start_log() before any other thread runs.
std::string& process_name()
{
    static std::string name;
    return name;
}

// Passes glog's own messages on unchanged; ours are JSON objects already.
class json_sink : public google::LogSink
{
public:
    void send(google::LogSeverity, char const*, char const*, int,
              std::tm const*, char const* message, std::size_t length) override
    {
        std::string line(message, length);
        line += '\n';
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
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
