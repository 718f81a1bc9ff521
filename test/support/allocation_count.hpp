// Counts allocations in programs that link allocation_count.cpp.
#pragma once

#include <cstdint>

namespace daisytrail
{

// Returns the number of calls of operator new by this thread.
std::uint64_t thread_allocations();

} // namespace daisytrail
