// Membership: who is there, as balancers and agents agree on it. No sockets
// and no clock; the surrounding code passes in messages and the time and
// carries out the actions.
#pragma once

#include <daisytrail/control.hpp>
#include <daisytrail/control_health.hpp>
#include <daisytrail/control_messages.hpp>
#include <daisytrail/failure_detector.hpp>
#include <daisytrail/member_table.hpp>
#include <daisytrail/revisions.hpp>
#include <daisytrail/view_confirmation.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// Intervals of the control plane.
struct membership_timing
{
    duration heartbeat_ = std::chrono::milliseconds(1'000);
    duration silence_ = std::chrono::milliseconds(2'200); // then verify
    duration probe_ = std::chrono::milliseconds(500);     // of a balancer
    duration gossip_ = std::chrono::milliseconds(200);    // of changes
    duration compare_ = std::chrono::milliseconds(1'000); // of whole views
    duration tombstone_ = std::chrono::minutes(10);
    duration pause_ = std::chrono::milliseconds(1'000); // gap between ticks
    std::size_t observers_ = 3;                         // of a target
};

// A balancer's part: holds every record, observes some targets, probes other
// balancers, spreads changes.
class balancer_membership
{
public:
    balancer_membership(target_record self, std::vector<endpoint> const& seeds,
                        template_check check, std::uint64_t random_seed,
                        membership_timing timing = {});

    std::vector<control_action> tick(time_point now);
    // `sender` is the authenticated id of the process that sent it.
    std::vector<control_action> receive(time_point now, endpoint const& from,
                                        std::uint64_t sender,
                                        control_message const& message);

    // Publishes a new state of this balancer.
    std::vector<control_action> publish(member_state state, time_point now);

    // Offers a template that the store holds.
    std::vector<control_action> offer(std::string const& organisation,
                                      revision at, std::string value,
                                      time_point now);

    // Asks others whether they know targets that aren't known here, unless that
    // is under way. A view_confirmed_action follows, now or later, once they
    // don't; none while they don't answer.
    std::vector<control_action> confirm_view(time_point now);

    // The time as of which the view was last confirmed.
    std::optional<time_point> view_confirmed() const
    {
        return confirmation_.confirmed();
    }

    // Adds endpoints to ask first, found in the store.
    void add_seeds(std::vector<endpoint> const& seeds);

    // True if this balancer is one of the `count` that do a fleet-wide duty.
    bool has_duty(std::uint64_t duty, std::size_t count) const;

    // The slot of this balancer among the `count` of its failure domain that
    // new processes may ask first, if it is one of them.
    std::optional<std::size_t> contact_slot(std::size_t count) const;

    member_table const& members() const
    {
        return table_;
    }

    template_revisions const& templates() const
    {
        return book_;
    }

    target_record const& self() const
    {
        return self_;
    }

    control_health const& health() const
    {
        return health_;
    }

    // The book of templates holds a reference to this object.
    balancer_membership(balancer_membership const&) = delete;
    balancer_membership& operator=(balancer_membership const&) = delete;

private:
    // Life of a target that this balancer observes.
    struct observation
    {
        time_point heard_;
        endpoint control_;
        std::uint64_t organisation_ = 0; // as in its heartbeat
    };

    // A ping to a balancer that has not been answered yet.
    struct probe
    {
        contact subject_;
        time_point sent_;
    };

    // A record that was asked for and hasn't come yet.
    struct pull
    {
        record_version version_;
        endpoint from_;
        time_point asked_;
        int attempts_ = 0;
    };

    using hot_map = std::map<std::uint64_t, std::pair<item, int>>;

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

    void ask_views();
    void check_views();
    bool is_settled() const;
    std::size_t other_balancers() const;

    void send(endpoint const& to, control_message message);
    bool merge(target_record const& record);
    std::vector<item> items_under(tree_node const& node) const;
    void compare(item const& theirs, endpoint const& from,
                 pull_message& request, digest_message& newer);
    void tell_news(digest_message const& theirs, endpoint const& to);
    void take_items(std::vector<item> const& items, endpoint const& from);
    void refute(record_version const& version);
    void changed(target_record const& record);
    void make_hot(item const& value);
    void push_to_observed(target_record const& record);
    void offer_to_observed(item const& value);
    void send_peers(heartbeat_message const& message, endpoint const& from);

    void resume_after_pause();
    void probe_balancers();
    void check_probes();
    void scan_targets();
    void watch_silence();
    bool observe(target_record const& record);
    void sample_others();
    void run_detector();
    void declare_dead(item const& subject);
    void gossip();
    std::vector<hot_map::iterator> freshest_changes(std::size_t count);
    void compare_views();
    void meet_lost();
    void repeat_pulls();
    std::vector<endpoint> lost_contacts() const;
    void forget_ended();

    std::optional<contact> next_probe();
    std::vector<contact> helpers_for(std::uint64_t subject);
    std::vector<contact> random_balancers(std::size_t count);
    std::vector<contact> random_observed(std::size_t count,
                                         std::uint64_t except);
    reachability count_reachable(std::uint64_t subject) const;
    // True at most once an interval; notes the time.
    bool due(time_point& last, duration interval) const;

    target_record self_;
    membership_timing timing_;
    member_table table_;
    template_revisions book_;
    failure_detector detector_;
    control_health health_;
    view_confirmation confirmation_;
    probe_relay relay_;
    std::mt19937_64 random_;
    std::vector<endpoint> seeds_;
    std::unordered_map<target_id, observation> observed_;
    // Changes still to be spread, with the digests that they may go into.
    hot_map hot_;
    std::unordered_map<std::uint64_t, pull> pulls_;
    std::vector<std::uint64_t> probe_order_; // shuffled; emptied from the back
    std::vector<probe> probes_;
    std::unordered_map<std::uint64_t, time_point> heard_; // balancers
    std::uint64_t scanned_ = 0; // id at which the next scan starts
    std::uint64_t sender_ = 0;  // of the message that is being handled
    time_point now_;
    time_point ticked_;
    time_point sampled_;
    time_point forgotten_;
    time_point probed_;
    time_point gossiped_;
    time_point compared_;
    time_point met_;
    time_point start_;
    bool started_ = false;
    std::vector<control_action> out_;
};

// An agent's part: announces itself to a few balancers, which tell it the
// members of its service and its organisation's template. With an empty
// `organisation` it follows neither.
class agent_announcer
{
public:
    agent_announcer(target_record self, std::string const& organisation,
                    std::vector<endpoint> seeds, template_check check,
                    std::uint64_t random_seed, membership_timing timing = {});

    std::vector<control_action> tick(time_point now);
    // `sender` is the authenticated id of the process that sent it.
    std::vector<control_action> receive(time_point now, endpoint const& from,
                                        std::uint64_t sender,
                                        control_message const& message);
    std::vector<control_action> publish(target_status const& status,
                                        time_point now);

    target_record const& self() const
    {
        return self_;
    }

    template_revisions const& templates() const
    {
        return book_;
    }

    // True once a balancer holds the latest published version.
    bool is_acknowledged() const
    {
        return acknowledged_ == self_.version_;
    }

    std::size_t observer_count() const
    {
        return observers_.size();
    }

private:
    struct observer
    {
        contact contact_;
        time_point acknowledged_;
        record_version version_; // of this agent's record that it holds
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
    // Messages between balancers; an agent ignores them.
    void on(auto const& message, endpoint const& from)
    {
        (void)message;
        (void)from;
    }

    void send(endpoint const& to, control_message message);
    void announce();
    void repeat_announcement();
    heartbeat_message make_heartbeat() const;
    void merge(target_record const& record);
    void refute(record_version const& version);
    void forget_dead();
    std::uint64_t observers_hash() const;
    record_version version_at(std::uint64_t balancer) const;

    target_record self_;
    std::uint64_t organisation_;
    membership_timing timing_;
    template_revisions book_;
    probe_relay relay_;
    std::mt19937_64 random_;
    std::vector<endpoint> seeds_;
    std::vector<observer> observers_;
    member_table peers_; // of the own service, itself left out
    std::optional<record_version> acknowledged_;
    std::uint64_t sender_ = 0; // of the message that is being handled
    time_point now_;
    time_point forgotten_;
    time_point ticked_;
    time_point announced_;
    time_point repeated_;
    bool started_ = false;
    std::vector<control_action> out_;
};

} // namespace daisytrail
