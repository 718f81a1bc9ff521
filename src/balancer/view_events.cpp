// Control events into changes of the view, each logged.
#include "balancer/view_events.hpp"

#include "net/log.hpp"

namespace daisytrail
{

namespace
{

// Gone targets whose versions are remembered.
constexpr std::size_t max_gone_targets = 4'096;

} // namespace

view_events::view_events(fleet_view& view, metrics& counters)
    : view_(view),
      target_changes_(counters.counter("daisytrail_target_changes_total")),
      template_changes_(counters.counter("daisytrail_template_changes_total")),
      stale_(counters.counter("daisytrail_stale_changes_total"))
{
}

void view_events::on_target(target_record const& record)
{
    if (!view_.apply(record))
    {
        ++stale_;
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
        bury(record.target_);
    }
}

void view_events::bury(target_id target)
{
    gone_.push_back(target);
    if (gone_.size() > max_gone_targets)
    {
        view_.erase_if_gone(gone_.front());
        gone_.pop_front();
    }
}

void view_events::on_organisation(organisation_template const& value,
                                  revision at)
{
    auto& held = revisions_[value.name_];
    if (at < held)
    {
        ++stale_;
        log_event(log_level::warning, "stale_template",
                  {{"organisation", value.name_},
                   {"revision", at},
                   {"in_force", held}});
        return;
    }
    held = at;
    view_.apply(value);
    ++template_changes_;
    log_event(log_level::info, "template_in_force",
              {{"organisation", value.name_}, {"revision", at}});
}

} // namespace daisytrail
