// Parsing of announcements, heartbeat timeout and the ramp of a cold target.
#include "agent/announcement.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/parse.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr auto heartbeat_timeout = std::chrono::seconds(3);

// A new target's weight grows in steps, since each change of a weight moves
// flows' heads.
constexpr std::uint32_t ramp_steps = 4;
constexpr auto ramp_step_time = std::chrono::seconds(3);

std::uint32_t read_count(boost::json::object const& object, char const* name)
{
    constexpr std::int64_t largest = 1'000'000;
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 ||
        value->as_int64() > largest)
    {
        throw error(error_kind::invalid_argument,
                    std::string(name) + ": expected a number from 1 to " +
                        std::to_string(largest));
    }
    return static_cast<std::uint32_t>(value->as_int64());
}

std::string_view read_text(boost::json::object const& object, char const* name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        throw error(error_kind::invalid_argument,
                    std::string(name) + ": expected a string");
    }
    return value->as_string();
}

backend_state read_state(boost::json::object const& object)
{
    auto const name = read_text(object, "state");
    auto const at = std::ranges::find(backend_state_names, name);
    if (at == backend_state_names.end())
    {
        throw error(error_kind::invalid_argument,
                    "state: found '" + std::string(name) +
                        "', expected 'ready', 'draining' or 'left'");
    }
    return static_cast<backend_state>(at - backend_state_names.begin());
}

} // namespace

announcement parse_announcement(std::string_view text)
{
    boost::system::error_code code;
    auto const value = boost::json::parse(text, code);
    if (code || !value.is_object())
    {
        throw error(error_kind::invalid_argument, "expected a JSON object");
    }
    auto const& object = value.as_object();
    announcement result;
    result.address_ = parse_endpoint(read_text(object, "address"));
    result.slots_ = read_count(object, "slots");
    result.connections_ = read_count(object, "connections");
    result.state_ = read_state(object);
    return result;
}

void backend_monitor::on_announcement(announcement const& value, time_point now)
{
    bool const was_ready =
        is_fresh(now) && last_->state_ == backend_state::ready;
    if (!was_ready && value.state_ == backend_state::ready)
    {
        ready_since_ = now;
    }
    last_ = value;
    heard_ = now;
}

bool backend_monitor::is_fresh(time_point now) const
{
    return last_ && now - heard_ < heartbeat_timeout;
}

backend_status backend_monitor::status(time_point now) const
{
    backend_status result;
    if (last_)
    {
        result.address_ = last_->address_;
        result.slots_ = last_->slots_;
        result.connections_ = last_->connections_;
        result.ready_ = is_fresh(now) && last_->state_ != backend_state::left;
    }
    return result;
}

std::uint32_t backend_monitor::ramp_step(time_point now) const
{
    auto const steps = (now - ready_since_) / ramp_step_time + 1;
    return static_cast<std::uint32_t>(
        std::min<decltype(steps)>(steps, ramp_steps));
}

target_status backend_monitor::target(time_point now, bool stopping) const
{
    target_status result;
    result.state_ = member_state::draining;
    if (!last_)
    {
        return result;
    }
    result.slots_ = last_->slots_;
    result.connections_ = last_->connections_;
    // The last weight stays while draining, so that ranks don't change.
    auto const step = ramp_step(now);
    result.weight_ = last_->slots_ * step;
    if (!stopping && is_fresh(now) && last_->state_ == backend_state::ready)
    {
        result.state_ =
            step < ramp_steps ? member_state::joining : member_state::ready;
    }
    return result;
}

} // namespace daisytrail
