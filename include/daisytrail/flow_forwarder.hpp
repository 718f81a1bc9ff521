// A balancer's decision for each packet of a forwarded flow. No sockets and no
// clock: the surrounding code passes in packets and the time and carries out
// the returned action.
//
// The backend server is the authority on its flows: what it doesn't hold comes
// back. So the flow table here is a cache that may be lost at any time.
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
    send,  // to target_
    reset, // answer the caller with a reset
    drop,
    hold, // keep the packet until the flow's owner is known
    count
};

// Why a packet was sent, reset or dropped.
enum class forward_cause : std::uint8_t
{
    known,           // the flow is in the table
    placed,          // a new flow
    moved,           // the SYN's first target didn't take it
    searched,        // an open flow that this balancer doesn't know
    search_goes_on,  // targets have answered that they don't hold the flow
    found,           // the flow's owner has answered
    no_template,     // no template is in force yet
    no_route,        // no route has this VIP
    no_target,       // no target takes new flows
    nobody_holds,    // no target holds the flow
    owner_missing,   // a target may be unknown here, or the caller has left
    other_searches,  // the flow is being searched already
    not_yet,         // a target may take the flow soon; a copy will come
    not_from_caller, // a packet that only a backend server sends
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(forward_cause::count)>
    forward_cause_names{"known",        "placed",         "moved",
                        "searched",     "search_goes_on", "found",
                        "no_template",  "no_route",       "no_target",
                        "nobody_holds", "owner_missing",  "other_searches",
                        "not_yet",      "not_from_caller"};

constexpr std::string_view to_string(forward_cause cause)
{
    return forward_cause_names[static_cast<std::size_t>(cause)];
}

struct forward_action
{
    forward_step step_ = forward_step::drop;
    forward_cause cause_ = forward_cause::known;
    forward_target* target_ = nullptr; // set for `send`
    // The agent is to tell whether its backend server holds the flow.
    bool asks_owner_ = false;
    // Targets whose agents are to be asked whether they hold the flow.
    std::vector<forward_target*> questions_ = {};
    // Targets whose agents can't tell: each gets one of the packets that are
    // kept. Set together with `send`, with asks_owner_.
    std::vector<forward_target*> offers_ = {};
    // Set if the search has found the owner or nobody; with `hold`, when it
    // runs out of candidates for the first time.
    std::optional<search_figures> search_ = {};
};

struct flow_forwarder_settings
{
    std::string failure_domain_;
    placement_settings placement_;
    std::size_t max_flows_ = 200'000;
    duration flow_idle_ = std::chrono::seconds(60); // then forgotten
    // A SYN without an answer for this long goes to another target.
    duration syn_patience_ = std::chrono::milliseconds(150);
    // A search ends when its caller has been silent for so long.
    duration search_idle_ = std::chrono::seconds(4);
    // After its start a balancer doesn't know every target yet. Until it has
    // met all of those that the store lists, but no longer than this, it
    // refuses no new flow.
    duration learning_time_ = std::chrono::milliseconds(1'500);
    // The same for resets of flows that it doesn't know: to refuse a flow costs
    // its caller a try, to reset an open one a request. The time begins anew
    // with each target that it meets, up to a bound.
    duration reset_learning_time_ = std::chrono::milliseconds(4'000);
    duration most_reset_learning_time_ = std::chrono::seconds(30);
    // After its start a balancer takes the stored list of targets for complete,
    // for searches to which nobody has confirmed the view in time.
    duration stored_list_time_ = std::chrono::seconds(10);
    duration view_patience_ = std::chrono::seconds(1);
};

class flow_forwarder
{
public:
    flow_forwarder(forward_directory& directory,
                   flow_forwarder_settings settings, time_point now);

    // A packet from a caller.
    forward_action on_packet(flow_packet const& packet, time_point now);

    // A packet that a target's agent returned.
    forward_action on_returned(flow_packet const& packet, target_id from,
                               return_reason reason, time_point now);

    // An agent tells whether its backend server holds the flow. The action is
    // for the packets that are kept; `hold` if nothing changes for them.
    forward_action on_owner_answer(flow_key const& key, target_id by,
                                   flow_ownership answer, time_point now);

    // Flows that are searched and whose targets haven't answered in time.
    std::vector<flow_key> overdue_searches(time_point now) const;

    // Takes such a search on; the action is for the packets that are kept.
    forward_action on_overdue(flow_key const& key, time_point now);

    // True while a search has run out of candidates and waits until other
    // balancers have confirmed the targets (forward_directory::confirm_view).
    bool wants_view(time_point now) const;

    bool is_searching(flow_key const& key) const
    {
        return searches_.contains(key);
    }

    // Forgets idle flows.
    void tick(time_point now);

    std::size_t flow_count() const
    {
        return flows_.size();
    }

private:
    struct flow
    {
        flow_key key_;
        target_id target_ = 0;     // 0: nowhere yet
        time_point sent_{};        // last packet
        time_point opened_{};      // when this balancer first saw the flow
        std::uint64_t bytes_ = 0;  // that the caller sent
        bool is_profiled_ = false; // counts in its route's profile
        time_point began_{};       // when target_ was chosen
        bool was_reset_ = false;   // by the caller, as it seems
        bool has_split_ = false;   // SYNs went to several targets
        // Targets that the flow's SYN came back from, or that gave no answer.
        std::vector<target_id> refused_;
        bool may_be_taken_ = false; // by one of refused_, a moment later
        // Targets that may return a packet which the owner has got as well.
        std::vector<target_id> spare_returns_;
        std::unique_ptr<owner_search> search_; // while the owner isn't known
        // Of the directory's member changes, when search_ last grew.
        std::uint64_t searched_at_ = 0;
        bool waits_for_view_ = false; // search_ has run out of candidates
        bool has_run_out_ = false;    // it has done so before
    };

    using flow_list = std::list<flow>;

    flow* find(flow_key const& key);
    flow& add(flow_key const& key, time_point now);
    void erase(flow_key const& key);
    void profile(flow& value, flow_packet const& packet, time_point now);

    forward_action refuse_without_route(flow_packet const& packet) const;
    forward_action on_syn(flow& value, time_point now);
    forward_action open(flow& value, forward_cause cause, time_point now);
    forward_action refuse(flow& value, service_id service, time_point now);
    forward_action begin_search(flow& value, forward_cause cause,
                                time_point now);
    forward_action search(flow& value, forward_cause cause, time_point now);
    std::vector<target_id> repeat_questions(flow& value, time_point now);
    void add_questions(forward_action& action,
                       std::vector<target_id> const& targets, time_point now);
    forward_action give_up(flow& value, time_point now);
    bool has_been_replaced(target_id target, return_reason reason) const;
    search_figures figures(flow const& value, time_point now) const;
    bool knows_all(owner_search const& search) const;
    bool knows_stored_list(owner_search const& search, time_point now) const;
    void settle(flow& value, target_id owner);
    void add_offers(forward_action& action,
                    std::vector<target_id> const& targets, time_point now);
    void extend(flow& value, time_point now);
    std::vector<target_id> syn_targets(flow const& value);
    std::vector<target_id> search_order(flow const& value,
                                        time_point now) const;
    bool is_learning(time_point now) const;
    bool is_learning_for_resets(time_point now) const;
    void note_new_targets(time_point now);
    bool may_take_soon(service_id service, time_point now) const;
    forward_action send(flow& value, forward_cause cause, time_point now);
    placement_request request_for(flow const& value,
                                  std::span<target_id const> excluded,
                                  time_point now) const;

    forward_directory& directory_;
    flow_forwarder_settings settings_;
    time_point started_;
    time_point met_last_;                        // a target, while learning
    std::size_t known_targets_ = 0;              // at the last tick
    std::map<endpoint, route_profile> profiles_; // by VIP
    flow_list flows_;                            // least recently used first
    std::unordered_map<flow_key, flow_list::iterator, flow_hash> index_;
    std::set<flow_key> searches_; // flows that are being searched
    // Begin of the latest search that waits for the view, and when it last did.
    time_point view_wanted_{};
    time_point view_wish_{};
};

} // namespace daisytrail
