// Faults of one direction of a link: when, if at all, each packet arrives. All
// randomness comes from a seed and the time is passed in, so that a run can be
// repeated.
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace daisytrail
{

struct link_settings
{
    std::chrono::microseconds delay_{0};
    std::chrono::microseconds jitter_{0}; // added to the delay, uniform
    double loss_ = 0;                     // probabilities from 0 to 1
    double duplicate_ = 0;
    double reorder_ = 0; // share of packets that wait reorder_delay_ more
    std::chrono::microseconds reorder_delay_{5'000};
    std::uint64_t bytes_per_second_ = 0; // 0: no limit
    bool cut_ = false;                   // nothing passes
};

// Changes the fields that the object names; throws error(invalid_argument) on
// unknown fields and values out of range, and then changes nothing:
//   {"delay_ms": 5, "jitter_ms": 2, "loss": 0.05, "duplicate": 0.01,
//    "reorder": 0.1, "reorder_ms": 5, "bytes_per_second": 9000, "cut": false}
void change_settings(link_settings& settings,
                     boost::json::object const& changes);

class link_faults
{
public:
    using clock_time = std::chrono::steady_clock::time_point;

    explicit link_faults(std::uint64_t seed) : random_(seed) {}

    link_settings settings_;

    // Times at which copies of a packet arrive; none if it is lost.
    std::vector<clock_time> arrival_times(std::size_t bytes, clock_time now);

    // Time at which the next bytes of a stream arrive; never earlier than
    // those before it.
    clock_time stream_arrival_time(std::size_t bytes, clock_time now);

private:
    bool draw(double probability);
    clock_time transmission_end(std::size_t bytes, clock_time now);
    std::chrono::microseconds draw_transit_time();

    std::mt19937_64 random_;
    clock_time line_free_at_{}; // when the line has sent what came before
    clock_time last_stream_arrival_{}; // arrival of the bytes before
};

} // namespace daisytrail
