// Executes control actions: sends datagrams, reports events, writes log lines.
#include "net/control_outputs.hpp"

#include "net/adopted_template.hpp"
#include "net/log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace daisytrail::detail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

std::int64_t to_unix_ms(time_point at)
{
    auto const age = steady_clock::now() - at;
    return std::chrono::duration_cast<milliseconds>(
               (system_clock::now() - age).time_since_epoch())
        .count();
}

} // namespace

action_runner::action_runner(boost::asio::io_context& io, control_link& link,
                             control_events& events, metrics& counters,
                             received_handler on_received)
    : link_(link), events_(events), on_received_(std::move(on_received)),
      reader_(io),
      round_trips_(counters.latency("daisytrail_control_round_trip_seconds"))
{
    for (std::size_t i = 0; i < report_counters_.size(); ++i)
    {
        report_counters_[i] =
            &counters.counter("daisytrail_control_reports_total{kind=\"" +
                              std::string(report_kind_names[i]) + "\"}");
    }
}

void action_runner::run(std::vector<control_action> const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& body) { execute(body); }, action);
    }
}

void action_runner::execute(send_action const& action)
{
    link_.send(action.to_, action.message_);
}

void action_runner::execute(member_action const& action)
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

void action_runner::execute(template_offer_action const& action)
{
    log_event(log_level::info, "template_offered",
              {{"organisation_id", action.organisation_},
               {"version", action.version_},
               {"held", action.held_},
               {"from", to_string(action.from_)}});
}

// A long value is parsed in pieces, between which packets are forwarded.
void action_runner::execute(template_received_action const& action)
{
    reader_.read(action.value_,
                 [this, received = action](std::string value) mutable
                 {
                     received.value_ = std::move(value);
                     on_received_(std::move(received));
                 });
}

void action_runner::execute(template_action const& action)
{
    auto const stored = parse_adopted_template(action.value_);
    log_event(log_level::info, "template_adopted",
              {{"organisation", action.organisation_},
               {"version", action.version_},
               {"change_id", stored->change_id_},
               {"source", action.source_},
               {"offered_ms_ago",
                action.offered_ago_ ? std::chrono::duration_cast<milliseconds>(
                                          *action.offered_ago_)
                                          .count()
                                    : -1}});
    events_.on_organisation(stored->value_, action.version_);
}

void action_runner::execute(report_action const& action)
{
    auto const index = static_cast<std::size_t>(action.kind_);
    ++*report_counters_[index];
    log_event(log_level::warning, report_kind_names[index],
              {{"detail", action.text_}});
}

void action_runner::execute(round_trip_action const& action)
{
    round_trips_.add(
        std::chrono::duration<double>(action.round_trip_time_).count());
}

void action_runner::execute(view_confirmed_action const& action)
{
    events_.on_view_confirmed(action.requested_at_);
}

json::value to_json(template_versions const& versions,
                    std::string const& process)
{
    json::array in_force;
    for (auto const& value : versions.held_templates())
    {
        auto const stored = parse_adopted_template(value.value_);
        in_force.push_back(json::object{{"organisation", value.organisation_},
                                        {"version", value.version_},
                                        {"change_id", stored->change_id_}});
    }
    json::array refused;
    for (auto const& each : versions.refused_templates())
    {
        refused.push_back(json::object{{"organisation", each.organisation_},
                                       {"version", each.version_},
                                       {"reason", each.reason_}});
    }
    json::array records;
    for (auto const& entry : versions.adoption_records())
    {
        records.push_back(json::object{
            {"organisation", entry.organisation_},
            {"version", entry.version_},
            {"outcome",
             adoption_names[static_cast<std::size_t>(entry.outcome_)]},
            {"source", entry.source_},
            {"at_ms", to_unix_ms(entry.at_)},
            {"detail", entry.detail_}});
    }
    return json::object{{"process", process},
                        {"in_force", in_force},
                        {"refused", refused},
                        {"records", records}};
}

incarnation make_incarnation()
{
    return static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(
                                        system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace daisytrail::detail
