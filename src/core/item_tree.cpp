// Incremental updates of the hash tree.
#include <daisytrail/item_tree.hpp>

#include <xxhash.h>

namespace daisytrail
{

std::uint64_t hash_item(item const& value)
{
    std::array<std::uint64_t, 4> const words{
        value.id_, value.version_.incarnation_, value.version_.sequence_,
        (static_cast<std::uint64_t>(value.kind_) << 8U) |
            static_cast<std::uint64_t>(value.state_)};
    return XXH3_64bits(words.data(), sizeof(words));
}

item_tree::item_tree()
{
    for (unsigned level = 0; level <= tree_levels; ++level)
    {
        levels_[level].resize(std::size_t{1} << (level * tree_fanout_bits));
    }
}

void item_tree::toggle(item const& value)
{
    auto const hash = hash_item(value);
    auto const leaf = leaf_of(value.id_);
    for (unsigned level = 0; level <= tree_levels; ++level)
    {
        levels_[level][leaf >> ((tree_levels - level) * tree_fanout_bits)] ^=
            hash;
    }
}

std::vector<std::uint64_t> item_tree::children(unsigned level,
                                               std::uint32_t prefix) const
{
    auto const first = std::size_t{prefix} * tree_fanout;
    if (level == 0 || level > tree_levels ||
        first + tree_fanout > levels_[level].size())
    {
        return {};
    }
    auto const begin =
        levels_[level].begin() + static_cast<std::ptrdiff_t>(first);
    return {begin, begin + tree_fanout};
}

} // namespace daisytrail
