// Actions of the core into datagrams, events and log lines.
#include "net/control_outputs.hpp"

#include "net/adopted_template.hpp"
#include "net/log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace daisytrail::detail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

std::int64_t wall_ms(time_point at)
{
    auto const age = steady_clock::now() - at;
    return std::chrono::duration_cast<milliseconds>(
               (system_clock::now() - age).time_since_epoch())
        .count();
}

} // namespace

action_runner::action_runner(control_link& link, control_events& events,
                             metrics& counters)
    : link_(link), events_(events),
      round_trips_(counters.latency("daisytrail_control_round_trip_seconds"))
{
    for (std::size_t i = 0; i < reports_.size(); ++i)
    {
        reports_[i] =
            &counters.counter("daisytrail_control_reports_total{kind=\"" +
                              std::string(report_kind_names[i]) + "\"}");
    }
}

void action_runner::run(std::vector<control_action> const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& body) { on(body); }, action);
    }
}

void action_runner::on(send_action const& action)
{
    link_.send(action.to_, action.message_);
}

void action_runner::on(member_action const& action)
{
    auto const& record = action.record_;
    if (record.service_ != balancer_service)
    {
        events_.on_target(record);
        return;
    }
    log_event(log_level::info, "balancer_changed",
              {{"balancer", record.name_},
               {"incarnation", record.version_.incarnation_},
               {"state", to_string(record.state_)}});
}

void action_runner::on(template_action const& action)
{
    auto const stored = parse_adopted_template(action.value_);
    log_event(log_level::info, "template_adopted",
              {{"organisation", action.organisation_},
               {"revision", action.revision_},
               {"change_id", stored.change_id_},
               {"source", action.source_}});
    events_.on_organisation(stored.value_, action.revision_);
}

void action_runner::on(report_action const& action)
{
    auto const index = static_cast<std::size_t>(action.kind_);
    ++*reports_[index];
    log_event(log_level::warning, report_kind_names[index],
              {{"detail", action.text_}});
}

void action_runner::on(round_trip_action const& action)
{
    round_trips_.add(
        std::chrono::duration<double>(action.round_trip_time_).count());
}

void action_runner::on(view_confirmed_action const& action)
{
    events_.on_view_confirmed(action.requested_at_);
}

json::value to_json(template_revisions const& book, std::string const& process)
{
    json::array held;
    for (auto const& value : book.held_templates())
    {
        auto const stored = parse_adopted_template(value.value_);
        held.push_back(json::object{{"organisation", value.organisation_},
                                    {"revision", value.revision_},
                                    {"change_id", stored.change_id_}});
    }
    json::array lines;
    for (auto const& line : book.adoption_records())
    {
        lines.push_back(json::object{
            {"organisation", line.organisation_},
            {"revision", line.revision_},
            {"outcome",
             adoption_names[static_cast<std::size_t>(line.outcome_)]},
            {"source", line.source_},
            {"at_ms", wall_ms(line.at_)},
            {"detail", line.detail_}});
    }
    return json::object{
        {"process", process}, {"in_force", held}, {"records", lines}};
}

incarnation start_incarnation()
{
    return static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(
                                        system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace daisytrail::detail
