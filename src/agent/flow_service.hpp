// What the agent does with an accepted flow, by service mode.
#pragma once

#include "lwip/tcp_stack.hpp"

#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace daisytrail
{

// What the backend server has announced.
struct backend_status
{
    endpoint address_;
    bool ready_ = false; // announced, and the heartbeat is fresh
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
};

// Strategy object for one service mode; methods run on the event loop.
class flow_service
{
public:
    virtual ~flow_service() = default;

    // Takes over a flow from its first byte to its end.
    virtual void accept(std::shared_ptr<tcp_flow> flow) = 0;

    // The service's template or the backend server's status has changed.
    virtual void update(service_template const& service,
                        backend_status const& backend) = 0;

    // The records of the service's targets, the own one among them.
    virtual void set_targets(std::vector<target_record> const& /*records*/,
                             target_record const& /*self*/)
    {
    }

    // Stops taking new work and ends idle flows gracefully; `deadline` bounds
    // the work that is running.
    virtual void drain(time_point deadline) = 0;

    // Flows and requests that are still open.
    virtual std::size_t open_work() const = 0;
};

} // namespace daisytrail
