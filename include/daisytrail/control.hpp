// Events and services of the control plane, as the data path sees them.
// src/net/control.hpp implements them over UDP; tests put mocks in their place.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisytrail
{

// What the control plane reports; called on the event loop's thread.
class control_events
{
public:
    virtual ~control_events() = default;

    // A target's record was superseded. Every state is reported, dead ones too.
    virtual void on_target(target_record const& record) = 0;

    // An organisation's template at this revision is in force here.
    virtual void on_organisation(organisation_template const& value,
                                 revision at) = 0;

    // Other balancers know no target that isn't known here, as of this time.
    virtual void on_view_confirmed(time_point requested_at)
    {
        (void)requested_at;
    }

    // The targets that were known before this process started.
    virtual void on_target_list(std::vector<target_id> const& targets)
    {
        (void)targets;
    }
};

// What an agent tells the fleet about its target.
struct target_status
{
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    std::uint32_t weight_ = 1;
    member_state state_ = member_state::joining;

    bool operator==(target_status const&) const = default;
};

// An agent's side of the control plane.
class agent_membership
{
public:
    virtual ~agent_membership() = default;

    // Publishes a change of the own record under a new sequence number.
    virtual void publish(target_status const& status) = 0;

    // The record as last published.
    virtual target_record const& self() const = 0;
};

} // namespace daisytrail
