// Gauge, histogram and log lines on the store's confirmations of templates.
#include "net/template_confirmation_log.hpp"

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

template_confirmation_log::template_confirmation_log(metrics& counters,
                                                     duration max_age)
    : max_age_(max_age), gap_seconds_(counters.latency(
                             "daisytrail_templates_confirmed_gap_seconds"))
{
    counters.gauge("daisytrail_templates_confirmed_age_seconds",
                   [this]
                   {
                       if (!is_expected_)
                       {
                           return 0.0;
                       }
                       std::chrono::duration<double> const age =
                           std::chrono::steady_clock::now() -
                           last_confirmed_at_;
                       return age.count();
                   });
}

void template_confirmation_log::start(time_point now)
{
    is_expected_ = true;
    is_reported_ = false;
    last_confirmed_at_ = now;
}

void template_confirmation_log::stop()
{
    is_expected_ = false;
}

void template_confirmation_log::record_confirmation(revision store_revision,
                                                    time_point now)
{
    if (!is_expected_)
    {
        return;
    }
    auto const gap = now - last_confirmed_at_;
    gap_seconds_.add(std::chrono::duration<double>(gap).count());
    if (is_reported_)
    {
        log_event(log_level::info, "templates_confirmed",
                  {{"store_revision", store_revision},
                   {"previous_store_revision", last_store_revision_},
                   {"unconfirmed_for_ms", to_ms(gap)}});
    }
    is_reported_ = false;
    last_confirmed_at_ = now;
    last_store_revision_ = store_revision;
}

void template_confirmation_log::tick(time_point now)
{
    auto const age = now - last_confirmed_at_;
    if (!is_expected_ || is_reported_ || age <= max_age_)
    {
        return;
    }
    is_reported_ = true;
    log_event(log_level::warning, "templates_unconfirmed",
              {{"store_revision", last_store_revision_},
               {"confirmed_ms_ago", to_ms(age)},
               {"limit_ms", to_ms(max_age_)},
               {"effect", "a newer change may not be in force here"}});
}

} // namespace daisytrail
