// Table of the membership records that a process holds, with the indexes that
// membership needs: a hash tree for anti-entropy, the members of each service,
// the live balancers, and a consistent-hashing ring that assigns targets to
// their observers.
#pragma once

#include <daisytrail/item_tree.hpp>
#include <daisytrail/record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

class member_table
{
public:
    struct entry
    {
        target_record record_;
        time_point changed_at_; // when this process merged the last change
    };

    // Merges a record. Returns true if it is new or superseded the held one.
    bool merge(target_record const& record, time_point now);

    // Merges a version and state without a body, such as the end of a member.
    // Returns false if the record isn't held or isn't superseded.
    bool merge(item const& version, time_point now);

    // Removes the records of members that ended before `ended_before`.
    void remove_ended(time_point ended_before);

    // Adds an item that isn't a member to the hash tree, or removes it.
    void toggle(item const& other)
    {
        tree_.toggle(other);
    }

    target_record const* find(std::uint64_t id) const;

    item_tree const& tree() const
    {
        return tree_;
    }

    std::map<std::uint64_t, entry> const& all() const
    {
        return entries_;
    }

    // Returns the items of the live members under one node of the tree.
    std::vector<item> items(tree_node const& node) const;

    // Returns a hash over the live members of a service except `excluded`.
    std::uint64_t service_hash(service_id service,
                               std::uint64_t excluded) const;

    // Returns the ids of the members of a service, also of ended ones.
    std::span<std::uint64_t const> service_members(service_id service) const;

    // Hash over the ids of the targets that may own flows. It doesn't cover
    // versions and states, so it changes only when a target joins or ends.
    std::uint64_t targets_hash() const
    {
        return targets_hash_;
    }

    // The targets that joined or ended last, newest first.
    std::vector<std::uint64_t> const& latest_targets() const
    {
        return latest_targets_;
    }

    // Ids of the live balancers, sorted.
    std::vector<std::uint64_t> const& balancers() const
    {
        return balancers_;
    }

    // Returns the `count` balancers that follow an id on the ring, in ring
    // order, or all balancers if there are fewer.
    std::vector<std::uint64_t> observers(std::uint64_t id,
                                         std::size_t count) const;

private:
    struct service_index
    {
        std::uint64_t hash_ = 0;             // XOR over the live members
        std::vector<std::uint64_t> members_; // live and ended
    };

    void record_target_change(std::uint64_t id);
    void replace(entry& current, target_record const& record, time_point now);
    void toggle_in_hashes(target_record const& record);
    void update_balancer(target_record const& record);
    void add_ring_points(std::uint64_t balancer);

    // Ordered by id, so that the records of a tree leaf are contiguous.
    std::map<std::uint64_t, entry> entries_;
    item_tree tree_; // live members, and items added by toggle()
    std::unordered_map<service_id, service_index> services_;
    std::uint64_t targets_hash_ = 0; // XOR of hash_identifier()
    std::vector<std::uint64_t> latest_targets_;
    std::vector<std::uint64_t> balancers_; // sorted
    // Pairs of point and balancer, sorted; points_per_balancer points for each
    // live balancer.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ring_;
};

item to_item(target_record const& record);

std::uint64_t hash_identifier(std::uint64_t id);

} // namespace daisytrail
