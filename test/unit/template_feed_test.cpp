// Tests of reads and watches of templates in simulated time.
#include <daisytrail/template_feed.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds apply_within{3'000};
constexpr milliseconds tick{100};
constexpr milliseconds answer_delay{10};

// How the store reacts to calls.
enum class reply
{
    answers,
    refuses, // immediately
    silent   // never answers a call that starts in this state
};

// Simulates a store and a caller that executes the feed's steps. Versions count
// up from 1.
class simulated_store
{
public:
    explicit simulated_store(double jitter)
        : timing_(feed_timing(apply_within)), feed_(timing_), jitter_(jitter)
    {
        feed_.start();
    }

    void run_until(time_point end)
    {
        for (; now_ < end; now_ += milliseconds(1))
        {
            complete_calls();
            if ((now_ - time_point{}) % tick == duration{})
            {
                step();
            }
        }
    }

    time_point now() const
    {
        return now_;
    }

    void change()
    {
        ++version_;
    }

    void set_reply(reply value)
    {
        reply_ = value;
    }

    // Leaves the open calls unanswered forever; later calls are answered.
    void silence_open_connections()
    {
        watch_is_silent_ = true;
        read_is_silent_ = true;
    }

    int version_in_force() const
    {
        return version_in_force_;
    }

    int calls() const
    {
        return calls_;
    }

private:
    void step()
    {
        switch (feed_.next(now_))
        {
        case template_feed::step::read:
            ++calls_;
            feed_.on_read_started(now_);
            watch_started_at_.reset();
            read_started_at_ = now_;
            read_is_silent_ = reply_ == reply::silent;
            break;
        case template_feed::step::watch:
            ++calls_;
            feed_.on_watch_started(now_);
            start_watch();
            break;
        case template_feed::step::none:
            break;
        }
    }

    void start_watch()
    {
        watch_started_at_ = now_;
        watch_is_silent_ = reply_ == reply::silent;
    }

    void complete_calls()
    {
        if (read_started_at_ && now_ >= *read_started_at_ + answer_delay)
        {
            complete_read();
        }
        if (watch_started_at_ && !watch_is_silent_ && now_ > *watch_started_at_)
        {
            complete_watch();
        }
    }

    void complete_read()
    {
        if (!read_is_silent_ && reply_ == reply::answers)
        {
            read_started_at_.reset();
            version_in_force_ = std::max(version_in_force_, version_);
            feed_.on_read_succeeded();
            step();
        }
        else if (!read_is_silent_ ||
                 now_ >= *read_started_at_ + timing_.call_timeout_)
        {
            read_started_at_.reset();
            feed_.on_read_failed(now_, jitter_);
        }
    }

    void complete_watch()
    {
        constexpr milliseconds progress_interval{1'200};
        if (reply_ == reply::refuses)
        {
            watch_started_at_.reset();
            feed_.on_watch_failed(now_, jitter_);
        }
        else if (version_in_force_ < version_ ||
                 now_ >= *watch_started_at_ + progress_interval)
        {
            version_in_force_ = version_;
            feed_.on_watch_progress(now_);
            ++calls_;
            start_watch();
        }
    }

    template_feed_timing timing_;
    template_feed feed_;
    double jitter_;
    time_point now_{};
    reply reply_ = reply::answers;
    int version_ = 1;
    int version_in_force_ = 0;
    int calls_ = 0;
    std::optional<time_point> read_started_at_;
    std::optional<time_point> watch_started_at_;
    bool read_is_silent_ = false;
    bool watch_is_silent_ = false;
};

// Runs until the version is in force and returns the elapsed time, at most a
// minute.
milliseconds time_to_apply(simulated_store& store, int version)
{
    auto const begin = store.now();
    while (store.version_in_force() < version &&
           store.now() < begin + std::chrono::minutes(1))
    {
        store.run_until(store.now() + milliseconds(1));
    }
    return std::chrono::duration_cast<milliseconds>(store.now() - begin);
}

} // namespace

TEST_CASE("the timeouts leave time for one lost read")
{
    auto const timing = feed_timing(apply_within);
    CHECK(timing.watch_timeout_ + tick + timing.call_timeout_ +
              timing.first_backoff_ + tick + answer_delay <=
          apply_within);
}

TEST_CASE("without faults a change is in force at once, with few calls")
{
    simulated_store store(0.5);
    store.run_until(time_point{} + std::chrono::seconds(30));
    CHECK(store.calls() <= 27);
    store.change();
    CHECK(time_to_apply(store, 2) <= milliseconds(2));
}

// Regression test (CONFIG, issue 16): connections to the store fell silent
// without a reset.
TEST_CASE("a change is in force in time if the watch is silent")
{
    for (int offset_ms = 0; offset_ms < 2'500; offset_ms += 50)
    {
        CAPTURE(offset_ms);
        simulated_store store(1);
        store.run_until(time_point{} + milliseconds(5'000 + offset_ms));
        store.silence_open_connections();
        store.change();
        CHECK(time_to_apply(store, 2) <= apply_within);
    }
}

TEST_CASE("a change is in force in time if the read after a silent watch is "
          "lost, too")
{
    for (int offset_ms = 0; offset_ms < 1'500; offset_ms += 50)
    {
        CAPTURE(offset_ms);
        simulated_store store(1);
        store.run_until(time_point{} + milliseconds(5'000 + offset_ms));
        store.set_reply(reply::silent);
        store.silence_open_connections();
        store.change();
        auto const begin = store.now();
        // Runs until the first read starts; this read gets no answer either.
        auto const calls = store.calls();
        while (store.calls() == calls)
        {
            store.run_until(store.now() + milliseconds(1));
        }
        store.set_reply(reply::answers);
        time_to_apply(store, 2);
        CHECK(store.now() - begin <= apply_within);
    }
}

// A change must be in force no later than 4 s after the end of a store outage.
TEST_CASE("templates are read soon after the end of an outage")
{
    for (auto const failure_kind : {reply::refuses, reply::silent})
    {
        for (int offset_ms = 0; offset_ms < 2'000; offset_ms += 50)
        {
            CAPTURE(offset_ms);
            simulated_store store(1);
            store.run_until(time_point{} + std::chrono::seconds(5));
            store.set_reply(failure_kind);
            store.silence_open_connections();
            store.run_until(time_point{} + std::chrono::seconds(20) +
                            milliseconds(offset_ms));
            store.change();
            store.set_reply(reply::answers);
            CHECK(time_to_apply(store, 2) <= milliseconds(4'000));
        }
    }
}

TEST_CASE("a store that refuses or doesn't answer gets few calls")
{
    for (auto const failure_kind : {reply::refuses, reply::silent})
    {
        simulated_store store(0.5);
        store.run_until(time_point{} + std::chrono::seconds(5));
        auto const before = store.calls();
        store.set_reply(failure_kind);
        store.silence_open_connections();
        store.run_until(time_point{} + std::chrono::seconds(15));
        CHECK(store.calls() - before <= 20);
    }
}

TEST_CASE("a watch that fails repeatedly is restarted with exponential backoff")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.start();
    int calls = 0;
    for (auto now = begin; now < begin + std::chrono::seconds(10);
         now += milliseconds(10))
    {
        switch (feed.next(now))
        {
        case template_feed::step::read:
            ++calls;
            feed.on_read_started(now);
            feed.on_read_succeeded();
            break;
        case template_feed::step::watch:
            ++calls;
            feed.on_watch_started(now);
            feed.on_watch_failed(now, 0);
            break;
        case template_feed::step::none:
            break;
        }
    }
    // Two calls every 375 ms, and a few more at the beginning.
    CHECK(calls <= 60);
    CHECK(calls >= 20);
}

TEST_CASE("a watch that starts after a long read has its full timeout")
{
    auto const timing = feed_timing(apply_within);
    template_feed feed(timing);
    feed.start();
    feed.on_read_started(time_point{});
    auto const read = time_point{} + 2 * timing.watch_timeout_;
    feed.on_read_succeeded();
    CHECK(feed.next(read) == template_feed::step::watch);
    feed.on_watch_started(read);
    CHECK(feed.next(read + timing.watch_timeout_ - tick) ==
          template_feed::step::none);
    CHECK(feed.next(read + timing.watch_timeout_) == template_feed::step::read);
}

TEST_CASE("a stopped feed makes no calls")
{
    template_feed feed(feed_timing(apply_within));
    CHECK(feed.next(time_point{}) == template_feed::step::none);
    feed.start();
    CHECK(feed.next(time_point{}) == template_feed::step::read);
    feed.stop();
    CHECK(feed.next(time_point{}) == template_feed::step::none);
}

TEST_CASE("an inactive feed reads once on request")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.request_read(begin);
    CHECK(feed.next(begin) == template_feed::step::read);
    feed.on_read_started(begin);
    CHECK(feed.next(begin) == template_feed::step::none);
    feed.on_read_succeeded();
    CHECK(feed.next(begin + std::chrono::minutes(1)) ==
          template_feed::step::none);
}

TEST_CASE("a read in progress when the feed is stopped blocks no later read")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.start();
    feed.on_read_started(begin);
    feed.stop();
    auto const later = begin + std::chrono::seconds(10);
    feed.request_read(later);
    CHECK(feed.next(later) == template_feed::step::read);
}

TEST_CASE("the rate of repeatedly requested reads is limited")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    int reads = 0;
    for (auto now = begin; now < begin + std::chrono::seconds(10); now += tick)
    {
        feed.request_read(now);
        if (feed.next(now) == template_feed::step::read)
        {
            ++reads;
            feed.on_read_started(now);
            feed.on_read_succeeded();
        }
    }
    CHECK(reads > 5);
    CHECK(reads <= 14);
}

TEST_CASE("a requested read that fails is not retried without a new request")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.request_read(begin);
    feed.on_read_started(begin);
    feed.on_read_failed(begin, 1);
    auto const later = begin + feed_timing(apply_within).max_backoff_;
    CHECK(feed.next(later) == template_feed::step::none);
    feed.request_read(later);
    CHECK(feed.next(later) == template_feed::step::read);
}

} // namespace daisytrail
