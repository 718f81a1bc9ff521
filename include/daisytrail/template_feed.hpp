// When a balancer reads templates at the store and how long it relies on a
// watch. Fault pattern: an open connection falls silent without a reset while
// new ones work, so that a watch's silence may mean "no change" as well as "no
// connection"; and all balancers meet that at once, so that none can tell
// another.
#pragma once

#include <daisytrail/types.hpp>

namespace daisytrail
{

// Parts of the time within which a change has to be in force.
struct template_feed_timing
{
    duration watch_timeout_{}; // a watch's silence that means "no change"
    duration call_timeout_{};  // silence after which a call has failed
    duration first_backoff_{}; // after a failed call; doubled each time
    duration max_backoff_{};
};

// A watch that fell silent, a first read that is lost and a second one fit into
// `apply_within`.
template_feed_timing feed_timing(duration apply_within);

// Decides only; the caller carries out next() and reports how it went. Without
// a report of a call's end the feed waits for it.
class template_feed
{
public:
    enum class step
    {
        none,
        read, // cancel the watch, if there is one, and read the templates
        watch // from the revision after the last read
    };

    explicit template_feed(template_feed_timing const& timing);

    // Begins to follow the templates, with a read. Without it the feed only
    // reads when that is wanted.
    void start();

    // The end of a call that is open now isn't to be reported any more.
    void stop();

    // One read, whether the templates are followed or not, since a peer told of
    // a newer one. Ignored if the last read has just begun.
    void request_read(time_point now);

    bool is_active() const
    {
        return is_active_;
    }

    step next(time_point now) const;

    void on_read_started(time_point now);
    void on_read_succeeded();

    // `jitter` is from [0, 1): it spreads balancers that failed together.
    void on_read_failed(time_point now, double jitter);

    void on_watch_started(time_point now);

    // The watch brought changes or a sign of life.
    void on_watch_progress(time_point now);
    void on_watch_failed(time_point now, double jitter);

private:
    void schedule_retry(time_point now, double jitter);

    template_feed_timing timing_;
    bool is_active_ = false;
    bool is_reading_ = false;
    bool is_watching_ = false;
    // Nothing was read yet, the watch has failed, or a read is wanted.
    bool is_read_needed_ = false;
    // Begin or last sign of life of the watch. It goes on where the read ended,
    // so that only its own silence counts.
    time_point watch_last_active_at_{};
    time_point read_started_at_{};
    time_point no_read_before_{}; // no read until then
    // 0 after a watch has shown a sign of life; a read alone ends no series of
    // failures, since watches may fail while reads succeed.
    duration backoff_{};
};

} // namespace daisytrail
