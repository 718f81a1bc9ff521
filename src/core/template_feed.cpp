// Reads and watches of templates.
#include <daisytrail/template_feed.hpp>

#include <algorithm>

namespace daisytrail
{

template_feed_timing feed_timing(duration apply_within)
{
    template_feed_timing result;
    result.trust_ = apply_within / 2;
    result.call_timeout_ = apply_within / 4;
    result.first_backoff_ = apply_within / 16;
    result.most_backoff_ = apply_within / 4;
    return result;
}

template_feed::template_feed(template_feed_timing const& timing)
    : timing_(timing)
{
}

void template_feed::start()
{
    *this = template_feed(timing_);
    active_ = true;
    must_read_ = true;
}

void template_feed::stop()
{
    auto const last_read = read_began_;
    *this = template_feed(timing_);
    read_began_ = last_read;
}

void template_feed::want_read(time_point now)
{
    must_read_ = must_read_ || now >= read_began_ + timing_.call_timeout_;
}

template_feed::step template_feed::next(time_point now) const
{
    if (reading_)
    {
        return step::none;
    }
    bool const is_silent =
        active_ && watching_ && now >= heard_ + timing_.trust_;
    if (must_read_ || is_silent)
    {
        return now >= not_before_ ? step::read : step::none;
    }
    return active_ && !watching_ ? step::watch : step::none;
}

void template_feed::read_begun(time_point now)
{
    reading_ = true;
    watching_ = false;
    must_read_ = true;
    read_began_ = now;
}

void template_feed::read_succeeded()
{
    reading_ = false;
    must_read_ = false;
    if (!active_)
    {
        backoff_ = {};
    }
}

void template_feed::read_failed(time_point now, double jitter)
{
    reading_ = false;
    must_read_ = active_;
    back_off(now, jitter);
}

void template_feed::watch_begun(time_point now)
{
    watching_ = true;
    heard_ = now;
}

void template_feed::watch_answered(time_point now)
{
    heard_ = now;
    backoff_ = {};
}

void template_feed::watch_failed(time_point now, double jitter)
{
    watching_ = false;
    must_read_ = true;
    back_off(now, jitter);
}

// Half of the wait is random.
void template_feed::back_off(time_point now, double jitter)
{
    backoff_ =
        std::clamp(2 * backoff_, timing_.first_backoff_, timing_.most_backoff_);
    auto const spread = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(
            static_cast<double>(backoff_.count()) * jitter / 2));
    not_before_ = now + backoff_ / 2 + spread;
}

} // namespace daisytrail
