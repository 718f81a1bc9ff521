// Decides which targets' agents a balancer asks for a report.
//
// Load pattern: hundreds of VMs are lost for good. Their agents never answer,
// so they are always due for another request, and must not use up the requests
// of the agents that run.
#pragma once

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/types.hpp>

#include <vector>

namespace daisytrail
{

// Returns the targets to ask now, a few at most. Those that wait longest come
// first. Targets that were declared dead or don't answer get a small share of
// the requests, and what the others leave.
std::vector<forward_target*>
next_report_requests(forward_directory const& directory, time_point now);

} // namespace daisytrail
