// Targets of the stored list that haven't announced themselves to any balancer
// yet. After all balancers have ended at once, the list is all that is known of
// the targets. A listed target that still runs may know no running balancer, so
// it is pinged. It stays in the list until it is known or its time is over.
#pragma once

#include <daisytrail/control_messages.hpp>
#include <daisytrail/member_table.hpp>
#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace daisytrail
{

// Time for which a listed target may announce itself. It covers several failed
// calls to the store by the balancers, and a cut of the usual length.
inline constexpr std::chrono::seconds listed_target_lifetime{30};

struct listed_target
{
    target_record record_;
    time_point listed_at_; // at first
};

class listed_targets
{
public:
    // Adds the targets of a list that was read. Members of the table are left
    // out. A target of an earlier list stays even if it isn't listed any more:
    // whoever wrote the list may not have known it.
    void add(std::vector<target_record> const& targets,
             member_table const& members, time_point now);

    // Returns the pings that are due and forgets the targets that are members
    // by now, whatever their state, or whose time is over.
    std::vector<send_action> tick(member_table const& members, time_point now);

    // By identifier. No member is among them after tick().
    std::map<target_id, listed_target> const& unknown() const
    {
        return unknown_;
    }

    // True once add() has been called.
    bool has_list() const
    {
        return has_list_;
    }

    // Time at which a target was last listed that was unknown before.
    time_point last_listed_at() const
    {
        return last_listed_at_;
    }

private:
    std::map<target_id, listed_target> unknown_;
    bool has_list_ = false;
    time_point last_listed_at_{};
    time_point pinged_at_{};
    target_id next_id_ = 0; // target at which the next pings start
};

} // namespace daisytrail
