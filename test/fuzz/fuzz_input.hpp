// Input of a fuzz target, copied to where a datagram would lie: 8-byte aligned,
// with nothing readable behind its last byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <span>

namespace daisytrail
{

class fuzz_input
{
public:
    fuzz_input(std::uint8_t const* data, std::size_t size)
        : bytes_(std::make_unique<std::byte[]>(size)), size_(size)
    {
        if (size > 0)
        {
            std::memcpy(bytes_.get(), data, size);
        }
    }

    std::span<std::byte const> bytes() const
    {
        return {bytes_.get(), size_};
    }

private:
    std::unique_ptr<std::byte[]> bytes_;
    std::size_t size_;
};

// Ends the run if a rule that must hold for every input doesn't.
inline void require(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

} // namespace daisytrail
