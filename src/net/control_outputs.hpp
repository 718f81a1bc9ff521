// Shared by the control planes of balancers and agents: execution of control
// actions, JSON of a process's templates, and the incarnation number.
#pragma once

#include "net/control_link.hpp"
#include "net/template_parser.hpp"

#include <daisytrail/control.hpp>
#include <daisytrail/template_versions.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>

namespace daisytrail::detail
{

// Executes control actions in the given order.
class action_runner
{
public:
    // Receives the values that peers sent, once they are parsed.
    using received_handler = std::function<void(template_received_action)>;

    action_runner(boost::asio::io_context& io, control_link& link,
                  control_events& events, metrics& counters,
                  received_handler on_received);

    void run(std::vector<control_action> const& actions);

private:
    void execute(send_action const& action);
    void execute(member_action const& action);
    void execute(template_offer_action const& action);
    void execute(template_received_action const& action);
    void execute(template_action const& action);
    void execute(report_action const& action);
    void execute(round_trip_action const& action);
    void execute(view_confirmed_action const& action);

    control_link& link_;
    control_events& events_;
    received_handler on_received_;
    template_reader reader_;
    histogram& round_trips_;
    std::array<std::uint64_t*, static_cast<std::size_t>(report_kind::count)>
        report_counters_{};
};

// Returns the templates in force in this process, the newer versions that it
// refused, and the recorded results of template offers with their times and
// sources.
boost::json::value to_json(template_versions const& versions,
                           std::string const& process);

// Returns the incarnation of a process that starts now: Unix time in
// milliseconds. After the time of day went back it may be lower than that of an
// earlier run; the process takes a higher one as soon as a balancer reports the
// earlier run's.
incarnation make_incarnation();

} // namespace daisytrail::detail
