// Token bucket that limits how many packets a balancer offers to targets which
// hardly hold their flows.
//
// Load pattern: after a power failure all callers go on in flows that no
// backend server holds any more, and no agent can rule out that its own does.
// The offers of all searches would take the agents' processors for seconds.
#pragma once

#include <daisytrail/types.hpp>

#include <algorithm>
#include <cstddef>

namespace daisytrail
{

class offer_budget
{
public:
    // Consumes tokens for `offers` packets, at most the whole bucket, and
    // returns true if there are enough; otherwise changes nothing and returns
    // false.
    bool consume(std::size_t offers, time_point now)
    {
        refill(now);
        auto const needed = std::min(static_cast<double>(offers), max_tokens);
        if (needed > tokens_)
        {
            return false;
        }
        tokens_ -= needed;
        return true;
    }

private:
    static constexpr double offers_per_second = 200;
    static constexpr double max_tokens = 200;

    void refill(time_point now)
    {
        if (now > last_refill_at_)
        {
            std::chrono::duration<double> const elapsed = now - last_refill_at_;
            tokens_ = std::min(max_tokens,
                               tokens_ + offers_per_second * elapsed.count());
            last_refill_at_ = now;
        }
    }

    double tokens_ = max_tokens;
    time_point last_refill_at_{};
};

} // namespace daisytrail
