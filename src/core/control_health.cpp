// Detection and reporting of silent balancers and of self-suspicion.
#include <daisytrail/control_health.hpp>

#include <chrono>
#include <string>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// A balancer from which no message arrived for a second is probed within half a
// second, so in a small fleet gaps of up to about 1.5 s are normal.
constexpr milliseconds silence_timeout{1'750};
// An isolated process verifies other members every 3.25 s. If no verification
// has failed for longer than that, most members answer again.
constexpr milliseconds self_suspicion_timeout{4'000};
// Age after which an unanswered probe is discarded.
constexpr milliseconds max_ping_age{10'000};

std::string to_text(duration value)
{
    auto const ms = std::chrono::duration_cast<milliseconds>(value);
    return std::to_string(ms.count()) + " ms";
}

} // namespace

void control_health::on_probe_sent(std::uint64_t subject, time_point now)
{
    pending_probes_[subject] = now;
}

std::optional<duration> control_health::on_pong(std::uint64_t subject,
                                                time_point now)
{
    auto const at = pending_probes_.find(subject);
    if (at == pending_probes_.end())
    {
        return std::nullopt;
    }
    auto const round_trip = now - at->second;
    pending_probes_.erase(at);
    return round_trip;
}

void control_health::on_balancer_message(time_point now,
                                         std::vector<control_action>& out)
{
    if (is_silence_reported_)
    {
        is_silence_reported_ = false;
        out.emplace_back(report_action{
            report_kind::balancers_reachable,
            "after " + to_text(now - last_received_at_) + " of silence"});
    }
    last_received_at_ = now;
}

void control_health::on_self_suspected(time_point now,
                                       std::vector<control_action>& out)
{
    last_suspected_at_ = now;
    if (!suspected_since_)
    {
        suspected_since_ = now;
        out.emplace_back(report_action{
            report_kind::self_suspected,
            "most other members don't answer; keeping the last view"});
    }
}

void control_health::tick(time_point now, bool has_others,
                          std::vector<control_action>& out)
{
    if (!has_started_)
    {
        has_started_ = true;
        last_received_at_ = now;
    }
    if (has_others && !is_silence_reported_ &&
        now > last_received_at_ + silence_timeout)
    {
        is_silence_reported_ = true;
        out.emplace_back(report_action{report_kind::balancers_silent,
                                       "no message received for " +
                                           to_text(now - last_received_at_)});
    }
    if (suspected_since_ && now > last_suspected_at_ + self_suspicion_timeout)
    {
        out.emplace_back(
            report_action{report_kind::self_suspicion_ended,
                          "after " + to_text(now - *suspected_since_)});
        suspected_since_.reset();
    }
    std::erase_if(pending_probes_, [now](auto const& ping)
                  { return now > ping.second + max_ping_age; });
}

} // namespace daisytrail
