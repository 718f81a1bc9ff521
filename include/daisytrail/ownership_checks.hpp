// Pending checks whether the backend server holds a flow. A balancer that
// doesn't know the owner of a flow offers a packet of the flow to the agent,
// and the agent passes the packet to the backend server, which immediately
// returns packets of flows that it doesn't hold. A packet that isn't returned
// confirms that the backend server holds the flow, once the backend server has
// had the time to return the packet and the agent has read everything that the
// backend server sent in that time.
#pragma once

#include <daisytrail/types.hpp>

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

struct ownership_check_settings
{
    std::size_t max_checks_ = 10'000; // above this, the oldest is dropped
    // Time within which a running backend server returns a packet of a flow
    // that it doesn't hold.
    duration return_timeout_ = std::chrono::milliseconds(30);
    duration check_timeout_ = std::chrono::seconds(5); // balancers retry
};

class ownership_checks
{
public:
    struct ownership_check
    {
        flow_key flow_;
        endpoint balancer_;                 // last balancer that asked
        std::optional<time_point> sent_at_; // empty while the packet is queued
    };

    explicit ownership_checks(ownership_check_settings settings = {})
        : settings_(settings)
    {
    }

    // Adds a check for a flow whose packet was queued for the backend server.
    void add(flow_key const& flow, endpoint const& balancer);

    // Records that the queued packets were sent to the backend server.
    void on_packets_sent(time_point now);

    // Records that a datagram from the backend server was read.
    void on_datagram_read(time_point now);

    // Records that every datagram that the backend server had sent by `at` was
    // read and handled.
    void on_socket_emptied(time_point at);

    bool contains(flow_key const& flow) const
    {
        return index_.contains(flow);
    }

    // Ends the check of a flow that a datagram of the backend server has
    // decided. Returns the balancer that asked, or nothing if there is no
    // check.
    std::optional<endpoint> take(flow_key const& flow);

    // Ends and returns the checks that confirmed that the backend server holds
    // the flow.
    std::vector<ownership_check> take_confirmed();

    // Drops all checks. Used when the backend server has restarted, since it
    // has lost the packets that it got before.
    void clear()
    {
        checks_.clear();
        index_.clear();
    }

    // Drops the checks that have timed out.
    void tick(time_point now);

    bool empty() const
    {
        return checks_.empty();
    }

    bool has_unsent() const
    {
        return !checks_.empty() && !checks_.back().sent_at_;
    }

private:
    // A datagram that proves that the backend server was running.
    struct liveness_evidence
    {
        time_point sent_after_; // lower bound of the time of sending
        time_point read_at_;
    };

    using check_list = std::list<ownership_check>;

    check_list::iterator erase(check_list::iterator at);

    ownership_check_settings settings_;
    check_list checks_; // in the order in which packets were queued
    std::unordered_map<flow_key, check_list::iterator, flow_hash> index_;
    time_point last_sent_at_{}; // latest sent_at_ of all checks
    time_point last_emptied_at_{};
    std::deque<liveness_evidence> evidence_; // oldest first
    // Packets that were sent until this time and weren't returned belong to
    // flows that the backend server holds.
    time_point confirmed_until_{};
};

} // namespace daisytrail
