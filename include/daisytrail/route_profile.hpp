// Statistics of the flows of one route, which a balancer gathers from the
// packets that it forwards: moving averages of the share of long flows and of
// the bytes that callers send on a flow.
#pragma once

#include <daisytrail/types.hpp>

#include <cstdint>

namespace daisytrail
{

class route_profile
{
public:
    // Age from which an open flow counts as long.
    static constexpr std::chrono::seconds long_flow_age{3};

    // Records a flow that ended before it became long.
    void on_short_flow(std::uint64_t bytes)
    {
        add(0, bytes);
    }

    // Records a flow that has become long.
    void on_long_flow(std::uint64_t bytes)
    {
        add(1, bytes);
    }

    // True if at least half of the flows are long. A long flow brings a steady
    // rate of requests; a short flow brings one request now.
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
        constexpr double newest_weight = 0.1; // weight of the newest flow
        constexpr double bytes_in_kilobyte = 1'000;
        auto const size = static_cast<double>(bytes) / bytes_in_kilobyte;
        long_share_ += newest_weight * (is_long - long_share_);
        mean_kilobytes_ += newest_weight * (size - mean_kilobytes_);
    }

    double long_share_ = 0.5;
    double mean_kilobytes_ = 1;
};

} // namespace daisytrail
