// Interface of the service modes, which handle the accepted flows of an agent.
#pragma once

#include "lwip/tcp_stack.hpp"

#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace daisytrail
{

// Status of the backend server according to its announcements.
struct backend_status
{
    endpoint address_;
    bool ready_ = false; // announced recently, and hasn't left
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
};

// Handles flows in one service mode. All functions are called on the thread of
// the event loop.
class flow_service
{
public:
    virtual ~flow_service() = default;

    // Takes over a newly established flow until it ends.
    virtual void accept(std::shared_ptr<tcp_flow> flow) = 0;

    // Called when the template of the service or the status of the backend
    // server has changed.
    virtual void update(service_template const& service,
                        backend_status const& backend) = 0;

    // Sets the records of all targets of the service, including this agent's.
    virtual void set_targets(std::vector<target_record> const& /*records*/,
                             target_record const& /*self*/)
    {
    }

    // Stops taking new work and closes idle flows gracefully. Work in progress
    // may go on until `deadline`.
    virtual void drain(time_point deadline) = 0;

    // Number of flows and requests that are still open.
    virtual std::size_t open_work_count() const = 0;
};

} // namespace daisytrail
