// Applies what the control plane reports to the balancer's view.
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
                         revision template_revision) override;

    // The revision in force for each organisation.
    std::map<std::string, revision> const& revisions() const
    {
        return revisions_;
    }

private:
    void track_gone_target(target_id target);

    fleet_view& view_;
    // Targets that left or died, oldest first. Their versions are remembered
    // for a while, so that a late record doesn't bring them back.
    std::deque<target_id> gone_;
    std::map<std::string, revision> revisions_;
    std::uint64_t& target_changes_;
    std::uint64_t& template_changes_;
    std::uint64_t& stale_changes_;
};

} // namespace daisytrail
