// Construction of the tree and selection of ranked candidates.
#include "core/target_tree.hpp"

#include <algorithm>
#include <limits>

namespace daisytrail::detail
{

namespace
{

// Seed of a node. Multiplication by an odd factor is a bijection on 32 bits
// that spreads consecutive numbers over the whole range.
std::uint32_t node_seed(std::size_t level, std::size_t number)
{
    constexpr std::uint32_t factor = 0x9E3779B1U;
    return static_cast<std::uint32_t>((level << 16U) + number + 1) * factor;
}

// Builds a node whose children have these weights; a weight of 0 marks an
// absent child.
std::array<score_block, fan_out / lane_count>
make_node(std::size_t level, std::size_t first,
          std::span<std::uint64_t const> weights)
{
    std::array<score_block, fan_out / lane_count> blocks{};
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        auto& block = blocks[i / lane_count];
        block.seeds_[i % lane_count] = node_seed(level, first + i);
        block.scales_[i % lane_count] =
            weights[i] == 0 ? absent_scale
                            : 1.0F / static_cast<float>(weights[i]);
    }
    return blocks;
}

// Lists with more items than one ranking can hold are ranked in several passes.
constexpr std::size_t blocks_per_pass = max_ranked_items / lane_count;

struct leaf_choice
{
    std::array<std::size_t, 2> items_{};
    std::array<float, 2> keys_{};
};

// Returns the two best items of a list of any length; items_ are list indexes.
DAISYTRAIL_INLINE leaf_choice rank_leaf(std::uint64_t flow,
                                        std::span<score_block const> blocks)
{
    leaf_choice best;
    best.keys_.fill(std::numeric_limits<float>::max());
    for (std::size_t at = 0; at < blocks.size(); at += blocks_per_pass)
    {
        auto const size = std::min(blocks_per_pass, blocks.size() - at);
        auto const ranking = rank_items<2>(flow, blocks.subspan(at, size));
        for (std::size_t rank = 0; rank < 2; ++rank)
        {
            std::size_t const item = at * lane_count + ranking.index(rank);
            float const key = ranking.keys_[rank];
            if (key < best.keys_[0])
            {
                best = {{item, best.items_[0]}, {key, best.keys_[0]}};
            }
            else if (key < best.keys_[1])
            {
                best.items_[1] = item;
                best.keys_[1] = key;
            }
        }
    }
    return best;
}

} // namespace

target_tree::target_tree(std::span<tree_item const> items)
{
    std::array<std::uint64_t, leaf_count> leaf_weights{};
    std::array<std::uint64_t, fan_out> group_weights{};
    std::size_t at = 0;
    for (std::size_t leaf = 0; leaf < leaf_count; ++leaf)
    {
        first_block_[leaf] = static_cast<std::uint32_t>(blocks_.size());
        first_item_[leaf] = static_cast<std::uint32_t>(at);
        block_writer writer(blocks_);
        for (; at < items.size() && items[at].leaf_ == leaf; ++at)
        {
            auto const weight = items[at].weight_;
            writer.add(items[at].seed_, 1.0F / static_cast<float>(weight));
            leaf_weights[leaf] += weight;
            group_weights[leaf / fan_out] += weight;
        }
    }
    first_block_.back() = static_cast<std::uint32_t>(blocks_.size());
    first_item_.back() = static_cast<std::uint32_t>(at);
    root_ = make_node(0, 0, group_weights);
    for (std::size_t group = 0; group < fan_out; ++group)
    {
        std::size_t const first = group * fan_out;
        groups_[group] = make_node(
            1, first, std::span(leaf_weights).subspan(first, fan_out));
    }
}

std::span<score_block const> target_tree::leaf_blocks(std::size_t leaf) const
{
    return std::span(blocks_).subspan(
        first_block_[leaf], first_block_[leaf + 1] - first_block_[leaf]);
}

DAISYTRAIL_INLINE std::size_t target_tree::best_of_leaf(std::uint64_t flow,
                                                        std::size_t leaf) const
{
    if (first_item_[leaf + 1] - first_item_[leaf] == 1)
    {
        return first_item_[leaf];
    }
    return first_item_[leaf] + rank_leaf(flow, leaf_blocks(leaf)).items_[0];
}

DAISYTRAIL_INLINE std::size_t
target_tree::best_of_group(std::uint64_t flow, std::size_t group) const
{
    auto const leaf = rank_items<1>(flow, groups_[group]).index(0);
    return best_of_leaf(flow, group * fan_out + leaf);
}

DAISYTRAIL_AVX2_CLONE
target_tree::choice target_tree::choose(std::uint64_t flow) const
{
    choice result;
    auto const add = [&result](std::size_t item)
    {
        result.items_[result.size_] = item;
        ++result.size_;
    };
    auto const top = rank_items<4>(flow, root_);
    auto const group = top.index(0);
    auto const leaves = rank_items<2>(flow, groups_[group]);
    auto const leaf = group * fan_out + leaves.index(0);
    auto const best = rank_leaf(flow, leaf_blocks(leaf));
    std::size_t const first = first_item_[leaf];
    add(first + best.items_[0]);
    if (top.has_item(1))
    {
        add(best_of_group(flow, top.index(1)));
    }
    if (first_item_[leaf + 1] - first > 1)
    {
        add(first + best.items_[1]);
    }
    if (leaves.has_item(1))
    {
        add(best_of_leaf(flow, group * fan_out + leaves.index(1)));
    }
    // A leaf or group with a single member has no second-best candidate, so
    // further groups fill up the list.
    for (std::size_t rank = 2;
         result.size_ < result.items_.size() && top.has_item(rank); ++rank)
    {
        add(best_of_group(flow, top.index(rank)));
    }
    return result;
}

} // namespace daisytrail::detail
