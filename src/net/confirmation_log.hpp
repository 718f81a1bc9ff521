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
    confirmation_log(metrics& counters, duration limit);

    // From now on confirmations are expected.
    void start(time_point now);

    // None are expected any more.
    void stop();

    // The store's answer shows that no newer template than the one held was
    // written before its revision `at`. Ignored while none are expected.
    void confirmed(revision at, time_point now);

    void tick(time_point now);

private:
    duration limit_;
    histogram& gaps_; // between two confirmations
    bool expected_ = false;
    bool reported_ = false; // a line tells that the limit was passed
    time_point confirmed_{};
    revision revision_ = 0; // of the store at the last confirmation
};

} // namespace daisytrail
