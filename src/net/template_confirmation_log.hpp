// Metrics and log lines on how long ago the store last confirmed that the
// templates in force at this process are the newest.
#pragma once

#include "net/metrics.hpp"

#include <daisytrail/types.hpp>

namespace daisytrail
{

class template_confirmation_log
{
public:
    // Logs a warning when the last confirmation is older than `max_age`.
    template_confirmation_log(metrics& counters, duration max_age);

    // Starts to expect confirmations.
    void start(time_point now);

    // Stops expecting confirmations.
    void stop();

    // Records a response of the store which shows that up to `store_revision`
    // no template newer than those in force was written. Ignored while no
    // confirmation is expected.
    void record_confirmation(revision store_revision, time_point now);

    void tick(time_point now);

private:
    duration max_age_;
    histogram& gap_seconds_; // time between two confirmations
    bool is_expected_ = false;
    bool is_reported_ = false; // the warning on the current gap was logged
    time_point last_confirmed_at_{};
    revision last_store_revision_ = 0; // at the last confirmation
};

} // namespace daisytrail
