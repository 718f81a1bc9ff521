// Weighted rendezvous hashing over the members of one service.
#include <daisytrail/forwarding.hpp>

#include <algorithm>
#include <bit>
#include <iterator>
#include <limits>

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

// -ln(u) for u in (0, 1), with an error that is small relative to the result
// also where u is close to 1.
double negative_log(double u)
{
    constexpr double ln_2 = 0.693147180559945309417;
    constexpr std::uint64_t mantissa_mask = 0x000FFFFFFFFFFFFFULL;
    constexpr std::uint64_t one_bits = 0x3FF0000000000000ULL;
    auto const bits = std::bit_cast<std::uint64_t>(u);
    auto exponent = static_cast<int>(bits >> 52U) - 1023;
    auto mantissa = std::bit_cast<double>((bits & mantissa_mask) | one_bits);
    if (mantissa > 1.41421356237309504880)
    {
        mantissa *= 0.5;
        ++exponent;
    }
    // ln(m) = 2 atanh(s), s = (m - 1) / (m + 1), |s| < 0.1716.
    double const s = (mantissa - 1.0) / (mantissa + 1.0);
    double const z = s * s;
    double series = 1.0 / 15.0;
    series = series * z + 1.0 / 13.0;
    series = series * z + 1.0 / 11.0;
    series = series * z + 1.0 / 9.0;
    series = series * z + 1.0 / 7.0;
    series = series * z + 1.0 / 5.0;
    series = series * z + 1.0 / 3.0;
    series = series * z + 1.0;
    return -(exponent * ln_2 + 2.0 * s * series);
}

} // namespace

double rendezvous_score(std::uint64_t flow, std::uint64_t seed, double scale)
{
    constexpr double two_to_minus_53 = 1.0 / 9007199254740992.0;
    auto const hash = mix(flow ^ seed);
    double const u =
        (static_cast<double>(hash >> 12U) + 0.5) * (2.0 * two_to_minus_53);
    return negative_log(u) * scale;
}

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
    std::ranges::copy_if(members, std::back_inserter(kept),
                         [](table_member const& member) {
                             return may_own_flows(member.candidate_.state_) &&
                                    member.weight_ > 0;
                         });
    std::ranges::sort(kept, {},
                      [](table_member const& member)
                      { return member.candidate_.target_; });
    for (auto const& member : kept)
    {
        members_.push_back(member.candidate_);
        seeds_.push_back(mix(member.candidate_.target_));
        scales_.push_back(1.0 / member.weight_);
    }
}

trail service_table::pick(std::uint64_t flow) const
{
    struct ranked
    {
        double score_ = std::numeric_limits<double>::infinity();
        std::size_t index_ = 0;
    };
    std::array<ranked, trail_length> best;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        double const score = rendezvous_score(flow, seeds_[i], scales_[i]);
        if (score >= best.back().score_)
        {
            continue;
        }
        std::size_t rank = trail_length - 1;
        for (; rank > 0 && score < best[rank - 1].score_; --rank)
        {
            best[rank] = best[rank - 1];
        }
        best[rank] = {score, i};
    }
    trail result;
    result.size_ =
        static_cast<std::uint8_t>(std::min(trail_length, members_.size()));
    for (std::size_t rank = 0; rank < result.size_; ++rank)
    {
        result.candidates_[rank] = members_[best[rank].index_];
    }
    return result;
}

} // namespace daisytrail
