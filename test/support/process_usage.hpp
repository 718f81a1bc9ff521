// Processor time and memory of a process, from /proc.
#pragma once

#include <sys/types.h>

namespace daisytrail
{

struct process_usage
{
    double processor_seconds_ = 0;
    double resident_megabytes_ = 0;
};

// Throws std::exception if there is no such process.
process_usage read_usage(pid_t pid);

} // namespace daisytrail
