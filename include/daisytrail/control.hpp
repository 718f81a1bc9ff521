// Interface between the control plane and the data path: events that the
// control plane reports, and the operations that it offers to an agent. The
// implementation over UDP is in src/net/; tests replace it by mocks.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisytrail
{

// Receiver of control-plane events. All functions are called on the thread of
// the event loop.
class control_events
{
public:
    virtual ~control_events() = default;

    // A target's record is new or was superseded. All states are reported,
    // including left and dead.
    virtual void on_target(target_record const& record) = 0;

    // This version of an organisation's template came into force in this
    // process.
    virtual void on_organisation(organisation_template const& value,
                                 template_version version) = 0;

    // Other balancers confirmed that this balancer knows all targets that they
    // know. The confirmation covers the state as of `requested_at`.
    virtual void on_view_confirmed(time_point requested_at)
    {
        (void)requested_at;
    }

    // Reports the stored list of targets that existed before this process
    // started. A target that was stored without its address has no name.
    virtual void on_target_list(std::vector<target_record> const& targets)
    {
        (void)targets;
    }
};

// The fields of a target's record that its agent may change at run time.
struct target_status
{
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    std::uint32_t weight_ = 1;
    member_state state_ = member_state::joining;

    bool operator==(target_status const&) const = default;
};

// Membership operations of an agent.
class agent_membership
{
public:
    virtual ~agent_membership() = default;

    // Publishes a change of this agent's record with a new sequence number.
    virtual void publish(target_status const& status) = 0;

    // Returns the record as last published.
    virtual target_record const& self() const = 0;
};

} // namespace daisytrail
