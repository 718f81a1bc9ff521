// Choice of the targets whose agents are asked for a report.
#include <daisytrail/report_requests.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// A new report is requested when the last one is this old, so that placement
// also has recent reports of idle targets.
constexpr std::chrono::milliseconds max_report_age{1'000};
constexpr std::chrono::milliseconds request_interval{250};
constexpr std::size_t max_requests = 8;
// Requests that targets which don't answer get even if others are due.
constexpr std::size_t min_unresponsive_requests = 2;

bool is_due(forward_target const& target, time_point now)
{
    bool const has_recent_report =
        target.has_report_ && now <= target.reported_at_ + max_report_age;
    return target.record_.state_ != member_state::left && !has_recent_report &&
           now > target.report_requested_at_ + request_interval;
}

bool is_responsive(forward_target const& target, time_point now)
{
    return may_own_flows(target.record_.state_) && !target.is_silent(now);
}

// Keeps the `count` targets that were asked first, in this order.
void keep_longest_waiting(std::vector<forward_target*>& targets,
                          std::size_t count)
{
    count = std::min(count, targets.size());
    std::ranges::partial_sort(
        targets, targets.begin() + static_cast<std::ptrdiff_t>(count), {},
        &forward_target::report_requested_at_);
    targets.resize(count);
}

} // namespace

std::vector<forward_target*>
next_report_requests(forward_directory const& directory, time_point now)
{
    std::vector<forward_target*> responsive;
    std::vector<forward_target*> unresponsive;
    for (auto const& [id, target] : directory.targets())
    {
        if (is_due(*target, now))
        {
            auto& group =
                is_responsive(*target, now) ? responsive : unresponsive;
            group.push_back(target.get());
        }
    }
    auto const reserved =
        std::min(unresponsive.size(), min_unresponsive_requests);
    keep_longest_waiting(responsive, max_requests - reserved);
    keep_longest_waiting(unresponsive, max_requests - responsive.size());
    responsive.insert(responsive.end(), unresponsive.begin(),
                      unresponsive.end());
    return responsive;
}

} // namespace daisytrail
