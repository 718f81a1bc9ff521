// Ring buffer of the balancers that recent packets came from. A packet that the
// backend server returns carries a mark, by which the agent finds the balancer
// to send the packet back to.
#pragma once

#include <daisytrail/types.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace daisytrail
{

class return_paths
{
public:
    // `first_mark` should differ for each start of the process. The capacity is
    // sized for thousands of packets per second, of which a slow backend server
    // returns some a few seconds later.
    explicit return_paths(std::uint32_t first_mark,
                          std::size_t capacity = 16'384)
        : next_(first_mark), entries_(capacity)
    {
    }

    // Stores the balancer of a packet and returns the mark for the packet.
    std::uint32_t add(endpoint const& balancer)
    {
        auto const mark = next_++;
        entries_[mark % entries_.size()] = {mark, balancer, true};
        return mark;
    }

    // Returns nothing if the mark is unknown or its entry was overwritten.
    std::optional<endpoint> find(std::uint32_t mark) const
    {
        auto const& stored = entries_[mark % entries_.size()];
        if (!stored.is_set_ || stored.mark_ != mark)
        {
            return std::nullopt;
        }
        return stored.balancer_;
    }

private:
    struct entry
    {
        std::uint32_t mark_ = 0;
        endpoint balancer_;
        bool is_set_ = false;
    };

    std::uint32_t next_;
    std::vector<entry> entries_; // index: mark % size
};

} // namespace daisytrail
