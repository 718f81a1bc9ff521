// Decisions of the fault proxy.
#include "support/link_faults.hpp"

#include <daisytrail/error.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr double microseconds_per_millisecond = 1'000;
constexpr double max_milliseconds = 600'000;
constexpr double max_bytes_per_second = 1e12;

[[noreturn]] void reject(std::string_view name, std::string_view expected)
{
    throw error(error_kind::invalid_argument,
                std::string(name) + ": expected " + std::string(expected));
}

double number_in(std::string_view name, json::value const& value, double most)
{
    if (!value.is_number() || value.to_number<double>() < 0 ||
        value.to_number<double>() > most)
    {
        reject(name, "a number from 0 to " + std::to_string(most));
    }
    return value.to_number<double>();
}

template <auto Member>
void set_time(std::string_view name, json::value const& value,
              link_settings& out)
{
    auto const milliseconds = number_in(name, value, max_milliseconds);
    out.*Member = std::chrono::microseconds(
        static_cast<std::int64_t>(milliseconds * microseconds_per_millisecond));
}

template <auto Member>
void set_share(std::string_view name, json::value const& value,
               link_settings& out)
{
    out.*Member = number_in(name, value, 1);
}

void set_rate(std::string_view name, json::value const& value,
              link_settings& out)
{
    out.bytes_per_second_ = static_cast<std::uint64_t>(
        number_in(name, value, max_bytes_per_second));
}

void set_cut(std::string_view name, json::value const& value,
             link_settings& out)
{
    if (!value.is_bool())
    {
        reject(name, "true or false");
    }
    out.cut_ = value.get_bool();
}

struct setting
{
    std::string_view name_;
    void (*set_)(std::string_view, json::value const&, link_settings&);
};

constexpr std::array<setting, 8> table{{
    {"delay_ms", set_time<&link_settings::delay_>},
    {"jitter_ms", set_time<&link_settings::jitter_>},
    {"loss", set_share<&link_settings::loss_>},
    {"duplicate", set_share<&link_settings::duplicate_>},
    {"reorder", set_share<&link_settings::reorder_>},
    {"reorder_ms", set_time<&link_settings::reorder_delay_>},
    {"bytes_per_second", set_rate},
    {"cut", set_cut},
}};

} // namespace

void change_settings(link_settings& settings, json::object const& wanted)
{
    auto changed = settings;
    for (auto const& member : wanted)
    {
        std::string_view const name(member.key().data(), member.key().size());
        auto const* const found = std::find_if(table.begin(), table.end(),
                                               [&](setting const& entry)
                                               { return entry.name_ == name; });
        if (found == table.end())
        {
            reject(name, "a known field");
        }
        found->set_(name, member.value(), changed);
    }
    settings = changed;
}

std::vector<link_faults::clock_time> link_faults::arrivals(std::size_t bytes,
                                                           clock_time now)
{
    if (settings_.cut_ || happens(settings_.loss_))
    {
        return {};
    }
    auto const sent = after_queue(bytes, now);
    std::vector<clock_time> times{sent + transit()};
    if (happens(settings_.reorder_))
    {
        times.front() += settings_.reorder_delay_;
    }
    if (happens(settings_.duplicate_))
    {
        times.push_back(sent + transit());
    }
    return times;
}

link_faults::clock_time link_faults::stream_arrival(std::size_t bytes,
                                                    clock_time now)
{
    last_of_stream_ =
        std::max(last_of_stream_, after_queue(bytes, now) + transit());
    return last_of_stream_;
}

bool link_faults::happens(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

link_faults::clock_time link_faults::after_queue(std::size_t bytes,
                                                 clock_time now)
{
    if (settings_.bytes_per_second_ == 0)
    {
        return now;
    }
    auto const seconds = std::chrono::duration<double>(
        static_cast<double>(bytes) /
        static_cast<double>(settings_.bytes_per_second_));
    line_free_ =
        std::max(line_free_, now) +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            seconds);
    return line_free_;
}

std::chrono::microseconds link_faults::transit()
{
    if (settings_.jitter_.count() == 0)
    {
        return settings_.delay_;
    }
    std::uniform_int_distribution<std::int64_t> extra(
        0, settings_.jitter_.count());
    return settings_.delay_ + std::chrono::microseconds(extra(random_));
}

} // namespace daisytrail
