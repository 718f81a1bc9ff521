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

struct owner_claims_settings
{
    std::size_t max_claims_ = 10'000; // then the oldest is forgotten
    // A backend server that runs has returned what it doesn't hold by then.
    duration return_time_ = std::chrono::milliseconds(30);
    duration claim_life_ = std::chrono::seconds(5); // a balancer asks again
};

class owner_claims
{
public:
    struct claim
    {
        flow_key flow_;
        endpoint balancer_;              // the one that asked last
        std::optional<time_point> sent_; // empty while the packet waits
    };

    explicit owner_claims(owner_claims_settings settings = {})
        : settings_(settings)
    {
    }

    // A packet was queued for the backend server.
    void add(flow_key const& flow, endpoint const& balancer);

    // What was queued has gone to the backend server.
    void on_sent(time_point now);

    // A datagram of the backend server was read.
    void on_heard(time_point now);

    // All that the backend server had sent by then was read and handled.
    void on_emptied(time_point at);

    bool contains(flow_key const& flow) const
    {
        return index_.contains(flow);
    }

    // Ends a claim since the backend server told about the flow; returns the
    // balancer, empty if nobody asked.
    std::optional<endpoint> take(flow_key const& flow);

    // Ends and returns those whose flows the backend server holds.
    std::vector<claim> take_held();

    // The backend server has started again: what it got before is lost.
    void clear()
    {
        claims_.clear();
        index_.clear();
    }

    // Forgets those that have waited for too long.
    void tick(time_point now);

    bool empty() const
    {
        return claims_.empty();
    }

    bool has_unsent() const
    {
        return !claims_.empty() && !claims_.back().sent_;
    }

private:
    // A datagram that shows that the backend server runs.
    struct sign_of_life
    {
        time_point sent_after_;
        time_point read_;
    };

    using claim_list = std::list<claim>;

    claim_list::iterator erase(claim_list::iterator at);

    owner_claims_settings settings_;
    claim_list claims_; // in the order of their packets
    std::unordered_map<flow_key, claim_list::iterator, flow_hash> index_;
    time_point newest_sent_{}; // of any claim
    time_point emptied_{};
    std::deque<sign_of_life> signs_; // oldest first
    // What was sent by then and didn't come back is held.
    time_point held_until_{};
};

} // namespace daisytrail
