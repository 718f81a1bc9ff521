// Who runs which template revision.
#pragma once

#include "cli/commands.hpp"

#include <map>
#include <string>
#include <vector>

namespace daisytrail
{

// Processes that don't run at least these revisions, one line each.
std::vector<std::string>
lagging_processes(std::vector<process_status> const& processes,
                  std::map<std::string, revision> const& wanted);

// Asks every process until all run the revision or the time is up; returns
// those that don't.
std::vector<std::string> wait_until_in_force(command_context const& context,
                                             std::string const& organisation,
                                             revision wanted,
                                             std::chrono::milliseconds timeout);

} // namespace daisytrail
