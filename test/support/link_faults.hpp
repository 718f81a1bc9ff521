// Fault model of one direction of a link: decides whether and when each packet
// arrives. Random decisions come from a seed and callers pass the time in, so
// that a run can be repeated.
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
    std::chrono::microseconds jitter_{0}; // uniform, added to the delay
    double loss_ = 0;                     // probabilities from 0 to 1
    double duplicate_ = 0;
    double reorder_ = 0; // probability of reorder_delay_ more
    std::chrono::microseconds reorder_delay_{5'000};
    std::uint64_t bytes_per_second_ = 0; // 0: no limit
    bool cut_ = false;                   // drops all packets
};

// Changes the fields that the object names. Throws error(invalid_argument) for
// an unknown field or a value out of range, and changes nothing in this case:
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

    // Returns the arrival times of the copies of a packet; none if it is lost.
    std::vector<clock_time> arrival_times(std::size_t bytes, clock_time now);

    // Returns the arrival time of the next bytes of a stream, which is never
    // before the arrival of earlier bytes.
    clock_time stream_arrival_time(std::size_t bytes, clock_time now);

private:
    bool draw(double probability);
    clock_time transmission_end(std::size_t bytes, clock_time now);
    std::chrono::microseconds draw_transit_time();

    std::mt19937_64 random_;
    clock_time line_free_at_{};        // end of the last transmission
    clock_time last_stream_arrival_{}; // arrival of the last bytes
};

} // namespace daisytrail
