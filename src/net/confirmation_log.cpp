// Gauge, histogram and log lines of confirmations by the store.
#include "net/confirmation_log.hpp"

#include "net/log.hpp"

namespace daisytrail
{

namespace
{

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

confirmation_log::confirmation_log(metrics& counters, duration limit)
    : limit_(limit),
      gaps_(counters.latency("daisytrail_templates_confirmed_gap_seconds"))
{
    counters.gauge("daisytrail_templates_confirmed_age_seconds",
                   [this]
                   {
                       if (!expected_)
                       {
                           return 0.0;
                       }
                       std::chrono::duration<double> const age =
                           std::chrono::steady_clock::now() - confirmed_;
                       return age.count();
                   });
}

void confirmation_log::start(time_point now)
{
    expected_ = true;
    reported_ = false;
    confirmed_ = now;
}

void confirmation_log::stop()
{
    expected_ = false;
}

void confirmation_log::confirmed(revision at, time_point now)
{
    if (!expected_)
    {
        return;
    }
    auto const gap = now - confirmed_;
    gaps_.add(std::chrono::duration<double>(gap).count());
    if (reported_)
    {
        log_event(log_level::info, "templates_confirmed",
                  {{"store_revision", at},
                   {"previous_store_revision", revision_},
                   {"unconfirmed_for_ms", to_ms(gap)}});
    }
    reported_ = false;
    confirmed_ = now;
    revision_ = at;
}

void confirmation_log::tick(time_point now)
{
    auto const age = now - confirmed_;
    if (!expected_ || reported_ || age <= limit_)
    {
        return;
    }
    reported_ = true;
    log_event(log_level::warning, "templates_unconfirmed",
              {{"store_revision", revision_},
               {"confirmed_ms_ago", to_ms(age)},
               {"limit_ms", to_ms(limit_)},
               {"effect", "a newer change may not be in force here"}});
}

} // namespace daisytrail
