// Hash tree (Merkle tree) over the record versions that a process holds, for
// anti-entropy. Two processes locate differing records by exchanging the hashes
// of a few nodes, so that the cost of a comparison doesn't grow with the number
// of records.
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

// Index of the leaf of an id: the highest tree_levels * tree_fanout_bits bits
// of the id.
constexpr std::uint32_t leaf_of(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id >>
                                      (64U - tree_levels * tree_fanout_bits));
}

// Position of a node in the tree; the default value is the root.
struct tree_node
{
    std::uint8_t level_ = 0;
    std::uint32_t prefix_ = 0; // highest bits of all ids below the node

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

    // Adds the item, or removes the item if the tree contains it: both XOR its
    // hash into the nodes on the path to its leaf.
    void toggle(item const& value);

    std::uint64_t root() const
    {
        return levels_[0][0];
    }

    // Returns the hashes of the nodes at `level` whose parent has this prefix,
    // or nothing if there is no such parent.
    std::vector<std::uint64_t> children(unsigned level,
                                        std::uint32_t prefix) const;

private:
    // levels_[l] has tree_fanout^l hashes; the hash of an inner node is the XOR
    // of the hashes of its children.
    std::array<std::vector<std::uint64_t>, tree_levels + 1> levels_;
};

} // namespace daisytrail
