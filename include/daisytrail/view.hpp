// The fleet as this process knows it: services by VIP and targets by service.
// The forwarding thread updates the view in place; an update rebuilds only the
// tables of the services that it affects.
#pragma once

#include <daisytrail/forwarding.hpp>
#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// The part of a target's record that the view stores. The other fields are
// omitted to save memory, since a balancer holds the targets of all services.
struct target_entry
{
    table_member member_;
    std::uint64_t sequence_ = 0;
    std::string name_;

    target_id target() const
    {
        return member_.candidate_.target_;
    }

    member_state state() const
    {
        return member_.candidate_.state_;
    }
};

// One service. The data members that forwarding a packet reads come first.
struct service_entry
{
    service_id id_ = 0;
    service_table table_{{}};
    std::vector<target_entry> targets_; // sorted by target()
    std::vector<endpoint> vips_;        // claimed by the template, sorted
    std::string name_;                  // "organisation/service"; empty if no
                                        // template defines the service
};

class fleet_view
{
public:
    using service_entry = daisytrail::service_entry;

    fleet_view() = default;
    // Not copyable: vips_ points into services_.
    fleet_view(fleet_view const&) = delete;
    fleet_view& operator=(fleet_view const&) = delete;

    // Replaces all services of the organisation. Services that remain keep
    // their targets; VIPs that the template no longer lists are removed. If
    // several services claim a VIP, the service with the lowest id owns it
    // regardless of the order of arrival, so that all balancers agree.
    void apply(organisation_template const& organisation);

    // Merges a record. Returns true if the target was unknown or the record
    // superseded the stored one.
    bool apply(target_record const& record);

    // Removes a target whose state is left or dead; has no effect on a target
    // in another state.
    void erase_if_gone(target_id target);

    // Returns the service that owns a VIP and port, or nullptr.
    service_entry const* find(endpoint const& vip) const
    {
        auto const entry = vips_.find(vip);
        return entry == vips_.end() ? nullptr : entry->second;
    }

    service_entry const* find_service(service_id id) const;

    std::size_t service_count() const
    {
        return services_.size();
    }

    std::size_t target_count() const
    {
        return service_of_target_.size();
    }

    void for_each_service(
        std::function<void(service_entry const&)> const& visit) const;

private:
    void claim(endpoint const& vip, service_entry& service);
    void release(endpoint const& vip, service_entry& service);
    void remove_target(service_entry& service, target_id target);
    void erase_if_unused(service_id id);

    // The values point into services_, whose nodes have stable addresses.
    boost::unordered_flat_map<endpoint, service_entry*, endpoint_hash> vips_;
    // VIPs that several services claim, with all claiming services.
    std::unordered_map<endpoint, std::vector<service_entry*>, endpoint_hash>
        contested_vips_;
    std::unordered_map<service_id, service_entry> services_;
    boost::unordered_flat_map<target_id, service_id> service_of_target_;
    std::unordered_map<std::string, std::vector<service_id>> organisations_;
};

} // namespace daisytrail
