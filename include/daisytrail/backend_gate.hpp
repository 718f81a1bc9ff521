// Which packets an agent passes to its backend server, and why it returns the
// others. Only what the backend server holds, returned or said of itself proves
// that it doesn't hold a flow; its silence proves nothing.
#pragma once

#include <daisytrail/backend_life.hpp>
#include <daisytrail/backend_observer.hpp>
#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

namespace daisytrail
{

class backend_admission
{
public:
    // Both must outlive the gate.
    backend_admission(backend_lifecycle const& lifecycle,
                      backend_observer const& observer, time_point now)
        : lifecycle_(lifecycle), observer_(observer), started_at_(now)
    {
    }

    // Takes no new flows from now on.
    void set_stopping()
    {
        is_stopping_ = true;
    }

    // The backend server has started again.
    void on_new_run();

    // Returns true if the backend server has become silent or answers again.
    bool update_responsiveness(time_point now);

    bool is_unresponsive() const
    {
        return is_unresponsive_;
    }

    // True if a new flow would be passed.
    bool accepts_flows(time_point now) const;

    // `none` if the packet is to be passed. With `is_owner_unknown` the
    // balancer doesn't know whether this backend server holds the flow.
    return_reason refusal_reason(flow_packet const& packet,
                                 bool is_owner_unknown, time_point now);

private:
    return_reason syn_refusal_reason(time_point now);
    return_reason open_flow_refusal_reason(flow_packet const& packet,
                                           bool is_owner_unknown,
                                           time_point now) const;

    backend_lifecycle const& lifecycle_;
    backend_observer const& observer_;
    time_point started_at_;
    time_point
        next_probe_at_{};       // when a silent backend server gets a SYN again
    duration probe_interval_{}; // until the probe after that
    bool is_stopping_ = false;
    bool is_unresponsive_ = false; // as last watched
};

} // namespace daisytrail
