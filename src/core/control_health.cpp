// Reports on how well a balancer hears others.
#include <daisytrail/control_health.hpp>

#include <chrono>
#include <string>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// A balancer that hasn't been heard for a second is probed within half a
// second, so in a small fleet this much is usual.
constexpr milliseconds silence_limit{1'750};
// An isolated process verifies others every 3.25 s: if no verification has
// failed for so long, most others answer.
constexpr milliseconds trust_time{4'000};
constexpr milliseconds ping_age_limit{10'000};

std::string to_text(duration value)
{
    auto const ms = std::chrono::duration_cast<milliseconds>(value);
    return std::to_string(ms.count()) + " ms";
}

} // namespace

void control_health::pinged(std::uint64_t subject, time_point now)
{
    pings_[subject] = now;
}

std::optional<duration> control_health::answered(std::uint64_t subject,
                                                 time_point now)
{
    auto const at = pings_.find(subject);
    if (at == pings_.end())
    {
        return std::nullopt;
    }
    auto const took = now - at->second;
    pings_.erase(at);
    return took;
}

void control_health::heard_balancer(time_point now,
                                    std::vector<control_action>& out)
{
    if (others_silent_)
    {
        others_silent_ = false;
        out.emplace_back(
            report_action{report_kind::balancers_heard,
                          "after " + to_text(now - heard_) + " of silence"});
    }
    heard_ = now;
}

void control_health::suspected_self(time_point now,
                                    std::vector<control_action>& out)
{
    suspected_ = now;
    if (!suspected_since_)
    {
        suspected_since_ = now;
        out.emplace_back(
            report_action{report_kind::self_suspected,
                          "the last view is kept; most others don't answer"});
    }
}

void control_health::tick(time_point now, bool has_others,
                          std::vector<control_action>& out)
{
    if (!started_)
    {
        started_ = true;
        heard_ = now;
    }
    if (has_others && !others_silent_ && now > heard_ + silence_limit)
    {
        others_silent_ = true;
        out.emplace_back(
            report_action{report_kind::balancers_silent,
                          "none heard for " + to_text(now - heard_)});
    }
    if (suspected_since_ && now > suspected_ + trust_time)
    {
        out.emplace_back(
            report_action{report_kind::self_trusted,
                          "after " + to_text(now - *suspected_since_)});
        suspected_since_.reset();
    }
    std::erase_if(pings_, [now](auto const& ping)
                  { return now > ping.second + ping_age_limit; });
}

} // namespace daisytrail
