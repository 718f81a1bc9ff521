// Order of work of one agent: which request starts next, which is refused, and
// how long a wait is to be expected. Time comes in as an argument; nothing here
// knows of sockets or timers.
#pragma once

#include <daisytrail/request_state.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytrail
{

using request_id = std::uint64_t;

// What the scheduler knows of a class before it has seen its requests run.
struct scheduler_class
{
    bool long_running_ = false;  // may never take the last slot
    std::uint32_t priority_ = 1; // 0 is shed last
    duration expected_{std::chrono::milliseconds(100)};
};

// The rules that differ between the product and the baselines.
struct scheduler_rules
{
    // Requests with the lowest rank start first; ranks never change.
    duration (*rank_)(scheduler_class const&, duration estimate,
                      duration received);
    bool reserves_short_slot_;
    bool rejects_unreachable_deadlines_; // refuses what can't meet its deadline
    bool sheds_lower_priority_; // a full queue drops its newest of the lowest
                                // class
    bool
        throttles_backend_; // holds back a backend server that fails or is slow
};

// Shortest expected work first, with aging.
extern scheduler_rules const product_rules;
// Arrival order, refusing only when the queue is full.
extern scheduler_rules const fifo_rules;

struct scheduler_limits
{
    std::uint32_t slots_ = 4;
    std::uint32_t queue_ = 64;
};

struct scheduled_request
{
    request_id id_ = 0;
    std::size_t class_ = 0;
    time_point received_{};
    time_point deadline_{};
    bool is_reservation_ = false; // stands for a request of another agent
};

struct admission
{
    std::optional<request_outcome> refused_; // empty: the request is queued
    duration retry_after_{};
    std::optional<request_id> victim_; // shed to make room
};

enum class completion
{
    answered,
    failed,   // an error of the backend server, or it was lost
    refused,  // shed by the backend server, not run
    abandoned // never started, or cancelled: tells nothing
};

// What an agent reports of itself with each reply to a peer.
struct load_report
{
    duration wait_{};           // expected for a new short request
    double utilisation_ = 0.0;  // share of its slots in use, smoothed
    double failure_rate_ = 0.0; // share of answers that failed, smoothed
    double slowdown_ = 1.0;     // recent run times to those of its past

    bool operator==(load_report const&) const = default;
};

class scheduler
{
public:
    scheduler(std::vector<scheduler_class> classes,
              scheduler_limits const& limits,
              scheduler_rules const& rules = product_rules);

    // Changes limits and classes; queued requests keep their rank.
    void configure(std::vector<scheduler_class> classes,
                   scheduler_limits const& limits);

    // Admits a request to the queue or refuses it at once.
    admission try_enqueue(scheduled_request const& request, time_point now);

    // Takes the next request from the queue into a slot.
    std::optional<request_id> next(time_point now);

    // Takes a given request from the queue into a slot, if one is free for it.
    bool start(request_id id, time_point now);

    // Takes out a queued request: cancelled, or `moved` to another agent.
    bool remove(request_id id, time_point now, bool moved);

    // Takes out the requests that can no longer meet their deadline.
    std::vector<request_id> expire(time_point now);

    // Frees the slot of a started request. A slot that failed faster than the
    // class usually runs stays taken for the usual time, so that failing fast
    // draws no extra work; the answer to the caller never waits for it.
    void finish(request_id id, completion how, time_point now);

    // When expire() or next() may have something to do without an event.
    std::optional<time_point> next_event(time_point now) const;

    // Wait of a request of the class if it came now.
    duration expected_wait(std::size_t class_index, time_point now) const;

    // Run time to be expected of the class.
    duration estimate(std::size_t class_index) const;

    load_report report(time_point now) const;

    // What the peers report, smoothed: the yardstick of throttles_backend_.
    void set_peer_average(load_report const& average);

    // True while this backend server is much worse than its peers'; it then
    // gets one request at a time, now and then, and peers get the rest.
    bool is_suspect() const;

    std::size_t queued() const
    {
        return queue_.size();
    }

    std::size_t running() const
    {
        return running_.size();
    }

    bool is_queued(request_id id) const
    {
        return entries_.count(id) != 0;
    }

    // True if a request of the class could start at once.
    bool has_free_slot(std::size_t class_index, time_point now) const;

private:
    struct entry
    {
        scheduled_request request_;
        duration rank_{};
        time_point latest_start_{}; // the deadline less the estimate
    };

    struct running_request
    {
        scheduled_request request_;
        time_point started_{};
        bool long_running_ = false;
    };

    struct class_state
    {
        scheduler_class config_;
        double estimate_ns_ = 0.0; // smoothed run time
        double baseline_ns_ = 0.0; // smoothed over a longer past
    };

    using ordered_ids = std::set<std::pair<std::int64_t, request_id>>;

    class_state const& class_at(std::size_t class_index) const;
    bool is_long_run(running_request const& running, time_point now) const;
    std::size_t count_long_runs(time_point now) const;
    std::size_t count_cooling_slots(time_point now) const;
    bool may_start(std::size_t class_index, time_point now) const;
    bool is_throttled(time_point now) const;
    void take_slot(entry const& taken, time_point now);
    void erase(request_id id);
    std::optional<request_id>
    newest_of_lowest_priority(std::uint32_t priority) const;
    duration work_ahead_of(std::int64_t rank, time_point now) const;
    void record_completion(running_request const& ended, completion how,
                           time_point now);
    double remaining_slot_share(std::uint32_t priority, double capacity) const;
    void update_load_averages(time_point now);

    std::vector<class_state> classes_; // never empty
    scheduler_limits limits_;
    scheduler_rules rules_;
    std::unordered_map<request_id, entry> entries_;
    ordered_ids queue_;           // (rank, id) of each entry
    ordered_ids by_latest_start_; // (latest_start_, id) of each entry
    std::unordered_map<request_id, running_request> running_;
    std::vector<time_point>
        cooldown_ends_; // ends of slots kept after a failure
    load_report peer_average_;
    bool has_peer_average_ = false;
    double failure_rate_ = 0.0;
    double slowdown_ = 1.0;
    double utilisation_ = 0.0;
    time_point utilisation_updated_at_{};
    // Requests that left the queue for a slot here and for a peer, decaying.
    double started_locally_ = 0.0;
    double moved_to_peers_ = 0.0;
    std::map<std::uint32_t, double>
        arriving_work_ns_; // ns of work by priority, decaying
    time_point decayed_at_{};
    time_point pause_until_{}; // the backend server sheds
    duration pause_length_{};
    time_point next_probe_at_{}; // next start while suspect
};

} // namespace daisytrail
