// Merging of membership records, and upkeep of the indexes over them.
#include <daisytrail/member_table.hpp>

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace daisytrail
{

namespace
{

// Points of one balancer on the ring. The relative spread of the arc lengths
// shrinks with the square root of the number of points.
constexpr std::uint64_t points_per_balancer = 16;

constexpr std::size_t max_latest_targets = 24;

bool is_live_target(target_record const& record)
{
    return record.service_ != balancer_service && may_own_flows(record.state_);
}

std::uint64_t ring_point(std::uint64_t balancer, std::uint64_t index)
{
    std::uint64_t const words[2] = {balancer, index};
    return XXH3_64bits(words, sizeof(words));
}

} // namespace

item to_item(target_record const& record)
{
    return {item_kind::member, record.target_, record.version_, record.state_};
}

std::uint64_t hash_identifier(std::uint64_t id)
{
    return XXH3_64bits(&id, sizeof(id));
}

bool member_table::merge(target_record const& record, time_point now)
{
    auto const [at, is_new] = entries_.try_emplace(record.target_);
    if (is_new)
    {
        at->second = {record, now};
        services_[record.service_].members_.push_back(record.target_);
        toggle_in_hashes(record);
        update_balancer(record);
        if (is_live_target(record))
        {
            record_target_change(record.target_);
        }
        return true;
    }
    if (!supersedes(record, at->second.record_))
    {
        return false;
    }
    replace(at->second, record, now);
    return true;
}

bool member_table::merge(item const& version, time_point now)
{
    auto const at = entries_.find(version.id_);
    if (at == entries_.end())
    {
        return false;
    }
    auto record = at->second.record_;
    record.version_ = version.version_;
    record.state_ = version.state_;
    if (!supersedes(record, at->second.record_))
    {
        return false;
    }
    replace(at->second, record, now);
    return true;
}

void member_table::replace(entry& current, target_record const& record,
                           time_point now)
{
    toggle_in_hashes(current.record_);
    if (current.record_.service_ != record.service_)
    {
        std::erase(services_[current.record_.service_].members_,
                   record.target_);
        services_[record.service_].members_.push_back(record.target_);
    }
    bool const was_live = is_live_target(current.record_);
    current = {record, now};
    toggle_in_hashes(record);
    update_balancer(record);
    if (was_live != is_live_target(record))
    {
        record_target_change(record.target_);
    }
}

// Moves a target to the front of the latest targets.
void member_table::record_target_change(std::uint64_t id)
{
    std::erase(latest_targets_, id);
    latest_targets_.insert(latest_targets_.begin(), id);
    if (latest_targets_.size() > max_latest_targets)
    {
        latest_targets_.pop_back();
    }
}

// Adds a live record to the hashes, or removes it: the hashes are XOR sums.
void member_table::toggle_in_hashes(target_record const& record)
{
    if (!may_own_flows(record.state_))
    {
        return;
    }
    auto const value = to_item(record);
    tree_.toggle(value);
    services_[record.service_].hash_ ^= hash_item(value);
    if (is_live_target(record))
    {
        targets_hash_ ^= hash_identifier(record.target_);
    }
}

void member_table::update_balancer(target_record const& record)
{
    auto const at = std::ranges::lower_bound(balancers_, record.target_);
    bool const is_held = at != balancers_.end() && *at == record.target_;
    bool const is_live =
        record.service_ == balancer_service && may_own_flows(record.state_);
    if (is_live && !is_held)
    {
        balancers_.insert(at, record.target_);
        add_ring_points(record.target_);
    }
    else if (!is_live && is_held)
    {
        balancers_.erase(at);
        std::erase_if(ring_, [&](auto const& point)
                      { return point.second == record.target_; });
    }
}

void member_table::add_ring_points(std::uint64_t balancer)
{
    auto const old_size = static_cast<std::ptrdiff_t>(ring_.size());
    for (std::uint64_t i = 0; i < points_per_balancer; ++i)
    {
        ring_.emplace_back(ring_point(balancer, i), balancer);
    }
    std::sort(ring_.begin() + old_size, ring_.end());
    std::inplace_merge(ring_.begin(), ring_.begin() + old_size, ring_.end());
}

void member_table::remove_ended(time_point ended_before)
{
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        auto const& record = at->second.record_;
        if (may_own_flows(record.state_) ||
            at->second.changed_at_ > ended_before)
        {
            ++at;
            continue;
        }
        std::erase(services_[record.service_].members_, record.target_);
        at = entries_.erase(at);
    }
}

target_record const* member_table::find(std::uint64_t id) const
{
    auto const at = entries_.find(id);
    return at == entries_.end() ? nullptr : &at->second.record_;
}

std::vector<item> member_table::items(tree_node const& node) const
{
    auto const shift =
        node.level_ == 0 ? 0U : 64U - node.level_ * tree_fanout_bits;
    std::vector<item> result;
    for (auto at = entries_.lower_bound(std::uint64_t{node.prefix_} << shift);
         at != entries_.end() && node.contains(at->first); ++at)
    {
        if (may_own_flows(at->second.record_.state_))
        {
            result.push_back(to_item(at->second.record_));
        }
    }
    return result;
}

std::uint64_t member_table::service_hash(service_id service,
                                         std::uint64_t excluded) const
{
    auto const at = services_.find(service);
    if (at == services_.end())
    {
        return 0;
    }
    auto const* excluded_record = find(excluded);
    bool const is_counted = excluded_record != nullptr &&
                            excluded_record->service_ == service &&
                            may_own_flows(excluded_record->state_);
    return at->second.hash_ ^
           (is_counted ? hash_item(to_item(*excluded_record)) : 0);
}

std::span<std::uint64_t const>
member_table::service_members(service_id service) const
{
    auto const at = services_.find(service);
    return at == services_.end() ? std::span<std::uint64_t const>{}
                                 : std::span(at->second.members_);
}

std::vector<std::uint64_t> member_table::observers(std::uint64_t id,
                                                   std::size_t count) const
{
    std::vector<std::uint64_t> result;
    count = std::min(count, balancers_.size());
    auto const first = std::ranges::lower_bound(
        ring_, id, {}, [](auto const& point) { return point.first; });
    auto at = static_cast<std::size_t>(std::distance(ring_.begin(), first));
    while (result.size() < count)
    {
        auto const balancer = ring_[at++ % ring_.size()].second;
        if (std::ranges::find(result, balancer) == result.end())
        {
            result.push_back(balancer);
        }
    }
    return result;
}

} // namespace daisytrail
