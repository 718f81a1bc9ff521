// Request scheduler of one agent: chooses which queued request starts next,
// decides admission and estimates queueing delays. The current time is passed
// as an argument; the scheduler uses no sockets and no timers.
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

// Configuration of a request class.
struct scheduler_class
{
    bool long_running_ = false;  // never takes the last of several slots
    std::uint32_t priority_ = 1; // 0 is the highest priority, shed last
    // Initial estimate of the run time, until runs have been measured.
    duration expected_{std::chrono::milliseconds(100)};
};

// Scheduling policy. The product and the baselines of the measurements differ
// only in these rules.
struct scheduler_rules
{
    // Computes the rank of a request when it is queued. Requests start in
    // ascending order of rank; a queued request keeps its rank.
    duration (*rank_)(scheduler_class const&, duration estimate,
                      duration received);
    // Long-running requests leave one slot to short ones.
    bool reserves_short_slot_;
    // A request that is expected to miss its deadline is refused on arrival.
    bool rejects_unreachable_deadlines_;
    // A full queue sheds the newest request of its lowest priority to admit a
    // request of a higher priority.
    bool sheds_lower_priority_;
    // Fewer requests start while the backend server sheds load, fails or is
    // slow.
    bool throttles_backend_;
};

// Shortest estimated run time first, with aging against starvation.
extern scheduler_rules const product_rules;
// Baseline: arrival order; requests are refused only when the queue is full.
extern scheduler_rules const fifo_rules;

struct scheduler_limits
{
    std::uint32_t slots_ = 4;  // requests that run concurrently
    std::uint32_t queue_ = 64; // requests that wait
};

struct scheduled_request
{
    request_id id_ = 0;
    std::size_t class_ = 0;
    time_point received_{};
    time_point deadline_{};
    bool is_reservation_ = false; // holds a place for a peer's request
};

// Result of an admission decision.
struct admission
{
    std::optional<request_outcome> refused_; // empty: the request is queued
    duration retry_after_{};
    std::optional<request_id> victim_; // queued request that was shed for it
};

// How a started request ended.
enum class completion
{
    answered,
    failed,   // the backend server gave an error or was lost
    refused,  // the backend server shed the request without running it
    abandoned // never sent or cancelled; isn't counted in the estimates
};

// Load that an agent reports about itself in each reply to a peer. The values
// other than wait_ are moving averages.
struct load_report
{
    duration wait_{};           // expected wait of a new request of class 0
    double utilisation_ = 0.0;  // share of the slots in use
    double failure_rate_ = 0.0; // share of answers that failed
    double slowdown_ = 1.0;     // ratio of run times to their long-term average

    bool operator==(load_report const&) const = default;
};

class scheduler
{
public:
    scheduler(std::vector<scheduler_class> classes,
              scheduler_limits const& limits,
              scheduler_rules const& rules = product_rules);

    // Replaces the classes and limits. Queued requests keep their rank.
    void configure(std::vector<scheduler_class> classes,
                   scheduler_limits const& limits);

    // Queues a request or refuses it immediately.
    admission try_enqueue(scheduled_request const& request, time_point now);

    // Starts the queued request of the lowest rank that may start now: moves it
    // from the queue into a slot.
    std::optional<request_id> next(time_point now);

    // Starts the given queued request. Returns false if it isn't queued or no
    // slot is available to its class.
    bool start(request_id id, time_point now);

    // Removes a queued request that was cancelled or, if `moved`, passed to
    // another agent. Returns false if it isn't queued.
    bool remove(request_id id, time_point now, bool moved);

    // Removes and returns the queued requests that can no longer meet their
    // deadline.
    std::vector<request_id> expire(time_point now);

    // Frees the slot of a started request and updates the estimates. If the
    // request failed before the estimated run time of its class, its slot stays
    // occupied for the rest of that time; otherwise a backend server that fails
    // fast would attract extra requests. The answer to the caller isn't
    // delayed.
    void finish(request_id id, completion how, time_point now);

    // Earliest time at which expire() or next() may find work without another
    // call before; empty if the queue is empty.
    std::optional<time_point> next_event(time_point now) const;

    // Estimated queueing delay of a request of the class that arrives now.
    duration expected_wait(std::size_t class_index, time_point now) const;

    // Estimated run time of a request of the class.
    duration estimate(std::size_t class_index) const;

    load_report report(time_point now) const;

    // Sets the moving average of the peers' reports, with which is_suspect()
    // compares this backend server.
    void set_peer_average(load_report const& average);

    // True while the failure rate or slowdown of this backend server is far
    // above its peers'. Only single probe requests start during that time, and
    // peers are offered the rest.
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

    // True if the queue is empty and a request of the class could start now.
    bool has_free_slot(std::size_t class_index, time_point now) const;

private:
    struct entry
    {
        scheduled_request request_;
        duration rank_{};
        time_point latest_start_{}; // start by which the deadline can be met
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
        double estimate_ns_ = 0.0; // moving average of the run time
        double baseline_ns_ = 0.0; // the same over a much longer window
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
    // Times until which slots of failed requests stay occupied.
    std::vector<time_point> cooldown_ends_;
    load_report peer_average_;
    bool has_peer_average_ = false;
    double failure_rate_ = 0.0;
    double slowdown_ = 1.0;
    double utilisation_ = 0.0;
    time_point utilisation_updated_at_{};
    // Exponentially decaying counts of requests that left the queue for a local
    // slot and for a peer.
    double started_locally_ = 0.0;
    double moved_to_peers_ = 0.0;
    // Exponentially decaying sums of the estimated run times of arriving
    // requests, by priority.
    std::map<std::uint32_t, double> arriving_work_ns_;
    time_point decayed_at_{};
    // No request starts before this time, since the backend server shed one.
    time_point pause_until_{};
    duration pause_length_{};    // doubles per shed request, 0 after an answer
    time_point next_probe_at_{}; // earliest start of the next probe request
};

} // namespace daisytrail
