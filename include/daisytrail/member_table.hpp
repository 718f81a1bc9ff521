// The records that a process holds, with the indexes that gossip needs: the
// hash tree, the members of each service, the live balancers and the ring that
// assigns targets to observers.
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
        time_point changed_at_; // when this process learned of the last change
    };

    // Merges a record; returns true if it superseded the one held.
    bool merge(target_record const& record, time_point now);

    // Applies a newer version whose body is known or not needed: a death, a
    // departure. Returns false if the record isn't held.
    bool merge(item const& version, time_point now);

    // Drops records that ended before `limit`.
    void remove_ended(time_point ended_before);

    // Adds or removes something else that views are compared by.
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

    // Items of live members under one node of the tree.
    std::vector<item> items(tree_node const& node) const;

    // Hash over the live members of a service, one left out.
    std::uint64_t service_hash(service_id service,
                               std::uint64_t excluded) const;

    std::span<std::uint64_t const> service_members(service_id service) const;

    // Hash over the identifiers of targets that may own flows. Versions and
    // states don't count, so it is quiet unless targets join or end.
    std::uint64_t targets_hash() const
    {
        return targets_hash_;
    }

    // Targets that joined or ended lately, newest first.
    std::vector<std::uint64_t> const& latest_targets() const
    {
        return latest_targets_;
    }

    // Ids of live balancers.
    std::vector<std::uint64_t> const& balancers() const
    {
        return balancers_;
    }

    // The balancers that observe an id, nearest first on the ring.
    std::vector<std::uint64_t> observers(std::uint64_t id,
                                         std::size_t count) const;

private:
    struct service_index
    {
        std::uint64_t hash_ = 0;             // XOR over the live members
        std::vector<std::uint64_t> members_; // ended ones too
    };

    void record_target_change(std::uint64_t id);
    void replace(entry& current, target_record const& record, time_point now);
    void toggle_in_hashes(target_record const& record);
    void update_balancer(target_record const& record);
    void add_ring_points(std::uint64_t balancer);

    // Ordered, so that a leaf of the tree is a range.
    std::map<std::uint64_t, entry> entries_;
    item_tree tree_; // over live members
    std::unordered_map<service_id, service_index> services_;
    std::uint64_t targets_hash_ = 0; // XOR of hash_identifier()
    std::vector<std::uint64_t> latest_targets_;
    std::vector<std::uint64_t> balancers_; // sorted
    // Points of live balancers, points_per_balancer each, sorted.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ring_;
};

item to_item(target_record const& record);

std::uint64_t hash_identifier(std::uint64_t id);

} // namespace daisytrail
