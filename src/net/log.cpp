// Writes JSON lines through a glog sink.
#include "net/log.hpp"

#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// Set once by start_log(), before other threads start.
std::string& process_name()
{
    static std::string name;
    return name;
}

// Bytes of a line that are left for the number of lost lines.
constexpr std::size_t lost_lines_reserve = 64;

// Lengths to which the texts of a line are cut. The first one with which the
// line fits applies.
constexpr std::array<std::size_t, 3> text_limits{512, 128, 32};

// Returns the length of the UTF-8 character at the start of `text`, or 0 if
// there is none.
std::size_t utf8_length(std::string_view text)
{
    auto const lead = static_cast<unsigned char>(text.front());
    std::size_t const length = lead < 0x80            ? 1
                               : (lead >> 5U) == 0x6  ? 2
                               : (lead >> 4U) == 0xE  ? 3
                               : (lead >> 3U) == 0x1E ? 4
                                                      : 0;
    auto const rest = text.substr(0, length).substr(length > 0 ? 1 : 0);
    bool const is_whole = text.size() >= length;
    bool const continues = std::ranges::all_of(
        rest, [](char each)
        { return (static_cast<unsigned char>(each) >> 6U) == 0x2; });
    return is_whole && continues ? length : 0;
}

// Returns at most about `limit` bytes of the text, as valid UTF-8.
std::string cut_text(std::string_view text, std::size_t limit)
{
    std::string result;
    while (!text.empty() && result.size() < limit)
    {
        auto const length = utf8_length(text);
        result += length == 0 ? std::string_view("?") : text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    result += text.empty() ? "" : "...";
    return result;
}

json::value cut_value(json::value const& value, std::size_t limit)
{
    if (value.is_string())
    {
        return json::string(cut_text(value.get_string(), limit));
    }
    if (value.is_structured())
    {
        auto const text = json::serialize(value);
        auto cut = cut_text(text, limit);
        return cut == text ? value : json::value(json::string(cut));
    }
    return value;
}

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
        line.resize(std::min(line.size(), max_log_line_bytes - 1));
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

namespace detail
{

std::string format_log_line(json::object const& line)
{
    std::string text;
    for (auto const limit : text_limits)
    {
        json::object cut;
        for (auto const& [key, value] : line)
        {
            cut[key] = cut_value(value, limit);
        }
        text = json::serialize(cut);
        if (text.size() + lost_lines_reserve < max_log_line_bytes)
        {
            break;
        }
    }
    return text;
}

} // namespace detail

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
    auto const text = detail::format_log_line(line);
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
