// Token bucket over the bytes that a process sends for control.
#pragma once

#include <daisytrail/types.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace daisytrail
{

// What may still be sent when bytes are scarce.
enum class send_class : std::uint8_t
{
    change_notice, // of a changed template: a second's bytes may be borrowed
    urgent,        // signs of life and changes of members: the whole budget
    bulk           // bodies and comparisons, asked for again: half of it
};

class byte_budget
{
public:
    explicit byte_budget(std::uint32_t bytes_per_second)
        : bytes_per_second_(bytes_per_second),
          tokens_(bytes_per_second_ * burst_seconds)
    {
    }

    // Takes the bytes and returns true if they fit.
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

    // Tokens that have to be left.
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
    double tokens_; // at most bytes_per_second_ * burst_seconds; below 0 if
                    // borrowed
    time_point last_refill_at_;
};

} // namespace daisytrail
