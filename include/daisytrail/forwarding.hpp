// Choice of targets for a packet: weighted rendezvous hashing over the records
// of a service. Large services use a tree. The choice keeps no state between
// packets, so any two balancers with the same records make the same choice.
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

// Maximum number of ranked candidates that a packet carries.
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

// The best-ranked candidates of a flow, best candidate first.
struct ranked_candidates
{
    std::array<candidate, max_candidates> candidates_;
    std::uint8_t size_ = 0;

    std::span<candidate const> view() const
    {
        return {candidates_.data(), size_};
    }
};

// One member of a service and its weight in the choice.
struct table_member
{
    candidate candidate_;
    std::uint32_t weight_ = 0; // members with weight 0 are left out
};

namespace detail
{

// Four items of a choice, stored side by side for vector instructions. The
// scores are computed in src/core.
struct alignas(16) score_block
{
    std::array<std::uint32_t, 4> seeds_{};
    std::array<float, 4> scales_{}; // 1 / weight
};

class target_tree;

} // namespace detail

// The choice for a flow scores all members of a service up to a limit on their
// number, and uses the tree above the limit. The limits of different flows are
// spread between min_flat_limit and max_flat_limit, so that no single join
// moves all flows to new targets.
inline constexpr std::size_t min_flat_limit = 64;
inline constexpr std::size_t max_flat_limit = 128;

// The members of one service, laid out for a fast choice. A table doesn't
// change once it is built; copies share the tree and the nested table.
class service_table
{
public:
    // Keeps the members whose state allows them to own flows. The order of the
    // records doesn't matter.
    explicit service_table(std::span<target_record const> records);
    static service_table from_members(std::span<table_member const> members);

    // Returns the ranked candidates for a flow hash. Draining members keep
    // their rank, so the owner of a new flow is the first candidate that takes
    // new work. If any member takes new work, then at least one candidate does.
    ranked_candidates pick(std::uint64_t flow) const;

    // Prefetches the memory that pick() reads for a small service.
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
    // Score inputs of members_, by index; empty above max_flat_limit members.
    std::vector<detail::score_block> blocks_;
    // Null if there are at most min_flat_limit members.
    std::shared_ptr<detail::target_tree const> tree_;
    // The members that take new work. Null if there are none, or if the ranked
    // candidates of every flow are certain to hold at least one of them.
    std::shared_ptr<service_table const> accepting_members_;
};

// Extracts the fields of a record that the choice uses.
table_member to_member(target_record const& record);

} // namespace daisytrail
