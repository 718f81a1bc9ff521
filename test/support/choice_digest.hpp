// Digest of many choices of targets, to check that two builds choose alike.
#pragma once

#include <daisytrail/forwarding.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisytrail
{

// Makes ready members "target-0", "target-1" and so on, whose weights cycle
// through `weights`.
inline std::vector<table_member>
make_members(std::size_t count, std::vector<std::uint32_t> const& weights = {1})
{
    std::vector<table_member> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        table_member member;
        member.candidate_.target_ = hash_name("target-" + std::to_string(i));
        member.candidate_.incarnation_ = 1;
        member.candidate_.state_ = member_state::ready;
        member.weight_ = weights[i % weights.size()];
        members.push_back(member);
    }
    return members;
}

// Hash of the flow at `index` in a long list of distinct flows.
inline std::uint64_t nth_flow(std::uint32_t index)
{
    return hash_flow({{0x0A000000 + index / 50'000,
                       static_cast<std::uint16_t>(10'000 + index % 50'000)},
                      {0xC0000201, 80}});
}

// FNV-1a hash of the ranked candidates of `flows` flows in service tables of
// many sizes and weights.
inline std::uint64_t choice_digest(std::uint32_t flows)
{
    std::uint64_t digest = 0xcbf29ce484222325ULL;
    for (std::size_t const size : {1, 2, 3, 4, 7, 16, 64, 65, 96, 200, 2'000})
    {
        auto const table =
            service_table::from_members(make_members(size, {1, 4, 7, 100}));
        for (std::uint32_t i = 0; i < flows; ++i)
        {
            auto const candidates = table.pick(nth_flow(i));
            for (auto const& candidate : candidates.view())
            {
                digest = (digest ^ candidate.target_) * 0x100000001b3ULL;
            }
        }
    }
    return digest;
}

} // namespace daisytrail
