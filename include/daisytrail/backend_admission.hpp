// Admission control of an agent: decides which packets are passed to the
// backend server and gives the reason for returning the others to the balancer.
// A flow is denied only on evidence: the flows that the backend server holds,
// the packets that it returned or its own announcements. Silence of the backend
// server is no evidence.
#pragma once

#include <daisytrail/backend_lifecycle.hpp>
#include <daisytrail/backend_observer.hpp>
#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

namespace daisytrail
{

class backend_admission
{
public:
    // `lifecycle` and `observer` must outlive this object.
    backend_admission(backend_lifecycle const& lifecycle,
                      backend_observer const& observer, time_point now)
        : lifecycle_(lifecycle), observer_(observer), started_at_(now)
    {
    }

    // Refuses all new flows from now on.
    void set_stopping()
    {
        is_stopping_ = true;
    }

    // Resets the probe interval after a restart of the backend server.
    void on_new_run();

    // Returns true if the backend server has become unresponsive or responsive
    // since the last call.
    bool update_responsiveness(time_point now);

    bool is_unresponsive() const
    {
        return is_unresponsive_;
    }

    // True if the SYN of a new flow would be passed.
    bool accepts_flows(time_point now) const;

    // Returns `none` if the packet is to be passed, else the reason for
    // returning it. `is_owner_unknown` says that the balancer doesn't know
    // whether this backend server holds the flow.
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
    // An unresponsive backend server gets the next SYN at this time.
    time_point next_probe_at_{};
    duration probe_interval_{}; // from the next probe to the one after it
    bool is_stopping_ = false;
    bool is_unresponsive_ = false; // at the last update_responsiveness()
};

} // namespace daisytrail
