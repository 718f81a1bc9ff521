// Upkeep and pings of the listed targets that no balancer knows.
#include <daisytrail/listed_targets.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// Most targets are learned from other balancers within this time.
constexpr milliseconds first_ping_delay{500};
constexpr milliseconds ping_interval{250};
// Bounds the traffic of a balancer that starts in a large fleet, where nearly
// all listed targets are still unknown.
constexpr std::size_t pings_per_interval = 8;

} // namespace

void listed_targets::add(std::vector<target_record> const& targets,
                         member_table const& members, time_point now)
{
    has_list_ = true;
    for (auto const& target : targets)
    {
        bool const is_new =
            members.find(target.target_) == nullptr &&
            unknown_.try_emplace(target.target_, listed_target{target, now})
                .second;
        if (is_new)
        {
            last_listed_at_ = now;
        }
    }
}

std::vector<send_action> listed_targets::tick(member_table const& members,
                                              time_point now)
{
    std::vector<send_action> pings;
    bool const is_due = now >= last_listed_at_ + first_ping_delay &&
                        now >= pinged_at_ + ping_interval;
    if (unknown_.empty() || !is_due)
    {
        return pings;
    }
    pinged_at_ = now;
    std::erase_if(unknown_,
                  [&](auto const& entry)
                  {
                      bool const is_over = now >= entry.second.listed_at_ +
                                                      listed_target_lifetime;
                      return is_over || members.find(entry.first) != nullptr;
                  });
    auto const count = std::min(unknown_.size(), pings_per_interval);
    auto at = unknown_.lower_bound(next_id_);
    for (std::size_t i = 0; i < count; ++i, ++at)
    {
        if (at == unknown_.end())
        {
            at = unknown_.begin();
        }
        // A target that is listed without its address has none.
        auto const& control = at->second.record_.control_;
        if (control != endpoint{})
        {
            pings.push_back({control, ping_message{at->first}});
        }
    }
    next_id_ = at == unknown_.end() ? 0 : at->first;
    return pings;
}

} // namespace daisytrail
