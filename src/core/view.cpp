// Updates and lookups of the fleet view.
#include <daisytrail/view.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisytrail
{

namespace
{

record_version version_of(target_entry const& target)
{
    return {target.member_.candidate_.incarnation_, target.sequence_};
}

// Returns true if `record` supersedes the stored entry, by the rule of
// supersedes().
bool replaces(target_record const& record, target_entry const& held)
{
    if (record.version_ != version_of(held))
    {
        return record.version_ > version_of(held);
    }
    return record.state_ > held.state();
}

auto find_target(std::vector<target_entry>& targets, target_id target)
{
    return std::ranges::lower_bound(targets, target, {}, &target_entry::target);
}

void rebuild(service_entry& service)
{
    std::vector<table_member> members;
    members.reserve(service.targets_.size());
    std::ranges::transform(service.targets_, std::back_inserter(members),
                           &target_entry::member_);
    service.table_ = service_table::from_members(members);
}

bool has_lower_id(service_entry const* left, service_entry const* right)
{
    return left->id_ < right->id_;
}

} // namespace

void fleet_view::apply(organisation_template const& organisation)
{
    auto const former_ids =
        std::exchange(organisations_[organisation.name_], {});
    for (auto const id : former_ids)
    {
        auto& entry = services_.at(id);
        for (auto const& vip : entry.vips_)
        {
            release(vip, entry);
        }
        entry.vips_.clear();
        entry.name_.clear();
    }
    auto& service_ids = organisations_[organisation.name_];
    for (auto const& service : organisation.services_)
    {
        auto& entry = services_[service.id_];
        entry.id_ = service.id_;
        entry.name_ = organisation.name_ + '/' + service.name_;
        entry.vips_ = service.vips_;
        std::ranges::sort(entry.vips_);
        for (auto const& vip : entry.vips_)
        {
            claim(vip, entry);
        }
        service_ids.push_back(service.id_);
    }
    for (auto const id : former_ids)
    {
        erase_if_unused(id);
    }
}

bool fleet_view::apply(target_record const& record)
{
    auto const known = service_of_target_.find(record.target_);
    if (known != service_of_target_.end())
    {
        auto& former = services_.at(known->second);
        auto const held = find_target(former.targets_, record.target_);
        if (!replaces(record, *held))
        {
            return false;
        }
        if (known->second != record.service_)
        {
            remove_target(former, record.target_);
            erase_if_unused(former.id_);
        }
    }
    auto& entry = services_[record.service_];
    entry.id_ = record.service_;
    auto at = find_target(entry.targets_, record.target_);
    if (at == entry.targets_.end() || at->target() != record.target_)
    {
        at = entry.targets_.insert(at, target_entry{});
    }
    *at = {to_member(record), record.version_.sequence_, record.name_};
    service_of_target_[record.target_] = record.service_;
    rebuild(entry);
    return true;
}

void fleet_view::erase_if_gone(target_id target)
{
    auto const known = service_of_target_.find(target);
    if (known == service_of_target_.end())
    {
        return;
    }
    auto const id = known->second;
    auto& entry = services_.at(id);
    if (may_own_flows(find_target(entry.targets_, target)->state()))
    {
        return;
    }
    service_of_target_.erase(known);
    remove_target(entry, target);
    erase_if_unused(id);
}

service_entry const* fleet_view::find_service(service_id id) const
{
    auto const entry = services_.find(id);
    return entry == services_.end() ? nullptr : &entry->second;
}

void fleet_view::for_each_service(
    std::function<void(service_entry const&)> const& visit) const
{
    for (auto const& [id, entry] : services_)
    {
        visit(entry);
    }
}

void fleet_view::claim(endpoint const& vip, service_entry& service)
{
    auto const [held, inserted] = vips_.try_emplace(vip, &service);
    if (inserted || held->second == &service)
    {
        return;
    }
    auto& claims = contested_vips_[vip];
    if (claims.empty())
    {
        claims.push_back(held->second);
    }
    claims.push_back(&service);
    held->second = *std::ranges::min_element(claims, has_lower_id);
}

void fleet_view::release(endpoint const& vip, service_entry& service)
{
    auto const contested = contested_vips_.find(vip);
    if (contested == contested_vips_.end())
    {
        vips_.erase(vip);
        return;
    }
    auto& claims = contested->second;
    std::erase(claims, &service);
    vips_[vip] = *std::ranges::min_element(claims, has_lower_id);
    if (claims.size() == 1)
    {
        contested_vips_.erase(contested);
    }
}

void fleet_view::remove_target(service_entry& service, target_id target)
{
    service.targets_.erase(find_target(service.targets_, target));
    rebuild(service);
}

void fleet_view::erase_if_unused(service_id id)
{
    auto const entry = services_.find(id);
    if (entry != services_.end() && entry->second.name_.empty() &&
        entry->second.targets_.empty())
    {
        services_.erase(entry);
    }
}

} // namespace daisytrail
