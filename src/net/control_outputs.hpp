// What the control plane of a balancer and of an agent have in common: the
// carrying out of the core's actions and the process's own record as JSON.
#pragma once

#include "net/control_link.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/revisions.hpp>

#include <boost/json/value.hpp>

namespace daisytrail::detail
{

// Carries out actions in their order.
class action_runner
{
public:
    action_runner(control_link& link, control_events& events,
                  metrics& counters);

    void run(std::vector<control_action> const& actions);

private:
    void execute(send_action const& action);
    void execute(member_action const& action);
    void execute(template_action const& action);
    void execute(report_action const& action);
    void execute(round_trip_action const& action);
    void execute(view_confirmed_action const& action);

    control_link& link_;
    control_events& events_;
    histogram& round_trips_;
    std::array<std::uint64_t*, static_cast<std::size_t>(report_kind::count)>
        report_counters_{};
};

// The process's own record: what was adopted, when and from whom.
boost::json::value to_json(template_revisions const& revisions,
                           std::string const& process);

// Milliseconds since 1970, as the incarnation of a process that starts now.
incarnation make_incarnation();

} // namespace daisytrail::detail
