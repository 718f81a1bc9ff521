// Replaces operator new by a counting version. The replacements are in a file
// of their own, so that the compiler can't inline only one of new and delete
// into a caller and combine it with the library's counterpart.
#include "support/allocation_count.hpp"

#include <cstdlib>
#include <new>

namespace
{

thread_local std::uint64_t allocation_count = 0;

} // namespace

void* operator new(std::size_t bytes)
{
    ++allocation_count;
    if (void* const memory = std::malloc(bytes))
    {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace daisytrail
{

std::uint64_t thread_allocations()
{
    return allocation_count;
}

} // namespace daisytrail
