// Finds the processes that don't run the wanted template revisions.
#pragma once

#include "cli/commands.hpp"

#include <map>
#include <string>
#include <vector>

namespace daisytrail
{

// Returns a line for each wanted revision that a process should run but doesn't
// run yet, and for each process whose status is unknown.
std::vector<std::string>
lagging_processes(std::vector<process_status> const& processes,
                  std::map<std::string, revision> const& wanted);

// Polls all processes until they run the revision or the timeout expires;
// returns a line for each process that doesn't run it.
std::vector<std::string> wait_until_in_force(command_context const& context,
                                             std::string const& organisation,
                                             revision wanted,
                                             std::chrono::milliseconds timeout);

} // namespace daisytrail
