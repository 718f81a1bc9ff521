// Applies control-plane events to the view of the balancer.
#pragma once

#include "net/metrics.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/view.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace daisytrail
{

class view_updater : public control_events
{
public:
    view_updater(fleet_view& view, metrics& counters);

    void on_target(target_record const& record) override;
    void on_organisation(organisation_template const& value,
                         template_version version) override;

    // Revision of the template in force, by name of the organisation.
    std::map<std::string, template_version> const& versions() const
    {
        return versions_;
    }

private:
    void track_gone_target(target_id target);

    fleet_view& view_;
    // Targets in the state left or dead, oldest first. The view keeps their
    // versions for a while, so that a late record doesn't restore a target.
    std::deque<target_id> gone_;
    std::map<std::string, template_version> versions_;
    std::uint64_t& target_changes_;
    std::uint64_t& template_changes_;
    std::uint64_t& stale_changes_;
};

} // namespace daisytrail
