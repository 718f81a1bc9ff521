// Token bucket that limits the rate of a process's outgoing control traffic.
#pragma once

#include <daisytrail/types.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace daisytrail
{

// Priority class of a message: determines how far the message may draw down
// the bucket.
enum class send_class : std::uint8_t
{
    // Notice of a changed template: may overdraw the bucket by one second's
    // worth of tokens.
    change_notice,
    // Heartbeats, probes and membership changes: may empty the bucket.
    urgent,
    // Template transfers and hash-tree comparisons, which are retried: may use
    // the upper half of the bucket.
    bulk
};

class byte_budget
{
public:
    explicit byte_budget(std::uint32_t bytes_per_second)
        : bytes_per_second_(bytes_per_second),
          tokens_(bytes_per_second_ * burst_seconds)
    {
    }

    // Consumes tokens for `bytes` and returns true if the class allows that;
    // otherwise leaves the bucket unchanged and returns false.
    bool consume(std::size_t bytes, send_class kind, time_point now)
    {
        refill(now);
        if (tokens_ - static_cast<double>(bytes) < min_remaining(kind))
        {
            return false;
        }
        tokens_ -= static_cast<double>(bytes);
        return true;
    }

private:
    static constexpr double burst_seconds = 10.0;
    static constexpr double max_debt_seconds = 1.0;

    // Minimum number of tokens that must remain after a message of this class.
    double min_remaining(send_class kind) const
    {
        switch (kind)
        {
        case send_class::change_notice:
            return -bytes_per_second_ * max_debt_seconds;
        case send_class::bulk:
            return bytes_per_second_ * burst_seconds / 2;
        case send_class::urgent:
            break;
        }
        return 0;
    }

    void refill(time_point now)
    {
        if (now > last_refill_at_)
        {
            std::chrono::duration<double> const elapsed = now - last_refill_at_;
            tokens_ = std::min(bytes_per_second_ * burst_seconds,
                               tokens_ + bytes_per_second_ * elapsed.count());
            last_refill_at_ = now;
        }
    }

    double bytes_per_second_;
    // At most bytes_per_second_ * burst_seconds; negative if overdrawn.
    double tokens_;
    time_point last_refill_at_;
};

} // namespace daisytrail
