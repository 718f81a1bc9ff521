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
    urgent, // signs of life and changes: the whole budget
    bulk    // bodies and comparisons, asked for again: half of it
};

class byte_budget
{
public:
    explicit byte_budget(std::uint32_t bytes_per_second)
        : rate_(bytes_per_second), tokens_(rate_ * burst_seconds)
    {
    }

    // Takes the bytes and returns true if they fit.
    bool take(std::size_t bytes, send_class kind, time_point now)
    {
        refill(now);
        auto const reserve =
            kind == send_class::bulk ? rate_ * burst_seconds / 2 : 0.0;
        if (tokens_ - static_cast<double>(bytes) < reserve)
        {
            return false;
        }
        tokens_ -= static_cast<double>(bytes);
        return true;
    }

private:
    static constexpr double burst_seconds = 10.0;

    void refill(time_point now)
    {
        if (now > last_)
        {
            std::chrono::duration<double> const passed = now - last_;
            tokens_ = std::min(rate_ * burst_seconds,
                               tokens_ + rate_ * passed.count());
            last_ = now;
        }
    }

    double rate_;
    double tokens_; // from 0 to rate_ * burst_seconds
    time_point last_;
};

} // namespace daisytrail
