// Finds the processes that don't run the wanted template versions.
#pragma once

#include "cli/commands.hpp"

#include <map>
#include <string>
#include <vector>

namespace daisytrail
{

// Returns a line for each wanted version that a process should run but doesn't
// run yet, and for each process whose status is unknown.
std::vector<std::string>
lagging_processes(std::vector<process_status> const& processes,
                  std::map<std::string, template_version> const& wanted);

// Polls all processes until they run the version or the timeout expires;
// returns a line for each process that doesn't run it.
std::vector<std::string> wait_until_in_force(command_context const& context,
                                             std::string const& organisation,
                                             template_version wanted,
                                             std::chrono::milliseconds timeout);

} // namespace daisytrail
