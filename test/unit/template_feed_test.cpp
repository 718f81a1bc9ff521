// Reads and watches of templates, on virtual time.
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
constexpr milliseconds answer_time{10};

// What the store does with a connection.
enum class reply
{
    answers,
    refuses, // at once
    silent   // on the connections that are open now
};

// A store that is asked as the feed decides. Versions count up from 1.
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
            on_calls();
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

    // The open connections are never answered; later ones are.
    void silence_open_connections()
    {
        watch_is_silent_ = true;
        read_is_silent_ = true;
    }

    int version_in_force() const
    {
        return in_force_;
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
            feed_.read_begun(now_);
            watch_began_.reset();
            read_began_ = now_;
            read_is_silent_ = reply_ == reply::silent;
            break;
        case template_feed::step::watch:
            ++calls_;
            feed_.watch_begun(now_);
            begin_watch();
            break;
        case template_feed::step::none:
            break;
        }
    }

    void begin_watch()
    {
        watch_began_ = now_;
        watch_is_silent_ = reply_ == reply::silent;
    }

    void on_calls()
    {
        if (read_began_ && now_ >= *read_began_ + answer_time)
        {
            on_read();
        }
        if (watch_began_ && !watch_is_silent_ && now_ > *watch_began_)
        {
            on_watch();
        }
    }

    void on_read()
    {
        if (!read_is_silent_ && reply_ == reply::answers)
        {
            read_began_.reset();
            in_force_ = std::max(in_force_, version_);
            feed_.read_succeeded();
            step();
        }
        else if (!read_is_silent_ ||
                 now_ >= *read_began_ + timing_.call_timeout_)
        {
            read_began_.reset();
            feed_.read_failed(now_, jitter_);
        }
    }

    void on_watch()
    {
        constexpr milliseconds sign_interval{1'200};
        if (reply_ == reply::refuses)
        {
            watch_began_.reset();
            feed_.watch_failed(now_, jitter_);
        }
        else if (in_force_ < version_ || now_ >= *watch_began_ + sign_interval)
        {
            in_force_ = version_;
            feed_.watch_answered(now_);
            ++calls_;
            begin_watch();
        }
    }

    template_feed_timing timing_;
    template_feed feed_;
    double jitter_;
    time_point now_{};
    reply reply_ = reply::answers;
    int version_ = 1;
    int in_force_ = 0;
    int calls_ = 0;
    std::optional<time_point> read_began_;
    std::optional<time_point> watch_began_;
    bool read_is_silent_ = false;
    bool watch_is_silent_ = false;
};

// Time from now until the version is in force, at most a minute.
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

TEST_CASE("the parts of the time to apply leave room for one lost read")
{
    auto const timing = feed_timing(apply_within);
    CHECK(timing.trust_ + tick + timing.call_timeout_ + timing.first_backoff_ +
              tick + answer_time <=
          apply_within);
}

TEST_CASE("a change is in force at once on a calm day, with few calls")
{
    simulated_store store(0.5);
    store.run_until(time_point{} + std::chrono::seconds(30));
    CHECK(store.calls() <= 27);
    store.change();
    CHECK(time_to_apply(store, 2) <= milliseconds(2));
}

// Regression: CONFIG, silent connections to the store (issue 16).
TEST_CASE("a change is in force in time after a watch fell silent")
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
          "lost as well")
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
        // Until the first read is open, which falls silent too.
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

// A process is held to the bound again 4 s after the end of a store's outage.
TEST_CASE("templates are read soon after the end of an outage")
{
    for (auto const how : {reply::refuses, reply::silent})
    {
        for (int offset_ms = 0; offset_ms < 2'000; offset_ms += 50)
        {
            CAPTURE(offset_ms);
            simulated_store store(1);
            store.run_until(time_point{} + std::chrono::seconds(5));
            store.set_reply(how);
            store.silence_open_connections();
            store.run_until(time_point{} + std::chrono::seconds(20) +
                            milliseconds(offset_ms));
            store.change();
            store.set_reply(reply::answers);
            CHECK(time_to_apply(store, 2) <= milliseconds(4'000));
        }
    }
}

TEST_CASE("calls at a store that refuses or is silent stay few")
{
    for (auto const how : {reply::refuses, reply::silent})
    {
        simulated_store store(0.5);
        store.run_until(time_point{} + std::chrono::seconds(5));
        auto const before = store.calls();
        store.set_reply(how);
        store.silence_open_connections();
        store.run_until(time_point{} + std::chrono::seconds(15));
        CHECK(store.calls() - before <= 20);
    }
}

TEST_CASE(
    "a watch that fails at once again and again is begun ever more rarely")
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
            feed.read_begun(now);
            feed.read_succeeded();
            break;
        case template_feed::step::watch:
            ++calls;
            feed.watch_begun(now);
            feed.watch_failed(now, 0);
            break;
        case template_feed::step::none:
            break;
        }
    }
    // Two calls each 375 ms, and some more at the beginning.
    CHECK(calls <= 60);
    CHECK(calls >= 20);
}

TEST_CASE("a watch that begins after a long read has all its time")
{
    auto const timing = feed_timing(apply_within);
    template_feed feed(timing);
    feed.start();
    feed.read_begun(time_point{});
    auto const read = time_point{} + 2 * timing.trust_;
    feed.read_succeeded();
    CHECK(feed.next(read) == template_feed::step::watch);
    feed.watch_begun(read);
    CHECK(feed.next(read + timing.trust_ - tick) == template_feed::step::none);
    CHECK(feed.next(read + timing.trust_) == template_feed::step::read);
}

TEST_CASE("a feed that was stopped asks for nothing")
{
    template_feed feed(feed_timing(apply_within));
    CHECK(feed.next(time_point{}) == template_feed::step::none);
    feed.start();
    CHECK(feed.next(time_point{}) == template_feed::step::read);
    feed.stop();
    CHECK(feed.next(time_point{}) == template_feed::step::none);
}

TEST_CASE("a feed that doesn't follow reads once when that is wanted")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.want_read(begin);
    CHECK(feed.next(begin) == template_feed::step::read);
    feed.read_begun(begin);
    CHECK(feed.next(begin) == template_feed::step::none);
    feed.read_succeeded();
    CHECK(feed.next(begin + std::chrono::minutes(1)) ==
          template_feed::step::none);
}

TEST_CASE("a read that was open when the feed was stopped blocks no other")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.start();
    feed.read_begun(begin);
    feed.stop();
    auto const later = begin + std::chrono::seconds(10);
    feed.want_read(later);
    CHECK(feed.next(later) == template_feed::step::read);
}

TEST_CASE("a read that is wanted again and again goes out now and then")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    int reads = 0;
    for (auto now = begin; now < begin + std::chrono::seconds(10); now += tick)
    {
        feed.want_read(now);
        if (feed.next(now) == template_feed::step::read)
        {
            ++reads;
            feed.read_begun(now);
            feed.read_succeeded();
        }
    }
    CHECK(reads > 5);
    CHECK(reads <= 14);
}

TEST_CASE("a wanted read that fails waits before it is tried again")
{
    auto const begin = time_point{} + std::chrono::minutes(1);
    template_feed feed(feed_timing(apply_within));
    feed.want_read(begin);
    feed.read_begun(begin);
    feed.read_failed(begin, 1);
    auto const later = begin + feed_timing(apply_within).most_backoff_;
    CHECK(feed.next(later) == template_feed::step::none);
    feed.want_read(later);
    CHECK(feed.next(later) == template_feed::step::read);
}

} // namespace daisytrail
