// What a balancer learns of the flows of one route from the packets that pass:
// whether they are long, and how much callers send on each.
#pragma once

#include <daisytrail/types.hpp>

#include <cstdint>

namespace daisytrail
{

class route_profile
{
public:
    // Age at which an open flow counts as long.
    static constexpr std::chrono::seconds long_flow_age{3};

    // A flow ended before it was long.
    void on_short_flow(std::uint64_t bytes)
    {
        add(0, bytes);
    }

    // A flow has become long.
    void on_long_flow(std::uint64_t bytes)
    {
        add(1, bytes);
    }

    // Long flows bring requests at a rate; short ones bring one now.
    bool has_long_flows() const
    {
        return long_share_ >= 0.5;
    }

    double mean_kilobytes() const
    {
        return mean_kilobytes_;
    }

private:
    void add(double is_long, std::uint64_t bytes)
    {
        constexpr double newest_weight = 0.1; // of the newest flow
        constexpr double bytes_in_kilobyte = 1'000;
        auto const size = static_cast<double>(bytes) / bytes_in_kilobyte;
        long_share_ += newest_weight * (is_long - long_share_);
        mean_kilobytes_ += newest_weight * (size - mean_kilobytes_);
    }

    double long_share_ = 0.5;
    double mean_kilobytes_ = 1;
};

} // namespace daisytrail
