// Settings and random decisions of the link's fault model.
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

double require_number(std::string_view name, json::value const& value,
                      double max_value)
{
    if (!value.is_number() || value.to_number<double>() < 0 ||
        value.to_number<double>() > max_value)
    {
        reject(name, "a number from 0 to " + std::to_string(max_value));
    }
    return value.to_number<double>();
}

template <auto Member>
void set_time(std::string_view name, json::value const& value,
              link_settings& out)
{
    auto const milliseconds = require_number(name, value, max_milliseconds);
    out.*Member = std::chrono::microseconds(
        static_cast<std::int64_t>(milliseconds * microseconds_per_millisecond));
}

template <auto Member>
void set_probability(std::string_view name, json::value const& value,
                     link_settings& out)
{
    out.*Member = require_number(name, value, 1);
}

void set_rate(std::string_view name, json::value const& value,
              link_settings& out)
{
    out.bytes_per_second_ = static_cast<std::uint64_t>(
        require_number(name, value, max_bytes_per_second));
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

constexpr std::array<setting, 8> settings_table{{
    {"delay_ms", set_time<&link_settings::delay_>},
    {"jitter_ms", set_time<&link_settings::jitter_>},
    {"loss", set_probability<&link_settings::loss_>},
    {"duplicate", set_probability<&link_settings::duplicate_>},
    {"reorder", set_probability<&link_settings::reorder_>},
    {"reorder_ms", set_time<&link_settings::reorder_delay_>},
    {"bytes_per_second", set_rate},
    {"cut", set_cut},
}};

} // namespace

void change_settings(link_settings& settings, json::object const& changes)
{
    auto changed = settings;
    for (auto const& member : changes)
    {
        std::string_view const name(member.key().data(), member.key().size());
        auto const* const found = std::find_if(
            settings_table.begin(), settings_table.end(),
            [&](setting const& entry) { return entry.name_ == name; });
        if (found == settings_table.end())
        {
            reject(name, "a known field");
        }
        found->set_(name, member.value(), changed);
    }
    settings = changed;
}

std::vector<link_faults::clock_time>
link_faults::arrival_times(std::size_t bytes, clock_time now)
{
    if (settings_.cut_ || draw(settings_.loss_))
    {
        return {};
    }
    auto const sent = transmission_end(bytes, now);
    std::vector<clock_time> times{sent + draw_transit_time()};
    if (draw(settings_.reorder_))
    {
        times.front() += settings_.reorder_delay_;
    }
    if (draw(settings_.duplicate_))
    {
        times.push_back(sent + draw_transit_time());
    }
    return times;
}

link_faults::clock_time link_faults::stream_arrival_time(std::size_t bytes,
                                                         clock_time now)
{
    last_stream_arrival_ =
        std::max(last_stream_arrival_,
                 transmission_end(bytes, now) + draw_transit_time());
    return last_stream_arrival_;
}

bool link_faults::draw(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

link_faults::clock_time link_faults::transmission_end(std::size_t bytes,
                                                      clock_time now)
{
    if (settings_.bytes_per_second_ == 0)
    {
        return now;
    }
    auto const seconds = std::chrono::duration<double>(
        static_cast<double>(bytes) /
        static_cast<double>(settings_.bytes_per_second_));
    line_free_at_ =
        std::max(line_free_at_, now) +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            seconds);
    return line_free_at_;
}

std::chrono::microseconds link_faults::draw_transit_time()
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
