// Rendezvous hashing for services with many members: a tree with two levels of
// inner nodes above short lists of members. A hash of the target fixes its
// leaf. The weight of a node is the sum of the weights below it, so that a
// change of one member alters the weight of one node per level.
#pragma once

#include "core/rendezvous.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace daisytrail::detail
{

inline constexpr std::size_t fan_out = 16; // children of a node
inline constexpr std::size_t leaf_count = fan_out * fan_out;

// A member of the service as an item of the tree.
struct tree_item
{
    std::uint8_t leaf_ = 0;
    std::uint32_t seed_ = 0;
    std::uint32_t weight_ = 0;
};

class target_tree
{
public:
    // `items` must be sorted by leaf.
    explicit target_tree(std::span<tree_item const> items);

    // Item indexes of the ranked candidates for a flow, best first:
    // 1. the best item of the best leaf of the best group,
    // 2. the best item of the second-best group,
    // 3. the second-best item of the best leaf,
    // 4. the best item of the second-best leaf of the best group.
    // Candidates that don't exist are omitted; the best items of further groups
    // fill up the list.
    struct choice
    {
        std::array<std::size_t, 4> items_{};
        std::size_t size_ = 0;
    };
    choice choose(std::uint64_t flow) const;

private:
    static constexpr std::size_t node_blocks = fan_out / lane_count;
    using node = std::array<score_block, node_blocks>;

    std::span<score_block const> leaf_blocks(std::size_t leaf) const;
    std::size_t best_of_group(std::uint64_t flow, std::size_t group) const;
    std::size_t best_of_leaf(std::uint64_t flow, std::size_t leaf) const;

    node root_;
    std::array<node, fan_out> groups_;
    std::vector<score_block> blocks_; // of all leaves
    // Leaf i has the blocks from first_block_[i] up to, but not including,
    // first_block_[i + 1]. Its items start at first_item_[i].
    std::array<std::uint32_t, leaf_count + 1> first_block_{};
    std::array<std::uint32_t, leaf_count + 1> first_item_{};
};

} // namespace daisytrail::detail
