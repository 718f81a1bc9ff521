// How long ago the store last confirmed the templates in force here, as metrics
// and log lines.
#pragma once

#include "net/metrics.hpp"

#include <daisytrail/types.hpp>

namespace daisytrail
{

class confirmation_log
{
public:
    // A line is written once the last confirmation is older than `limit`.
    confirmation_log(metrics& counters, duration max_age);

    // From now on confirmations are expected.
    void start(time_point now);

    // None are expected any more.
    void stop();

    // The store's answer shows that no newer template than the one held was
    // written before its revision `at`. Ignored while none are expected.
    void record_confirmation(revision store_revision, time_point now);

    void tick(time_point now);

private:
    duration max_age_;
    histogram& gap_seconds_; // between two confirmations
    bool is_expected_ = false;
    bool is_reported_ = false; // a line tells that the limit was passed
    time_point last_confirmed_at_{};
    revision last_store_revision_ = 0; // of the store at the last confirmation
};

} // namespace daisytrail
