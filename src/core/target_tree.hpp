// Choice among the members of a large service: two levels of groups, fixed by
// a hash of the target, above short lists of members. The weight of a group is
// the sum of its members, so that a change alters one group in each level.
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

// What the tree needs of a member.
struct tree_item
{
    std::uint8_t leaf_ = 0;
    std::uint32_t seed_ = 0;
    std::uint32_t weight_ = 0;
};

class target_tree
{
public:
    // Items in the order of their leaves.
    explicit target_tree(std::span<tree_item const> items);

    // Indexes of the first choices for a flow, best first: the best of the
    // best leaf, the best of another top group, the second of the best leaf,
    // the best of another leaf of the best top group; in place of ones that
    // don't exist, the best of further top groups.
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
    // Leaf i has blocks first_block_[i] to first_block_[i + 1], and its items
    // begin at first_item_[i].
    std::array<std::uint32_t, leaf_count + 1> first_block_{};
    std::array<std::uint32_t, leaf_count + 1> first_item_{};
};

} // namespace daisytrail::detail
