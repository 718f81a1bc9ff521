// Weighted rendezvous hashing over the members of one service.
#include "core/rendezvous.hpp"
#include "core/target_tree.hpp"

#include <daisytrail/forwarding.hpp>

#include <algorithm>
#include <iterator>

namespace daisytrail
{

namespace
{

// 64-bit finalizer of MurmurHash3: every input bit affects every output bit.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

bool is_kept(table_member const& member)
{
    return may_own_flows(member.candidate_.state_) && member.weight_ > 0;
}

// Target ids are hashes of names, so their upper bits spread over the leaves.
detail::tree_item to_item(table_member const& member)
{
    auto const target = member.candidate_.target_;
    return {static_cast<std::uint8_t>(target >> 56U),
            static_cast<std::uint32_t>(mix(target)), member.weight_};
}

DAISYTRAIL_AVX2_CLONE
detail::ranking<trail_length>
rank_members(std::uint64_t flow, std::span<detail::score_block const> blocks)
{
    return detail::rank_items<trail_length>(flow, blocks);
}

bool takes_work(candidate const& value)
{
    return takes_new_work(value.state_);
}

} // namespace

table_member to_member(target_record const& record)
{
    return {{record.target_, record.version_.incarnation_, record.tunnel_,
             record.state_},
            record.weight_};
}

service_table::service_table(std::span<target_record const> records)
{
    std::vector<table_member> members;
    members.reserve(records.size());
    std::ranges::transform(records, std::back_inserter(members), to_member);
    build(members);
}

service_table service_table::from_members(std::span<table_member const> members)
{
    service_table result(std::span<target_record const>{});
    result.build(members);
    return result;
}

void service_table::build(std::span<table_member const> members)
{
    std::vector<table_member> kept;
    kept.reserve(members.size());
    std::ranges::copy_if(members, std::back_inserter(kept), is_kept);
    std::ranges::sort(kept, {},
                      [](table_member const& member)
                      { return member.candidate_.target_; });
    std::vector<detail::tree_item> items;
    items.reserve(kept.size());
    std::ranges::transform(kept, std::back_inserter(items), to_item);
    members_.reserve(kept.size());
    std::ranges::transform(kept, std::back_inserter(members_),
                           &table_member::candidate_);
    if (kept.size() <= most_flat_members)
    {
        blocks_.reserve((kept.size() + detail::lane_count - 1) /
                        detail::lane_count);
        detail::block_writer writer(blocks_);
        for (auto const& item : items)
        {
            writer.add(item.seed_, 1.0F / static_cast<float>(item.weight_));
        }
    }
    if (kept.size() > least_flat_members)
    {
        tree_ = std::make_shared<detail::target_tree const>(items);
    }
    std::vector<table_member> takers;
    std::ranges::copy_if(kept, std::back_inserter(takers), takes_work,
                         &table_member::candidate_);
    // The tree's trails may be shorter than trail_length.
    std::size_t const least_without_taker = tree_ ? 1 : trail_length;
    if (!takers.empty() && kept.size() - takers.size() >= least_without_taker)
    {
        takers_ = std::make_shared<service_table const>(from_members(takers));
    }
}

bool service_table::is_flat(std::uint64_t flow) const
{
    // The highest bits of the flow hash, of which the scores see little else.
    constexpr unsigned limit_shift = 58;
    static_assert(most_flat_members - least_flat_members ==
                  1U << (64 - limit_shift));
    return members_.size() <=
           least_flat_members + static_cast<std::size_t>(flow >> limit_shift);
}

trail service_table::pick(std::uint64_t flow) const
{
    static_assert(trail_length == 4);
    std::array<std::size_t, trail_length> chosen{};
    std::size_t size = std::min(trail_length, members_.size());
    if (is_flat(flow))
    {
        // In a large fleet the candidates are seldom in the processor's
        // caches; they arrive while they are scored.
        prefetch();
        auto const ranked = rank_members(flow, blocks_);
        chosen = {ranked.index(0), ranked.index(1), ranked.index(2),
                  ranked.index(3)};
    }
    else
    {
        auto const choice = tree_->choose(flow);
        chosen = choice.items_;
        size = choice.size_;
    }
    auto const at = [&](std::size_t rank)
    {
        return rank < size ? members_[chosen[rank]] : candidate{};
    };
    // Filled in one step, since zeroing first costs as much as the choice.
    trail result{{at(0), at(1), at(2), at(3)}, static_cast<std::uint8_t>(size)};
    if (takers_)
    {
        ensure_taker(flow, result);
    }
    return result;
}

// Where all candidates are draining, the last gives way to the best member
// that takes new work.
void service_table::ensure_taker(std::uint64_t flow, trail& candidates) const
{
    if (std::ranges::any_of(candidates.view(), takes_work))
    {
        return;
    }
    auto const best = takers_->pick(flow).candidates_[0];
    std::size_t const last =
        std::min<std::size_t>(candidates.size_, trail_length - 1);
    candidates.candidates_[last] = best;
    candidates.size_ = static_cast<std::uint8_t>(last + 1);
}

} // namespace daisytrail
