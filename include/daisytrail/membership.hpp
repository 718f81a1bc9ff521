// Group membership of balancers and agents: a SWIM-like protocol with gossip,
// anti-entropy and indirect failure detection. The classes use no socket and
// no clock: the caller passes in messages and the current time, and carries
// out the returned actions.
#pragma once

#include <daisytrail/control.hpp>
#include <daisytrail/control_health.hpp>
#include <daisytrail/control_messages.hpp>
#include <daisytrail/failure_detector.hpp>
#include <daisytrail/listed_targets.hpp>
#include <daisytrail/member_table.hpp>
#include <daisytrail/template_versions.hpp>
#include <daisytrail/view_confirmation.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// Intervals and timeouts of the membership protocol.
struct membership_timing
{
    // Time between two heartbeats of an agent.
    duration heartbeat_interval_ = std::chrono::milliseconds(1'000);
    // A target that sends nothing for this long is suspected.
    duration silence_timeout_ = std::chrono::milliseconds(2'200);
    // Time between two probes of other balancers.
    duration probe_interval_ = std::chrono::milliseconds(500);
    // Time between two digests of changes.
    duration gossip_interval_ = std::chrono::milliseconds(200);
    // Time between two comparisons of the whole view with another balancer.
    duration anti_entropy_interval_ = std::chrono::milliseconds(1'000);
    // Records of members that ended are kept this long.
    duration tombstone_lifetime_ = std::chrono::minutes(10);
    // A longer gap between two ticks means that this process was paused.
    duration pause_threshold_ = std::chrono::milliseconds(1'000);
    std::size_t observers_per_target_ = 3;
};

// Membership at a balancer. It holds the records of all members, observes the
// heartbeats of some targets, probes other balancers and gossips changes.
class balancer_membership
{
public:
    balancer_membership(target_record self, std::vector<endpoint> seeds,
                        template_check check, std::uint64_t random_seed,
                        membership_timing timing = {});

    // Runs all timers. The caller calls it periodically.
    std::vector<control_action> tick(time_point now);

    // Handles a message; `sender` is the authenticated id of its sender.
    std::vector<control_action> receive(time_point now, endpoint const& from,
                                        std::uint64_t sender,
                                        control_message const& message);

    // Publishes a new state of this balancer.
    std::vector<control_action> publish(member_state state, time_point now);

    // Adopts and gossips a template read from the store, if it is newer.
    std::vector<control_action> offer(std::string const& organisation,
                                      template_version version,
                                      std::string value, time_point now);

    // Adopts and gossips a template that was fetched from a peer and checked.
    std::vector<control_action> adopt(template_received_action received,
                                      time_point now);

    // Records that the store holds a template of this version that can't be
    // used.
    std::vector<control_action> refuse(std::string const& organisation,
                                       template_version version,
                                       std::string const& reason,
                                       time_point now);

    // Asks other balancers whether they know targets that this balancer doesn't
    // know, unless a round of questions is running already. A
    // view_confirmed_action is returned, now or by a later call, once enough of
    // them know no further target; none while they don't answer.
    std::vector<control_action> confirm_view(time_point now);

    // Time as of which the view was last confirmed.
    std::optional<time_point> view_confirmed_as_of() const
    {
        return confirmation_.confirmed_as_of();
    }

    // Replaces the control endpoints to join the fleet through.
    void set_seeds(std::vector<endpoint> seeds);

    // Tells that this balancer reads the store. It then confirms no view before
    // it has read the list of targets and the contacts.
    void use_store()
    {
        uses_store_ = true;
    }

    // True if this balancer has to read the contacts in the store: it knows no
    // other balancer, it has just started, or so many have ended that others
    // may have taken their places without knowing this one.
    bool needs_contacts() const;

    // Takes the contacts that were read from the store: control endpoints of
    // balancers of any part of the fleet.
    void add_contacts(std::vector<endpoint> const& found, time_point now);

    // Adds the targets of the stored list, which may be empty. Those that are
    // unknown are pinged, so that they announce themselves.
    void add_listed_targets(std::vector<target_record> const& targets,
                            time_point now);

    // Targets that the stored list must contain, by identifier: the live
    // members, and the listed targets that may still announce themselves.
    std::vector<target_record const*> targets_to_list() const;

    // Returns true if this balancer is one of the `count` balancers that
    // perform a fleet-wide duty. The ring selects them by the duty's id.
    bool has_duty(std::uint64_t duty, std::size_t count) const;

    // Returns the slot of this balancer among the `count` balancers of its
    // failure domain that new processes contact first, or nothing if it isn't
    // one of them.
    std::optional<std::size_t> contact_slot(std::size_t count) const;

    member_table const& members() const
    {
        return table_;
    }

    template_versions const& templates() const
    {
        return templates_;
    }

    target_record const& self() const
    {
        return self_;
    }

    control_health const& health() const
    {
        return health_;
    }

    // Not copyable: a callback in `templates_` holds a pointer to this object.
    balancer_membership(balancer_membership const&) = delete;
    balancer_membership& operator=(balancer_membership const&) = delete;

private:
    // Liveness of a target that this balancer observes.
    struct observation
    {
        time_point last_received_at_;
        endpoint control_;
        std::uint64_t organisation_ = 0; // from its last heartbeat
    };

    // A ping to another balancer that hasn't been answered yet.
    struct probe
    {
        contact subject_;
        time_point sent_at_;
    };

    // A record that was requested and hasn't been received yet.
    struct pull
    {
        record_version version_;
        endpoint from_;
        time_point requested_at_;
        int attempts_ = 0;
    };

    // Control endpoint of a balancer of which the store or an agent told.
    struct found_contact
    {
        endpoint control_;
        time_point found_at_; // latest
    };

    // By member or organisation: its version and the number of digests that
    // still carry it.
    using pending_gossip_map = std::map<std::uint64_t, std::pair<item, int>>;

    void on(ping_message const& message, endpoint const& from);
    void on(pong_message const& message, endpoint const& from);
    void on(probe_request const& message, endpoint const& from);
    void on(probe_answer const& message, endpoint const& from);
    void on(digest_message const& message, endpoint const& from);
    void on(pull_message const& message, endpoint const& from);
    void on(records_message const& message, endpoint const& from);
    void on(tree_message const& message, endpoint const& from);
    void on(branch_message const& message, endpoint const& from);
    void on(heartbeat_message const& message, endpoint const& from);
    void on(heartbeat_ack const& message, endpoint const& from);
    void on(template_request const& message, endpoint const& from);
    void on(template_chunk const& message, endpoint const& from);
    void on(view_question const& message, endpoint const& from);
    void on(view_answer const& message, endpoint const& from);

    void send_view_questions();
    void check_view_confirmation();
    bool is_settled() const;
    void note_target_changes();
    bool has_evidence_of_targets() const;
    bool has_evidence_of_balancers() const;
    bool has_lost_balancers() const;
    bool is_live_balancer_at(endpoint const& control) const;
    bool remember_contact(endpoint const& control);
    void remove_old_contacts();
    void note_balancer_change(target_record const& record);
    void seek_first_confirmation();
    std::size_t other_balancer_count() const;

    void send(endpoint const& to, control_message message);
    bool merge(target_record const& record);
    std::vector<item> items_under(tree_node const& node) const;
    void reconcile_item(item const& theirs, endpoint const& from,
                        pull_message& request, digest_message& newer);
    void send_newer_templates(digest_message const& theirs, endpoint const& to);
    void handle_items(std::vector<item> const& items, endpoint const& from);
    void refute(record_version const& version);
    void propagate_change(target_record const& record);
    void enqueue_gossip(item const& value);
    void push_record_to_agents(target_record const& record);
    void offer_template_to_agents(item const& value);
    void send_agent_digest(heartbeat_message const& message,
                           endpoint const& from);

    void resume_after_pause();
    void probe_balancers();
    void check_probes();
    void scan_targets();
    void suspect_silent_targets();
    bool update_observation(target_record const& record);
    void sample_reachability();
    void run_detector();
    void declare_dead(item const& subject);
    void gossip();
    std::vector<pending_gossip_map::iterator> select_gossip(std::size_t count);
    void start_anti_entropy();
    void reconnect_lost_members();
    void retry_pulls();
    std::vector<endpoint> lost_endpoints() const;
    void remove_ended_members();

    std::optional<contact> next_probe_subject();
    std::vector<contact> choose_helpers(std::uint64_t subject);
    std::vector<contact> random_balancers(std::size_t count);
    std::vector<contact> random_observed_targets(std::size_t count,
                                                 std::uint64_t excluded);
    reachability count_reachable(std::uint64_t subject) const;
    // Returns true and sets `last_run` to the current time if `interval` has
    // elapsed since `last_run`.
    bool restart_if_elapsed(time_point& last_run, duration interval) const;

    target_record self_;
    membership_timing timing_;
    member_table table_;
    template_versions templates_;
    failure_detector detector_;
    control_health health_;
    view_confirmation confirmation_;
    probe_relay relay_;
    listed_targets listed_;
    std::mt19937_64 random_;
    std::vector<endpoint> seeds_;         // of the settings
    std::vector<found_contact> contacts_; // at most max_found_contacts
    // Balancers that ended since the contacts were last read or a settled
    // balancer last confirmed the view.
    std::set<std::uint64_t> lost_balancers_;
    time_point last_balancer_lost_at_;
    bool has_read_contacts_ = false;
    time_point early_reconnect_until_;
    time_point
        contacts_settle_at_; // after contacts were read that were unknown
    std::unordered_map<target_id, observation> observations_;
    pending_gossip_map pending_gossip_;
    std::unordered_map<std::uint64_t, pull> pulls_;
    std::vector<std::uint64_t> probe_order_; // shuffled; emptied from the back
    std::vector<probe> probes_;
    // By balancer.
    std::unordered_map<std::uint64_t, time_point> last_received_at_;
    std::uint64_t next_scan_id_ = 0; // id at which the next scan starts
    std::uint64_t sender_ = 0;       // sender of the message being handled
    time_point now_;
    time_point last_tick_at_;
    time_point last_sample_at_;
    time_point last_cleanup_at_;
    time_point last_probe_at_;
    time_point last_gossip_at_;
    time_point last_anti_entropy_at_;
    time_point last_reconnect_at_;
    time_point started_at_;
    bool is_started_ = false;
    bool uses_store_ = false;
    std::uint64_t noted_targets_hash_ = 0;
    time_point targets_changed_at_; // the set of live targets
    std::vector<control_action> actions_;
};

// Membership at an agent. It announces itself to its observers, a few
// balancers, and receives from them the members of its service and its
// organisation's template. With an empty `organisation` it receives neither.
class agent_announcer
{
public:
    agent_announcer(target_record self, std::string const& organisation,
                    std::vector<endpoint> seeds, template_check check,
                    std::uint64_t random_seed, membership_timing timing = {});

    // Runs all timers. The caller calls it periodically.
    std::vector<control_action> tick(time_point now);

    // Handles a message; `sender` is the authenticated id of its sender.
    std::vector<control_action> receive(time_point now, endpoint const& from,
                                        std::uint64_t sender,
                                        control_message const& message);

    // Adopts a template that was fetched from a peer and checked.
    std::vector<control_action> adopt(template_received_action received,
                                      time_point now);

    // Publishes a new state and capacity of this agent's target.
    std::vector<control_action> publish(target_status const& status,
                                        time_point now);

    // Replaces the control endpoints to announce this agent to while it has no
    // observers.
    void set_seeds(std::vector<endpoint> seeds);

    target_record const& self() const
    {
        return self_;
    }

    template_versions const& templates() const
    {
        return templates_;
    }

    // Returns true once a balancer acknowledged the latest published version.
    bool is_acknowledged() const
    {
        return acknowledged_version_ == self_.version_;
    }

    std::size_t observer_count() const
    {
        return observers_.size();
    }

private:
    struct observer
    {
        contact contact_;
        time_point acknowledged_at_;
        record_version version_; // last acknowledged by this observer
    };

    void on(ping_message const& message, endpoint const& from);
    void on(pong_message const& message, endpoint const& from);
    void on(probe_request const& message, endpoint const& from);
    void on(digest_message const& message, endpoint const& from);
    void on(pull_message const& message, endpoint const& from);
    void on(records_message const& message, endpoint const& from);
    void on(heartbeat_ack const& message, endpoint const& from);
    void on(template_request const& message, endpoint const& from);
    void on(template_chunk const& message, endpoint const& from);
    // An agent ignores the messages that only balancers exchange.
    void on(auto const& message, endpoint const& from)
    {
        (void)message;
        (void)from;
    }

    void send(endpoint const& to, control_message message);
    void announce();
    std::vector<endpoint> choose_contacts();
    void send_observers(endpoint const& to);
    void retransmit_announcement();
    heartbeat_message make_heartbeat() const;
    void merge(target_record const& record);
    void refute(record_version const& version);
    void remove_ended_peers();
    std::uint64_t observers_hash() const;
    void remember_balancer(endpoint const& control);
    record_version version_held_by(std::uint64_t balancer) const;

    target_record self_;
    std::uint64_t organisation_;
    membership_timing timing_;
    template_versions templates_;
    probe_relay relay_;
    std::mt19937_64 random_;
    std::vector<endpoint> seeds_;
    // Balancers that were observers, the latest last; bounded. The seeds may
    // have been replaced since this process started.
    std::vector<endpoint> known_balancers_;
    std::vector<observer> observers_;
    member_table peers_; // other members of this agent's service
    std::optional<record_version> acknowledged_version_;
    std::uint64_t sender_ = 0; // sender of the message being handled
    time_point now_;
    time_point last_cleanup_at_;
    time_point last_tick_at_;
    time_point last_announced_at_;
    time_point last_retransmission_at_;
    bool is_started_ = false;
    std::vector<control_action> actions_;
};

} // namespace daisytrail
