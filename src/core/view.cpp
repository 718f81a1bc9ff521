// Changes to a process's view of the fleet.
#include <daisytrail/view.hpp>

#include <algorithm>

namespace daisytrail
{

void fleet_view::apply(organisation_template const& organisation)
{
    auto& held = organisations_[organisation.name_];
    std::vector<service_id> named;
    for (auto const& service : organisation.services_)
    {
        named.push_back(service.id_);
    }
    for (auto const id : held)
    {
        auto& entry = services_[id];
        for (auto const& vip : entry.vips_)
        {
            vips_.erase(vip);
        }
        entry.vips_.clear();
    }
    held = std::move(named);
    for (auto const& service : organisation.services_)
    {
        auto& entry = services_[service.id_];
        entry.id_ = service.id_;
        entry.vips_ = service.vips_;
        for (auto const& vip : service.vips_)
        {
            vips_[vip] = service.id_;
        }
    }
}

bool fleet_view::apply(target_record const& record)
{
    auto& entry = services_[record.service_];
    entry.id_ = record.service_;
    auto const at = std::ranges::lower_bound(entry.targets_, record.target_, {},
                                             &target_record::target_);
    if (at == entry.targets_.end() || at->target_ != record.target_)
    {
        entry.targets_.insert(at, record);
    }
    else if (supersedes(record, *at))
    {
        *at = record;
    }
    else
    {
        return false;
    }
    service_of_target_[record.target_] = record.service_;
    entry.table_ = service_table(entry.targets_);
    return true;
}

void fleet_view::forget(target_id target)
{
    auto const service = service_of_target_.find(target);
    if (service == service_of_target_.end())
    {
        return;
    }
    auto& entry = services_[service->second];
    std::erase_if(entry.targets_, [target](target_record const& record)
                  { return record.target_ == target; });
    entry.table_ = service_table(entry.targets_);
    service_of_target_.erase(service);
}

fleet_view::service_entry const* fleet_view::find(endpoint const& vip) const
{
    auto const id = vips_.find(vip);
    return id == vips_.end() ? nullptr : find_service(id->second);
}

fleet_view::service_entry const* fleet_view::find_service(service_id id) const
{
    auto const entry = services_.find(id);
    return entry == services_.end() ? nullptr : &entry->second;
}

} // namespace daisytrail
