// Applies control-plane events to the view and logs each change.
#include "balancer/view_updater.hpp"

#include "net/log.hpp"

namespace daisytrail
{

namespace
{

// Maximum number of targets in the state left or dead whose versions are
// stored.
constexpr std::size_t max_gone_targets = 4'096;

} // namespace

view_updater::view_updater(fleet_view& view, metrics& counters)
    : view_(view),
      target_changes_(counters.counter("daisytrail_target_changes_total")),
      template_changes_(counters.counter("daisytrail_template_changes_total")),
      stale_changes_(counters.counter("daisytrail_stale_changes_total"))
{
}

void view_updater::on_target(target_record const& record)
{
    if (!view_.apply(record))
    {
        ++stale_changes_;
        return;
    }
    ++target_changes_;
    log_event(log_level::info, "target_changed",
              {{"target", record.name_},
               {"incarnation", record.version_.incarnation_},
               {"sequence", record.version_.sequence_},
               {"state", to_string(record.state_)},
               {"weight", record.weight_}});
    if (!may_own_flows(record.state_))
    {
        track_gone_target(record.target_);
    }
}

void view_updater::track_gone_target(target_id target)
{
    gone_.push_back(target);
    if (gone_.size() > max_gone_targets)
    {
        view_.erase_if_gone(gone_.front());
        gone_.pop_front();
    }
}

void view_updater::on_organisation(organisation_template const& value,
                                   template_version version)
{
    auto& version_in_force = versions_[value.name_];
    if (version < version_in_force)
    {
        ++stale_changes_;
        log_event(log_level::warning, "stale_template",
                  {{"organisation", value.name_},
                   {"version", version},
                   {"in_force", version_in_force}});
        return;
    }
    version_in_force = version;
    view_.apply(value);
    ++template_changes_;
    log_event(log_level::info, "template_in_force",
              {{"organisation", value.name_}, {"version", version}});
}

} // namespace daisytrail
