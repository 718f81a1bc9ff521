// Hash tree over the versions that a process holds. Two processes find what
// differs in a few small messages, so that the cost of comparing doesn't grow
// with the number of records.
#pragma once

#include <daisytrail/control_messages.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace daisytrail
{

inline constexpr unsigned tree_fanout_bits = 4;
inline constexpr unsigned tree_levels = 3;
inline constexpr std::uint32_t tree_fanout = 1U << tree_fanout_bits;

std::uint64_t hash_item(item const& value);

// Leaf of an id: its highest tree_levels * tree_fanout_bits bits.
constexpr std::uint32_t leaf_of(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id >>
                                      (64U - tree_levels * tree_fanout_bits));
}

// One node of the tree; by default the root.
struct tree_node
{
    std::uint8_t level_ = 0;
    std::uint32_t prefix_ = 0; // the highest bits of the ids under it

    bool contains(std::uint64_t id) const
    {
        return leaf_of(id) >> ((tree_levels - level_) * tree_fanout_bits) ==
               prefix_;
    }

    tree_node child(std::uint32_t index) const
    {
        return {static_cast<std::uint8_t>(level_ + 1),
                prefix_ * tree_fanout + index};
    }
};

class item_tree
{
public:
    item_tree();

    // Adds the item, or removes it if it is there.
    void toggle(item const& value);

    std::uint64_t root() const
    {
        return levels_[0][0];
    }

    // Hashes of the nodes at `level` whose parent has this prefix.
    std::vector<std::uint64_t> children(unsigned level,
                                        std::uint32_t prefix) const;

private:
    // levels_[l] has tree_fanout^l hashes; each is the XOR of its children.
    std::array<std::vector<std::uint64_t>, tree_levels + 1> levels_;
};

} // namespace daisytrail
