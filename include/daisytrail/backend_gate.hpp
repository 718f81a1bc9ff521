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

class backend_gate
{
public:
    // Both must outlive the gate.
    backend_gate(backend_life const& life, backend_observer const& observer,
                 time_point now)
        : life_(life), observer_(observer), started_(now)
    {
    }

    // Takes no new flows from now on.
    void set_stopping()
    {
        stopping_ = true;
    }

    // The backend server has started again.
    void on_new_run();

    // Returns true if the backend server has become silent or answers again.
    bool watch_darkness(time_point now);

    bool is_dark() const
    {
        return dark_;
    }

    // True if a new flow would be passed.
    bool accepts_flows(time_point now) const;

    // `none` if the packet is to be passed. With `is_searched` the balancer
    // doesn't know whether this backend server holds the flow.
    return_reason refusal(flow_packet const& packet, bool is_searched,
                          time_point now);

private:
    return_reason refusal_of_syn(time_point now);
    return_reason refusal_of_open(flow_packet const& packet, bool is_searched,
                                  time_point now) const;

    backend_life const& life_;
    backend_observer const& observer_;
    time_point started_;
    time_point next_probe_{}; // when a silent backend server gets a SYN again
    duration probe_wait_{};   // until the probe after that
    bool stopping_ = false;
    bool dark_ = false; // as last watched
};

} // namespace daisytrail
