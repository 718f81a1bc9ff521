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

bool is_eligible(table_member const& member)
{
    return may_own_flows(member.candidate_.state_) && member.weight_ > 0;
}

// Target ids are hashes of names, so their upper bits are spread evenly over
// the leaves.
detail::tree_item to_item(table_member const& member)
{
    auto const target = member.candidate_.target_;
    return {static_cast<std::uint8_t>(target >> 56U),
            static_cast<std::uint32_t>(mix(target)), member.weight_};
}

DAISYTRAIL_AVX2_CLONE
detail::ranking<max_candidates>
rank_members(std::uint64_t flow, std::span<detail::score_block const> blocks)
{
    return detail::rank_items<max_candidates>(flow, blocks);
}

bool accepts_new_flows(candidate const& value)
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
    std::vector<table_member> eligible;
    eligible.reserve(members.size());
    std::ranges::copy_if(members, std::back_inserter(eligible), is_eligible);
    std::ranges::sort(eligible, {},
                      [](table_member const& member)
                      { return member.candidate_.target_; });
    std::vector<detail::tree_item> items;
    items.reserve(eligible.size());
    std::ranges::transform(eligible, std::back_inserter(items), to_item);
    members_.reserve(eligible.size());
    std::ranges::transform(eligible, std::back_inserter(members_),
                           &table_member::candidate_);
    if (eligible.size() <= max_flat_limit)
    {
        blocks_.reserve((eligible.size() + detail::lane_count - 1) /
                        detail::lane_count);
        detail::block_writer writer(blocks_);
        for (auto const& item : items)
        {
            writer.add(item.seed_, 1.0F / static_cast<float>(item.weight_));
        }
    }
    if (eligible.size() > min_flat_limit)
    {
        tree_ = std::make_shared<detail::target_tree const>(items);
    }
    std::vector<table_member> accepting;
    std::ranges::copy_if(eligible, std::back_inserter(accepting),
                         accepts_new_flows, &table_member::candidate_);
    // The tree may return fewer than max_candidates candidates.
    std::size_t const min_draining_members = tree_ ? 1 : max_candidates;
    if (!accepting.empty() &&
        eligible.size() - accepting.size() >= min_draining_members)
    {
        accepting_members_ =
            std::make_shared<service_table const>(from_members(accepting));
    }
}

bool service_table::is_flat(std::uint64_t flow) const
{
    // The limit comes from the highest bits of the flow hash, which otherwise
    // have little influence on the scores.
    constexpr unsigned limit_shift = 58;
    static_assert(max_flat_limit - min_flat_limit == 1U << (64 - limit_shift));
    return members_.size() <=
           min_flat_limit + static_cast<std::size_t>(flow >> limit_shift);
}

ranked_candidates service_table::pick(std::uint64_t flow) const
{
    static_assert(max_candidates == 4);
    std::array<std::size_t, max_candidates> chosen{};
    std::size_t size = std::min(max_candidates, members_.size());
    if (is_flat(flow))
    {
        // In a large fleet the members are rarely in the processor's caches.
        // Prefetching loads them while their scores are computed.
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
    auto const candidate_at = [&](std::size_t rank)
    {
        return rank < size ? members_[chosen[rank]] : candidate{};
    };
    // Built in one step, since zeroing the result first costs as much as the
    // choice itself.
    ranked_candidates result{
        {candidate_at(0), candidate_at(1), candidate_at(2), candidate_at(3)},
        static_cast<std::uint8_t>(size)};
    if (accepting_members_)
    {
        ensure_accepting_candidate(flow, result);
    }
    return result;
}

// If all candidates are draining, replaces the last candidate by the
// best-ranked member that takes new work, or appends that member if there is
// room.
void service_table::ensure_accepting_candidate(
    std::uint64_t flow, ranked_candidates& candidates) const
{
    if (std::ranges::any_of(candidates.view(), accepts_new_flows))
    {
        return;
    }
    auto const best = accepting_members_->pick(flow).candidates_[0];
    std::size_t const last =
        std::min<std::size_t>(candidates.size_, max_candidates - 1);
    candidates.candidates_[last] = best;
    candidates.size_ = static_cast<std::uint8_t>(last + 1);
}

} // namespace daisytrail
