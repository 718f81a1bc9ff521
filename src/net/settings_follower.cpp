// Reads the settings file again, and tells of what changed.
#include "net/settings_follower.hpp"

#include "config/settings_change.hpp"
#include "config/settings_file.hpp"
#include "net/log.hpp"

#include <boost/json/array.hpp>

#include <csignal>
#include <utility>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds read_interval{1'000};

json::array to_json(std::vector<endpoint> const& seeds)
{
    json::array result;
    for (auto const& seed : seeds)
    {
        result.emplace_back(to_string(seed));
    }
    return result;
}

json::array to_json(std::vector<std::string> const& names)
{
    json::array result;
    for (auto const& name : names)
    {
        result.emplace_back(name);
    }
    return result;
}

} // namespace

settings_follower::settings_follower(boost::asio::io_context& io,
                                     std::string path, parser parse,
                                     seeds_handler on_seeds)
    : path_(std::move(path)), parse_(std::move(parse)),
      on_seeds_(std::move(on_seeds)),
      timer_(io, read_interval, [this] { reload(); }), signals_(io, SIGHUP)
{
    wait_for_signal();
    reload();
    timer_.start();
}

settings_follower::~settings_follower()
{
    timer_.stop();
    boost::system::error_code ignored;
    signals_.clear(ignored);
    ignore_early_reload_signal();
}

void settings_follower::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code code, int)
        {
            if (!code)
            {
                log_event(log_level::info, "reload", {{"path", path_}});
                reload();
                wait_for_signal();
            }
        });
}

void settings_follower::reload()
{
    std::string text;
    try
    {
        text = read_file(path_);
    }
    catch (error const& failure)
    {
        log_failure(failure.what());
        return;
    }
    if (text == applied_text_)
    {
        seen_text_ = std::move(text);
        failure_.clear();
        return;
    }
    if (text == seen_text_)
    {
        return;
    }
    seen_text_ = text;
    try
    {
        apply(text);
        failure_.clear();
    }
    catch (error const& failure)
    {
        log_failure(failure.what());
    }
}

void settings_follower::apply(std::string const& text)
{
    auto const settings = parse_(text);
    auto const former_text = std::exchange(applied_text_, text);
    auto const former_seeds = std::exchange(seeds_, settings.seeds_);
    bool const is_start = former_text.empty();
    if (seeds_.empty() && (is_start || !former_seeds.empty()))
    {
        log_event(log_level::info, "no_seeds",
                  {{"effect", "waits until the settings name a balancer"}});
    }
    if (is_start)
    {
        return;
    }
    auto const fixed = changed_fixed_settings(former_text, text);
    if (!fixed.empty())
    {
        log_event(log_level::warning, "settings_need_restart",
                  {{"changed", to_json(fixed)}});
    }
    if (former_seeds != seeds_)
    {
        log_event(
            log_level::info, "seeds_changed",
            {{"before", to_json(former_seeds)}, {"after", to_json(seeds_)}});
        on_seeds_(seeds_);
    }
}

void settings_follower::log_failure(std::string const& reason)
{
    if (std::exchange(failure_, reason) != reason)
    {
        log_event(
            log_level::warning, "settings_refused",
            {{"reason", reason}, {"effect", "the settings stay as they were"}});
    }
}

void ignore_early_reload_signal()
{
    std::signal(SIGHUP, SIG_IGN);
}

} // namespace daisytrail
