// Parsing of announcements, heartbeat timeout and the weight ramp of a new
// target.
#include "agent/announcement.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/parse.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr auto heartbeat_timeout = std::chrono::seconds(3);

// The weight of a new target grows in a few large steps, because each change of
// a weight changes the first candidate of some flows.
constexpr std::uint32_t ramp_step_count = 4;
constexpr auto ramp_step_duration = std::chrono::seconds(3);

std::uint32_t read_count(boost::json::object const& object, char const* name)
{
    constexpr std::int64_t max_count = 1'000'000;
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 ||
        value->as_int64() > max_count)
    {
        throw error(error_kind::invalid_argument,
                    std::string(name) + ": expected an integer from 1 to " +
                        std::to_string(max_count));
    }
    return static_cast<std::uint32_t>(value->as_int64());
}

std::string_view read_string(boost::json::object const& object,
                             char const* name)
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
    auto const name = read_string(object, "state");
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
        throw error(error_kind::invalid_argument,
                    "announcement: expected a JSON object");
    }
    auto const& object = value.as_object();
    announcement result;
    result.address_ = parse_endpoint(read_string(object, "address"));
    result.slots_ = read_count(object, "slots");
    result.connections_ = read_count(object, "connections");
    result.state_ = read_state(object);
    return result;
}

void backend_monitor::on_announcement(announcement const& value, time_point now)
{
    bool const was_ready =
        is_fresh(now) && last_announcement_->state_ == backend_state::ready;
    if (!was_ready && value.state_ == backend_state::ready)
    {
        ready_since_ = now;
    }
    last_announcement_ = value;
    last_received_at_ = now;
}

bool backend_monitor::is_fresh(time_point now) const
{
    return last_announcement_ && now - last_received_at_ < heartbeat_timeout;
}

backend_status backend_monitor::status(time_point now) const
{
    backend_status result;
    if (last_announcement_)
    {
        result.address_ = last_announcement_->address_;
        result.slots_ = last_announcement_->slots_;
        result.connections_ = last_announcement_->connections_;
        result.ready_ =
            is_fresh(now) && last_announcement_->state_ != backend_state::left;
    }
    return result;
}

std::uint32_t backend_monitor::ramp_step(time_point now) const
{
    auto const steps = (now - ready_since_) / ramp_step_duration + 1;
    return static_cast<std::uint32_t>(
        std::min<decltype(steps)>(steps, ramp_step_count));
}

target_status backend_monitor::make_target_status(time_point now,
                                                  bool stopping) const
{
    target_status result;
    result.state_ = member_state::draining;
    if (!last_announcement_)
    {
        return result;
    }
    result.slots_ = last_announcement_->slots_;
    result.connections_ = last_announcement_->connections_;
    // A draining target keeps its weight, so that the ranks of the candidates
    // don't change.
    auto const step = ramp_step(now);
    result.weight_ = last_announcement_->slots_ * step;
    if (!stopping && is_fresh(now) &&
        last_announcement_->state_ == backend_state::ready)
    {
        result.state_ = step < ramp_step_count ? member_state::joining
                                               : member_state::ready;
    }
    return result;
}

} // namespace daisytrail
