// Decides what a balancer does with each packet of a forwarded flow. This code
// uses no sockets and no clock: the caller passes in packets and the current
// time and carries out the returned action.
//
// The backend server is the authority on its flows: its agent returns packets
// of flows that the backend server doesn't hold. The flow table is therefore
// only a cache and may be lost at any time.
#pragma once

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/owner_search.hpp>
#include <daisytrail/packet_format.hpp>
#include <daisytrail/placement.hpp>
#include <daisytrail/route_profile.hpp>
#include <daisytrail/types.hpp>

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

enum class forward_step : std::uint8_t
{
    send,  // send the packet to target_
    reset, // answer the caller with a reset
    drop,
    hold, // buffer the packet until the flow's owner is known
    count
};

// Why a packet was sent, reset, dropped or held.
enum class forward_cause : std::uint8_t
{
    known,              // the flow is in the flow table
    placed,             // a new flow was assigned to a target
    moved,              // an earlier target of the SYN didn't accept it
    rerouted,           // the route leads the flow to another service now
    searched,           // the owner of an unknown open flow is searched
    search_continued,   // continued after an answer, a return or a timeout
    found,              // the flow's owner answered
    no_template,        // no template is in force yet
    no_route,           // no route in force has this VIP
    no_target,          // no target accepts new flows
    no_owner,           // no target holds the flow
    owner_not_found,    // not found yet, or the caller stopped sending
    search_in_progress, // a search for the flow's owner is running already
    // A target may accept the flow when the SYN is retransmitted.
    retransmission_expected,
    not_from_caller, // only a backend server sends such a packet
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(forward_cause::count)>
    forward_cause_names{"known",          "placed",       "moved",
                        "rerouted",       "searched",     "search_goes_on",
                        "found",          "no_template",  "no_route",
                        "no_target",      "nobody_holds", "owner_missing",
                        "other_searches", "not_yet",      "not_from_caller"};

constexpr std::string_view to_string(forward_cause cause)
{
    return forward_cause_names[static_cast<std::size_t>(cause)];
}

struct forward_action
{
    forward_step step_ = forward_step::drop;
    forward_cause cause_ = forward_cause::known;
    forward_target* target_ = nullptr; // set for `send`
    // This balancer doesn't know whether target_ holds the flow, and requests
    // that its agent answers if it does.
    bool is_owner_unknown_ = false;
    // Targets to ask whether they hold the flow.
    std::vector<forward_target*> questions_ = {};
    // Undetermined targets, each of which is sent one of the held packets. If
    // not empty, step_ is `send` and is_owner_unknown_ is true.
    std::vector<forward_target*> offers_ = {};
    // Set when the search ends, with or without an owner, and with `hold` when
    // every candidate has denied the flow for the first time.
    std::optional<search_progress> search_ = {};
};

struct flow_forwarder_settings
{
    std::string failure_domain_;
    placement_settings placement_;
    std::size_t max_flows_ = 200'000;
    // An idle flow is removed from the flow table after this time.
    duration flow_idle_timeout_ = std::chrono::seconds(60);
    // A SYN that is retransmitted after this time goes to another target.
    duration syn_timeout_ = std::chrono::milliseconds(150);
    // A search ends when its caller has sent no packet for this long.
    duration search_idle_timeout_ = std::chrono::seconds(4);
    // A balancer that has just started doesn't know all targets. It refuses no
    // new flow until it knows every target of the stored list or this time
    // after its start has passed.
    duration discovery_timeout_ = std::chrono::milliseconds(1'500);
    // The same for resets of unknown flows. This timeout is longer, since a
    // refused flow costs its caller one attempt, whereas the reset of an open
    // flow costs a request. It restarts with each target that is discovered,
    // but resets are withheld no longer than the maximum after the start.
    duration reset_discovery_timeout_ = std::chrono::milliseconds(4'000);
    duration max_reset_discovery_timeout_ = std::chrono::seconds(30);
    // For this long after its start, a balancer may use the stored list of
    // targets as complete for a search that started view_confirmation_timeout_
    // ago and whose view no other balancer has confirmed.
    duration stored_list_period_ = std::chrono::seconds(10);
    duration view_confirmation_timeout_ = std::chrono::seconds(1);
};

class flow_forwarder
{
public:
    flow_forwarder(forward_directory& directory,
                   flow_forwarder_settings settings, time_point now);

    // Handles a packet from a caller.
    forward_action on_packet(flow_packet const& packet, time_point now);

    // Handles a packet that a target's agent returned.
    forward_action on_returned(flow_packet const& packet, target_id from,
                               return_reason reason, time_point now);

    // Handles an agent's answer whether its backend server holds the flow. The
    // action applies to the flow's held packets; `hold` leaves them held.
    forward_action on_owner_answer(flow_key const& key, target_id by,
                                   flow_ownership answer, time_point now);

    // Handles an agent's message that the flow's SYN waits there until its
    // backend server has room.
    void on_syn_waits(flow_key const& key, target_id at);

    // Returns the flows whose searches have questions to send or to retransmit,
    // or may end because the view has been confirmed.
    std::vector<flow_key> overdue_searches(time_point now) const;

    // Continues an overdue search. The action applies to the held packets.
    forward_action continue_search(flow_key const& key, time_point now);

    // True while a search can't proceed until other balancers confirm that they
    // know no further target (forward_directory::confirm_view).
    bool needs_view_confirmation(time_point now) const;

    bool is_searching(flow_key const& key) const
    {
        return searches_.contains(key);
    }

    // Removes idle flows and notes newly discovered targets.
    void tick(time_point now);

    std::size_t flow_count() const
    {
        return flows_.size();
    }

private:
    struct flow
    {
        flow_key key_;
        target_id target_ = 0; // 0: not assigned
        time_point last_packet_at_{};
        time_point first_seen_at_{};     // by this balancer
        std::uint64_t caller_bytes_ = 0; // payload from the caller
        bool is_profiled_ = false;       // counted in its route's profile
        time_point target_chosen_at_{};
        bool last_packet_was_reset_ = false;    // from the caller's address
        bool has_multiple_syn_targets_ = false; // SYNs went to several targets
        bool syn_waits_ = false;                // at the agent of target_
        // Targets that returned the flow's SYN or didn't answer it.
        std::vector<target_id> tried_targets_;
        // Targets that the flow's SYN was sent to before the route led the flow
        // to another service. The SYN may still wait there and open the flow.
        std::vector<target_id> former_syn_targets_;
        // True if one of tried_targets_ may accept the flow a moment later.
        bool may_be_accepted_soon_ = false;
        // Targets that may return an offered packet which the owner has
        // received too. The first packet that each of them returns is dropped.
        std::vector<target_id> redundant_returns_;
        std::unique_ptr<owner_search> search_; // null unless searching
        // forward_directory::member_changes() when candidates were last added.
        std::uint64_t searched_member_changes_ = 0;
        bool waits_for_view_ = false; // search_ needs a confirmed view
        // True once every candidate of search_ has denied the flow.
        bool has_run_out_of_candidates_ = false;
    };

    using flow_list = std::list<flow>;

    flow* find(flow_key const& key);
    flow& add(flow_key const& key, time_point now);
    void erase(flow_key const& key);
    void update_profile(flow& value, flow_packet const& packet, time_point now);

    forward_action refuse_without_route(flow_packet const& packet) const;
    forward_action on_syn_retransmission(flow& value, time_point now);
    bool is_routed_to(flow const& value, target_id target) const;
    forward_action send_syn(flow& value, forward_cause cause, time_point now);
    forward_action open(flow& value, forward_cause cause, time_point now);
    forward_action refuse(flow& value, service_id service, time_point now);
    forward_action begin_search(flow& value, forward_cause cause,
                                time_point now);
    forward_action advance_search(flow& value, forward_cause cause,
                                  time_point now);
    std::vector<target_id> retransmit_questions(flow& value, time_point now);
    void add_questions(forward_action& action,
                       std::vector<target_id> const& targets, time_point now);
    forward_action on_all_denied(flow& value, time_point now);
    bool has_been_replaced(target_id target, return_reason reason) const;
    bool is_lost(target_id target, time_point now) const;
    search_progress progress(flow const& value, time_point now) const;
    bool is_view_confirmed(owner_search const& search) const;
    bool can_use_stored_list(owner_search const& search, time_point now) const;
    void end_search(flow& value, target_id owner);
    void add_offers(forward_action& action,
                    std::vector<target_id> const& targets, time_point now);
    void extend_search(flow& value, time_point now);
    std::vector<target_id> previous_syn_targets(flow const& value);
    std::vector<target_id> search_order(flow const& value,
                                        time_point now) const;
    bool is_discovering(time_point now) const;
    bool must_withhold_resets(time_point now) const;
    void note_discovered_targets(time_point now);
    bool may_accept_soon(service_id service, time_point now) const;
    forward_action send(flow& value, forward_cause cause, time_point now);
    placement_request request_for(flow const& value,
                                  std::span<target_id const> excluded,
                                  time_point now) const;

    forward_directory& directory_;
    flow_forwarder_settings settings_;
    time_point started_at_;
    // When a target was last discovered while resets are withheld.
    time_point last_discovered_at_;
    std::size_t known_target_count_ = 0;         // at the last tick
    std::map<endpoint, route_profile> profiles_; // by VIP
    flow_list flows_;                            // least recently used first
    std::unordered_map<flow_key, flow_list::iterator, flow_hash> index_;
    std::set<flow_key> searches_; // flows with a running search
    offer_budget offer_budget_;   // of all searches
    // Latest start of a search that has waited for a confirmed view.
    time_point required_view_at_{};
    // When a search last had to wait for a confirmed view.
    time_point last_view_wait_at_{};
};

} // namespace daisytrail
