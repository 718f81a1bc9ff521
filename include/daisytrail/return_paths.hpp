// The balancers that packets came through, so that a packet which the backend
// server returns finds its way back. The mark in the packet names the entry.
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
    // `first_mark` should differ at each start of the process. Load pattern:
    // thousands of packets a second, of which a slow backend server returns
    // some a few seconds later.
    explicit return_paths(std::uint32_t first_mark,
                          std::size_t capacity = 16'384)
        : next_(first_mark), entries_(capacity)
    {
    }

    // Notes a packet's balancer and returns the mark to set.
    std::uint32_t add(endpoint const& balancer)
    {
        auto const mark = next_++;
        entries_[mark % entries_.size()] = {mark, balancer, true};
        return mark;
    }

    // Empty if the mark is unknown or was overwritten.
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
    std::vector<entry> entries_; // at the index mark % size
};

} // namespace daisytrail
