// Choice of targets for a packet: weighted rendezvous hashing over the records
// of a service, by a tree in large ones. No state is kept between packets, so
// that any two balancers with the same records make the same choice.
#pragma once

#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace daisytrail
{

// Candidates that travel with a packet.
inline constexpr std::size_t max_candidates = 4;

// One ranked candidate for a flow.
struct candidate
{
    target_id target_ = 0;
    incarnation incarnation_ = 0;
    endpoint tunnel_;
    member_state state_ = member_state::dead;

    bool operator==(candidate const&) const = default;
};

// The best-ranked candidates of a flow, best first.
struct ranked_candidates
{
    std::array<candidate, max_candidates> candidates_;
    std::uint8_t size_ = 0;

    std::span<candidate const> view() const
    {
        return {candidates_.data(), size_};
    }
};

// One member of a service and its share of new flows.
struct table_member
{
    candidate candidate_;
    std::uint32_t weight_ = 0; // at least 1, or the member is left out
};

namespace detail
{

// Four items of a choice, side by side for vector instructions; src/core
// computes their scores.
struct alignas(16) score_block
{
    std::array<std::uint32_t, 4> seeds_{};
    std::array<float, 4> scales_{}; // 1 / weight
};

class target_tree;

} // namespace detail

// Services of up to this many members are always scored member by member, and
// ones of more than max_flat_limit always by the tree. Between the two each
// flow has its own limit, so that no single join re-places all flows.
inline constexpr std::size_t min_flat_limit = 64;
inline constexpr std::size_t max_flat_limit = 128;

// The members of one service, laid out for fast choice. Immutable once built;
// copies share their contents.
class service_table
{
public:
    // Keeps the members whose state may own flows; their order is immaterial.
    explicit service_table(std::span<target_record const> records);
    static service_table from_members(std::span<table_member const> members);

    // Ranked candidates for a flow hash. Draining members keep their rank, so
    // the owner of a new flow is the first candidate that takes new work. If
    // any member takes new work, then some candidate does.
    ranked_candidates pick(std::uint64_t flow) const;

    // Begins to load what pick() reads of a small service.
    void prefetch() const
    {
        constexpr std::size_t max_prefetched = max_candidates;
        __builtin_prefetch(blocks_.data());
        for (std::size_t i = 0; i < max_prefetched && i < members_.size(); ++i)
        {
            __builtin_prefetch(&members_[i]);
        }
    }

    std::size_t size() const
    {
        return members_.size();
    }

    // Sorted by target.
    std::span<candidate const> members() const
    {
        return members_;
    }

private:
    void build(std::span<table_member const> members);
    bool is_flat(std::uint64_t flow) const;
    void ensure_accepting_candidate(std::uint64_t flow,
                                    ranked_candidates& candidates) const;

    // Sorted by target.
    std::vector<candidate> members_;
    // Scores of members_, by index; empty above max_flat_limit.
    std::vector<detail::score_block> blocks_;
    // Null up to min_flat_limit.
    std::shared_ptr<detail::target_tree const> tree_;
    // The members that take new work; null if no trail can be without one.
    std::shared_ptr<service_table const> accepting_members_;
};

// What the choice needs of a record.
table_member to_member(target_record const& record);

} // namespace daisytrail
