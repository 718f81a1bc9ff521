// Schedules a balancer's reads and watches of templates at the store. Guards
// against connections that stall without a reset while new connections work: a
// silent watch may then mean "no change" or "no connection". Such a fault may
// hit all balancers at once, so that no peer can announce the change either.
#pragma once

#include <daisytrail/types.hpp>

namespace daisytrail
{

// Timeouts, derived from the time within which a change must be in force.
struct template_feed_timing
{
    duration watch_timeout_{}; // silence after which a watch is abandoned
    duration call_timeout_{};  // silence after which a call has failed
    duration first_backoff_{}; // after a failed call; doubled by each failure
    duration max_backoff_{};
};

// Chooses the timeouts so that a silent watch, a lost read and a second read
// together take no longer than `apply_within`.
template_feed_timing feed_timing(duration apply_within);

// State machine that decides on the next call to the store. The caller executes
// the step that next() returns and reports its start and result. While a read
// is in progress, next() returns none until its result is reported.
class template_feed
{
public:
    enum class step
    {
        none,
        read, // cancel a running watch and read the templates
        watch // watch from the revision after the last read
    };

    explicit template_feed(template_feed_timing const& timing);

    // Starts following the templates, beginning with a read. An inactive feed
    // reads only after request_read().
    void start();

    // Stops following the templates. The caller must not report the results of
    // calls that are in progress.
    void stop();

    // Requests one read, whether or not the feed is active, because a peer has
    // offered a newer template. Ignored within call_timeout_ of the start of
    // the last read.
    void request_read(time_point now);

    bool is_active() const
    {
        return is_active_;
    }

    step next(time_point now) const;

    void on_read_started(time_point now);
    void on_read_succeeded();

    // `jitter` from [0, 1) spreads the retries of balancers whose calls failed
    // at the same time.
    void on_read_failed(time_point now, double jitter);

    void on_watch_started(time_point now);

    // The watch delivered changes or a progress notification.
    void on_watch_progress(time_point now);
    void on_watch_failed(time_point now, double jitter);

private:
    void schedule_retry(time_point now, double jitter);

    template_feed_timing timing_;
    bool is_active_ = false;
    bool is_reading_ = false;
    bool is_watching_ = false;
    // No read has succeeded yet, the watch has failed, or a read was requested.
    bool is_read_needed_ = false;
    // Start of the watch or its last message. Not the time of the preceding
    // read: the watch continues at the revision of that read, so that only the
    // watch's own silence counts.
    time_point watch_last_active_at_{};
    time_point read_started_at_{};
    time_point no_read_before_{};
    // Reset to 0 by a message of a watch. While the feed is active, a
    // successful read doesn't reset it, since watches may fail while reads
    // succeed.
    duration backoff_{};
};

} // namespace daisytrail
