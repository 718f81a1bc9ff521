// Weighted rendezvous scores, computed for four members at a time. The code
// uses only integer and IEEE single precision addition, multiplication and
// comparison, so every build and machine computes the same bits. The vector
// types are a compiler extension of GCC and Clang and don't depend on an
// instruction set.
#pragma once

#include <daisytrail/forwarding.hpp>

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

// Inlines the helpers into the caller, so that they are compiled for the vector
// instructions of the caller.
#define DAISYTRAIL_INLINE inline __attribute__((always_inline))

// Compiles a function twice, once for AVX2, and selects the version that
// the processor supports at load time. Both versions do the same operations on
// the same four lanes, so they return the same bits. The selection at load time
// doesn't work with sanitizers, nor in Clang 14 for member functions.
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

// Scale of an absent item: larger than 1 / weight of any member, and small
// enough for a finite score.
inline constexpr float absent_scale = 1e30F;

// Low bits of a key that hold the index of the item. The other bits hold the
// score with a relative precision of 2^-15.
inline constexpr std::uint32_t index_mask = 0xFF;

// Maximum number of items of one ranking.
inline constexpr std::size_t max_ranked_items = index_mask + 1;

// Appends items to blocks. Absent items fill up the last block.
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

// Returns uniformly distributed bits for a flow and four seeds. Only the upper
// bits are well mixed.
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

// Returns -ln(u) for a uniform u in (0, 1) that is made from the random bits.
// The relative error is below 6e-5, also where u is close to 1 and the result
// close to 0: u = 2^-k * (1 - t / 2) with an exact t, and the polynomial in t
// has no constant term.
DAISYTRAIL_INLINE f32_lanes exponential_lanes(u32_lanes random)
{
    constexpr float two_to_minus_24 = 1.0F / 16'777'216.0F;
    constexpr float ln_2 = 0.693147181F;
    constexpr std::int32_t largest_exponent = 126; // of floats below 1
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

// Returns the keys of the items of a block: the score with the index of the
// item in its low bits. Keys are positive finite floats, so they compare in the
// same order as their bits.
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

// The `Count` items with the lowest keys, best item first.
template <std::size_t Count>
struct ranking
{
    std::array<float, Count> keys_;

    // Index of the item at a rank; meaningless unless has_item(rank).
    std::size_t index(std::size_t rank) const
    {
        return std::bit_cast<std::uint32_t>(keys_[rank]) & index_mask;
    }

    // True if there is an item at the rank, as opposed to an absent item.
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

// Bitonic merge. Each lane holds a sorted list; lists[0] has the lowest key of
// each lane. Afterwards each lane holds the lowest keys of itself and of its
// partner, sorted.
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

// Ranks up to max_ranked_items items by score.
template <std::size_t Count>
DAISYTRAIL_INLINE ranking<Count> rank_items(std::uint64_t flow,
                                            std::span<score_block const> blocks)
{
    constexpr float highest = std::numeric_limits<float>::max();
    // best[r] holds the key of rank r of each lane.
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
