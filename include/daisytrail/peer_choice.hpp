// Selects the agents of a service to which a waiting request is offered. The
// cost of a peer combines its last load report, weighted down with age, and the
// offers sent since that report, so that agents don't all pick the same peer.
#pragma once

#include <daisytrail/scheduler.hpp>
#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// Number of agents to which one request is offered at the same time.
inline constexpr std::size_t offers_per_request = 2;

struct peer_offer
{
    std::size_t count_ = 0;
    std::array<target_id, offers_per_request> peers_{};
};

class peer_choice
{
public:
    // Adds a peer or updates the slots of a known peer. The share of new work
    // that an added peer gets ramps up from `now`.
    void add(target_id peer, std::uint32_t slots, time_point now);
    void remove(target_id peer);

    // Samples a few peers at random and returns those with the lowest cost.
    // `random` holds 64 random bits.
    peer_offer choose(std::uint64_t random, time_point now) const;

    // A request was offered to `peer`; later the peer accepted or refused it,
    // each with a load report.
    void on_offer_sent(target_id peer);
    void on_reply(target_id peer, load_report const& report, time_point now);
    // An offer got no reply, or a request that the peer had started was lost.
    // The peer is avoided for a while.
    void on_failure(target_id peer, time_point now);

    // Returns true if a request should be offered to peers although a slot is
    // free here. The probability grows with the excess of this target's
    // utilisation over the peers' average. `random` is as in choose().
    bool should_offer_to_peers(double own_utilisation,
                               std::uint64_t random) const;

    // Moving average of the load reports of all peers that replied.
    load_report const& average_report() const
    {
        return average_;
    }

    bool has_average() const
    {
        return replies_ > 0;
    }

    std::size_t size() const
    {
        return peers_.size();
    }

private:
    struct peer
    {
        target_id id_ = 0;
        std::uint32_t slots_ = 0;
        time_point added_at_{};
        time_point last_report_at_{};
        time_point avoid_until_{};
        load_report report_;
        std::uint32_t offers_since_report_ = 0;
    };

    double cost(peer const& candidate, time_point now) const;
    bool is_skipped(peer const& candidate, std::uint64_t random,
                    time_point now) const;

    std::vector<peer> peers_; // index_[peers_[i].id_] == i
    std::unordered_map<target_id, std::size_t> index_;
    load_report average_;
    std::uint64_t replies_ = 0;
};

} // namespace daisytrail
