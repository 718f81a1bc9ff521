// A process's view of the fleet: services by VIP and targets by service.
// Changed in place on the thread that forwards; one change costs a rebuild of
// one service's table only.
#pragma once

#include <daisytrail/forwarding.hpp>
#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

struct endpoint_hash
{
    std::size_t operator()(endpoint const& value) const noexcept
    {
        return (std::uint64_t{value.address_} << 16U | value.port_) *
               0x9E3779B97F4A7C15ULL;
    }
};

class fleet_view
{
public:
    // Replaces all services of the organisation, keeping the targets of
    // services that stay. VIPs that it no longer names become unknown.
    void apply(organisation_template const& organisation);

    // Merges a record; returns true if it superseded the one held.
    bool apply(target_record const& record);

    // Forgets a record whose state is left or dead.
    void forget(target_id target);

    // The service behind a VIP and port, or nullptr.
    struct service_entry
    {
        service_id id_ = 0;
        service_table table_{{}};
        std::vector<target_record> targets_; // sorted by target_
        std::vector<endpoint> vips_;
    };
    service_entry const* find(endpoint const& vip) const;
    service_entry const* find_service(service_id id) const;

    std::size_t service_count() const
    {
        return services_.size();
    }

private:
    // Every value of vips_ is a key of services_.
    std::unordered_map<endpoint, service_id, endpoint_hash> vips_;
    std::unordered_map<service_id, service_entry> services_;
    std::unordered_map<target_id, service_id> service_of_target_;
    std::unordered_map<std::string, std::vector<service_id>> organisations_;
};

} // namespace daisytrail
