// Replays a power failure of all VMs on virtual time: callers keep opening
// flows while nothing answers, and their backlog meets the backend servers,
// which are slow for some seconds after their start.
#pragma once

#include <daisytrail/forward_directory.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisytrail::test
{

struct recovery_scenario
{
    std::size_t balancers_ = 8;
    std::vector<double> speeds_{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2};
    std::uint32_t slots_ = 5;
    std::uint32_t queue_ = 20; // requests beyond the slots before refusals
    duration service_time_ = std::chrono::milliseconds(43);
    double cold_factor_ = 1.6; // of the service time after the start
    duration cold_time_ = std::chrono::seconds(2);
    double arrivals_per_second_ = 400;
    duration power_off_ = std::chrono::milliseconds(880);
    // From the return of power until balancers place flows.
    duration first_placement_delay_ = std::chrono::milliseconds(60);
    duration end_ = std::chrono::seconds(8); // of the arrivals
    duration objective_ = std::chrono::milliseconds(200);
    duration deadline_ = std::chrono::seconds(3);
    bool queues_syns_ = true; // agents have a syn_queue
    std::uint64_t seed_ = 1;
};

struct recovery_outcome
{
    std::size_t asked_ = 0;
    std::size_t on_time_ = 0;
    std::size_t late_ = 0;
    std::size_t unserved_ = 0;
    std::size_t refusals_ = 0; // by full backend servers
    std::size_t expired_attempts_ = 0;
    // From the return of power until nine tenths of the requests that arrive in
    // any later 250 ms are served on time.
    duration time_to_normal_{};
};

recovery_outcome run_recovery(recovery_scenario const& scenario);

} // namespace daisytrail::test
