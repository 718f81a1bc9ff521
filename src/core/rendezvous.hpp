// Weighted rendezvous scores, four members at a time. Integer and IEEE single
// precision add, multiply and compare only, so that every build and machine
// gets the same bits; the vector types are a compiler extension that GCC and
// Clang share, not an instruction set.
#pragma once

#include <daisytrail/forwarding.hpp>

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

// Helpers become part of the function that is compiled for wider vectors.
#define DAISYTRAIL_INLINE inline __attribute__((always_inline))

// Compiles a function twice, the second time for AVX2, and takes the one that
// the processor has at load time. Both do the same operations on the same four
// lanes, so they give the same bits. Sanitizers don't get on with the choice
// at load time, nor does Clang 14 on members.
#if defined(__GNUC__) && !defined(__clang__) && defined(__x86_64__) &&         \
    !defined(__SANITIZE_ADDRESS__)
#define DAISYTRAIL_AVX2_CLONE __attribute__((target_clones("avx2", "default")))
#else
#define DAISYTRAIL_AVX2_CLONE
#endif

namespace daisytrail::detail
{

inline constexpr std::size_t lane_count = 4;

using u32_lanes = std::uint32_t __attribute__((vector_size(16)));
using i32_lanes = std::int32_t __attribute__((vector_size(16)));
using f32_lanes = float __attribute__((vector_size(16)));

// Scale of an item that isn't there: larger than 1 / weight of any member, and
// finite after the logarithm.
inline constexpr float absent_scale = 1e30F;

// Low bits of a key that hold the item's index instead of the score; the score
// keeps a relative precision of 2^-15.
inline constexpr std::uint32_t index_mask = 0xFF;

// Items that one ranking can hold.
inline constexpr std::size_t max_ranked_items = index_mask + 1;

// Appends items to blocks, padded with absent ones to a whole block.
class block_writer
{
public:
    explicit block_writer(std::vector<score_block>& blocks) : blocks_(blocks) {}

    void add(std::uint32_t seed, float scale)
    {
        if (lane_ == 0)
        {
            blocks_.emplace_back().scales_.fill(absent_scale);
        }
        blocks_.back().seeds_[lane_] = seed;
        blocks_.back().scales_[lane_] = scale;
        lane_ = (lane_ + 1) % lane_count;
    }

private:
    std::vector<score_block>& blocks_;
    std::size_t lane_ = 0;
};

// Uniform bits from a flow and a seed; only the upper ones are well mixed.
DAISYTRAIL_INLINE u32_lanes mix_lanes(std::uint64_t flow, u32_lanes seeds)
{
    constexpr std::uint32_t first_factor = 0x7feb352dU;
    constexpr std::uint32_t second_factor = 0x846ca68bU;
    auto const low = static_cast<std::uint32_t>(flow);
    auto const high = static_cast<std::uint32_t>(flow >> 32U);
    u32_lanes x = (seeds ^ low) * first_factor;
    x ^= x >> 15U;
    x += high;
    return x * second_factor;
}

// -ln(u) for u uniform in (0, 1) made from random bits. The error is below
// 6e-5 of the result everywhere, also where u is close to 1 and the result to
// 0: u = 2^-k * (1 - t / 2) with t exact, and the polynomial in t has no
// constant term.
DAISYTRAIL_INLINE f32_lanes exponential_lanes(u32_lanes random)
{
    constexpr float two_to_minus_24 = 1.0F / 16'777'216.0F;
    constexpr float ln_2 = 0.693147181F;
    constexpr std::int32_t largest_exponent = 126; // of a float below 1
    constexpr std::uint32_t mantissa_mask = 0x007FFFFF;
    constexpr std::uint32_t one_bits = 0x3F800000;
    auto const odd = std::bit_cast<i32_lanes>((random >> 8U) | 1U);
    auto const u = __builtin_convertvector(odd, f32_lanes) * two_to_minus_24;
    auto const bits = std::bit_cast<u32_lanes>(u);
    auto const exponent =
        largest_exponent - std::bit_cast<i32_lanes>(bits >> 23U);
    auto const mantissa =
        std::bit_cast<f32_lanes>((bits & mantissa_mask) | one_bits);
    auto const t = 2.0F - mantissa;
    f32_lanes series = t * 0.0228556113F - 0.00276809458F;
    series = series * t + 0.0489616236F;
    series = series * t + 0.124043969F;
    series = series * t + 0.500019291F;
    return __builtin_convertvector(exponent, f32_lanes) * ln_2 + series * t;
}

// Keys of a block's items: the score with the index in its low bits. They are
// positive finite floats, so they compare as their bits do.
DAISYTRAIL_INLINE f32_lanes key_lanes(std::uint64_t flow,
                                      score_block const& block,
                                      std::uint32_t first_index)
{
    constexpr u32_lanes lane_numbers{0, 1, 2, 3};
    auto const score = exponential_lanes(mix_lanes(
                           flow, std::bit_cast<u32_lanes>(block.seeds_))) *
                       std::bit_cast<f32_lanes>(block.scales_);
    auto const bits = std::bit_cast<u32_lanes>(score) & ~index_mask;
    return std::bit_cast<f32_lanes>(bits | (lane_numbers + first_index));
}

// The lowest `Count` items of a ranking, best first.
template <std::size_t Count>
struct ranking
{
    std::array<float, Count> keys_;

    // The index of rank `rank`; meaningless if there are fewer items.
    std::size_t index(std::size_t rank) const
    {
        return std::bit_cast<std::uint32_t>(keys_[rank]) & index_mask;
    }

    // True if the rank is held by an item that is there.
    bool has_item(std::size_t rank) const
    {
        // -ln(u) is at least 2^-25 and at most 17.
        constexpr float min_absent_key = absent_scale * 1e-8F;
        return keys_[rank] < min_absent_key;
    }
};

DAISYTRAIL_INLINE f32_lanes min_lanes(f32_lanes left, f32_lanes right)
{
    return left < right ? left : right;
}

DAISYTRAIL_INLINE void compare_exchange(f32_lanes& left, f32_lanes& right)
{
    f32_lanes const maximum = left > right ? left : right;
    left = min_lanes(left, right);
    right = maximum;
}

// Each lane holds a sorted list, lists[0] its lowest keys. Gives each lane the
// lowest keys of itself and of its partner, sorted: a bitonic merge.
template <int... Partner, std::size_t Count>
DAISYTRAIL_INLINE void merge_lanes(std::array<f32_lanes, Count>& lists)
{
    static_assert(std::has_single_bit(Count));
    auto const own = lists;
    for (std::size_t rank = 0; rank < Count; ++rank)
    {
        auto const& other = own[Count - 1 - rank];
        lists[rank] = min_lanes(
            own[rank], __builtin_shufflevector(other, other, Partner...));
    }
    for (std::size_t stride = Count / 2; stride > 0; stride /= 2)
    {
        for (std::size_t rank = 0; rank < Count; ++rank)
        {
            if ((rank & stride) == 0)
            {
                compare_exchange(lists[rank], lists[rank + stride]);
            }
        }
    }
}

// Ranks at most max_ranked_items items by score.
template <std::size_t Count>
DAISYTRAIL_INLINE ranking<Count> rank_items(std::uint64_t flow,
                                            std::span<score_block const> blocks)
{
    constexpr float highest = std::numeric_limits<float>::max();
    // best[r] holds each lane's key of rank r.
    std::array<f32_lanes, Count> best;
    best.fill(f32_lanes{highest, highest, highest, highest});
    std::uint32_t index = 0;
    for (auto const& block : blocks)
    {
        f32_lanes key = key_lanes(flow, block, index);
        index += lane_count;
        for (auto& best_key : best)
        {
            compare_exchange(best_key, key);
        }
    }
    merge_lanes<2, 3, 0, 1>(best);
    merge_lanes<1, 0, 3, 2>(best);
    ranking<Count> result;
    for (std::size_t rank = 0; rank < Count; ++rank)
    {
        result.keys_[rank] = best[rank][0];
    }
    return result;
}

} // namespace daisytrail::detail
