// Count of allocations, for programs that link it.
#pragma once

#include <cstdint>

namespace daisytrail
{

// Calls of operator new by this thread so far.
std::uint64_t thread_allocations();

} // namespace daisytrail
