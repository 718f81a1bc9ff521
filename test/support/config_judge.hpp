// Judges from outside, by what callers and backend servers saw, whether
// versions of a configuration come into force in time and never go back.
#pragma once

#include <daisytrail/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisytrail
{

struct config_bounds
{
    // A version is in force this long after its acknowledgement ...
    duration max_apply_delay_ = std::chrono::milliseconds(3'000);
    // ... at machines that were without a fault for this long.
    duration recovery_time_ = std::chrono::milliseconds(4'000);
    // After a machine has shown a version, older ones may show this long.
    duration max_rollback_time_ = std::chrono::milliseconds(250);
    // The same after a fault on the machine.
    duration max_rollback_time_after_fault_ = std::chrono::milliseconds(2'000);
};

// Services that may take new flows of each route; a route that is missing
// doesn't exist.
using route_services = std::map<int, std::set<std::string>>;

struct config_version
{
    int number_ = 0;
    route_services routes_;
    time_point written_at_{}; // it may be in force from here on
    std::optional<time_point> acknowledged_at_;
};

// What became of the first packet of a flow that a caller sent to one machine.
struct config_probe
{
    int machine_ = 0;
    int incarnation_ = 0; // of the machine's process
    int route_ = 0;
    time_point sent_at_{};
    time_point decided_at_{}; // when a backend server took it or a reset came
    std::optional<std::string> service_; // empty: refused by a reset
};

class config_judge
{
public:
    static constexpr int all_machines = -1;

    explicit config_judge(config_bounds bounds = {});

    void add(config_version version);
    void add_fault(int machine, time_point from, time_point until);
    void add(config_probe probe);

    // Each broken rule in words.
    std::vector<std::string> violations() const;

    // Probes of machines that the bounds held for, which therefore could have
    // shown a fault.
    std::size_t judged_probe_count() const;

private:
    bool is_undisturbed(config_probe const& probe) const;
    bool had_fault(int machine, time_point from, time_point until) const;
    bool allows(config_version const& version, config_probe const& probe) const;
    int oldest_allowed_version(config_probe const& probe) const;
    std::optional<std::string>
    check_apply_delay(config_probe const& probe) const;
    std::vector<std::string> check_rollbacks() const;
    std::string describe(config_probe const& probe) const;

    struct fault
    {
        int machine_;
        time_point from_;
        time_point until_;
    };

    config_bounds bounds_;
    std::map<int, config_version> versions_;
    std::vector<fault> faults_;
    std::vector<config_probe> probes_;
};

} // namespace daisytrail
