// Balancers that offered a packet of a flow whose owner they don't know, and
// what shows that the backend server holds it: what it doesn't hold it returns
// at once, so silence counts once it has certainly had the time and everything
// that it sent meanwhile was read.
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
    std::size_t max_checks_ = 10'000; // then the oldest is forgotten
    // A backend server that runs has returned what it doesn't hold by then.
    duration return_timeout_ = std::chrono::milliseconds(30);
    duration check_timeout_ = std::chrono::seconds(5); // a balancer asks again
};

class ownership_checks
{
public:
    struct ownership_check
    {
        flow_key flow_;
        endpoint balancer_;                 // the one that asked last
        std::optional<time_point> sent_at_; // empty while the packet waits
    };

    explicit ownership_checks(ownership_check_settings settings = {})
        : settings_(settings)
    {
    }

    // A packet was queued for the backend server.
    void add(flow_key const& flow, endpoint const& balancer);

    // What was queued has gone to the backend server.
    void on_packets_sent(time_point now);

    // A datagram of the backend server was read.
    void on_datagram_read(time_point now);

    // All that the backend server had sent by then was read and handled.
    void on_socket_emptied(time_point at);

    bool contains(flow_key const& flow) const
    {
        return index_.contains(flow);
    }

    // Ends a claim since the backend server told about the flow; returns the
    // balancer, empty if nobody asked.
    std::optional<endpoint> take(flow_key const& flow);

    // Ends and returns those whose flows the backend server holds.
    std::vector<ownership_check> take_confirmed();

    // The backend server has started again: what it got before is lost.
    void clear()
    {
        checks_.clear();
        index_.clear();
    }

    // Forgets those that have waited for too long.
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
    // A datagram that shows that the backend server runs.
    struct liveness_evidence
    {
        time_point sent_after_;
        time_point read_at_;
    };

    using check_list = std::list<ownership_check>;

    check_list::iterator erase(check_list::iterator at);

    ownership_check_settings settings_;
    check_list checks_; // in the order of their packets
    std::unordered_map<flow_key, check_list::iterator, flow_hash> index_;
    time_point last_sent_at_{}; // of any claim
    time_point last_emptied_at_{};
    std::deque<liveness_evidence> evidence_; // oldest first
    // What was sent by then and didn't come back is held.
    time_point confirmed_until_{};
};

} // namespace daisytrail
