// State transitions of the template feed.
#include <daisytrail/template_feed.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// What balancers keep at the store has to be back 2 s after the store's return,
// which a read notices.
constexpr std::chrono::milliseconds longest_backoff{1'500};

} // namespace

template_feed_timing feed_timing(duration apply_within)
{
    template_feed_timing result;
    result.watch_timeout_ = apply_within / 2;
    result.call_timeout_ = apply_within / 4;
    result.first_backoff_ = apply_within / 16;
    result.max_backoff_ = std::min<duration>(apply_within / 4, longest_backoff);
    return result;
}

template_feed::template_feed(template_feed_timing const& timing)
    : timing_(timing)
{
}

void template_feed::start()
{
    *this = template_feed(timing_);
    is_active_ = true;
    is_read_needed_ = true;
}

void template_feed::stop()
{
    auto const last_read_started_at = read_started_at_;
    *this = template_feed(timing_);
    read_started_at_ = last_read_started_at;
}

void template_feed::request_read(time_point now)
{
    is_read_needed_ =
        is_read_needed_ || now >= read_started_at_ + timing_.call_timeout_;
}

template_feed::step template_feed::next(time_point now) const
{
    if (is_reading_)
    {
        return step::none;
    }
    bool const is_silent =
        is_active_ && is_watching_ &&
        now >= watch_last_active_at_ + timing_.watch_timeout_;
    if (is_read_needed_ || is_silent)
    {
        return now >= no_read_before_ ? step::read : step::none;
    }
    return is_active_ && !is_watching_ ? step::watch : step::none;
}

void template_feed::on_read_started(time_point now)
{
    is_reading_ = true;
    is_watching_ = false;
    is_read_needed_ = true;
    read_started_at_ = now;
}

void template_feed::on_read_succeeded()
{
    is_reading_ = false;
    is_read_needed_ = false;
    if (!is_active_)
    {
        backoff_ = {};
    }
}

void template_feed::on_read_failed(time_point now, double jitter)
{
    is_reading_ = false;
    is_read_needed_ = is_active_;
    schedule_retry(now, jitter);
}

void template_feed::on_watch_started(time_point now)
{
    is_watching_ = true;
    watch_last_active_at_ = now;
}

void template_feed::on_watch_progress(time_point now)
{
    watch_last_active_at_ = now;
    backoff_ = {};
}

void template_feed::on_watch_failed(time_point now, double jitter)
{
    is_watching_ = false;
    is_read_needed_ = true;
    schedule_retry(now, jitter);
}

// Backs off exponentially; the jitter covers half of the delay.
void template_feed::schedule_retry(time_point now, double jitter)
{
    backoff_ =
        std::clamp(2 * backoff_, timing_.first_backoff_, timing_.max_backoff_);
    auto const spread = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(
            static_cast<double>(backoff_.count()) * jitter / 2));
    no_read_before_ = now + backoff_ / 2 + spread;
}

} // namespace daisytrail
