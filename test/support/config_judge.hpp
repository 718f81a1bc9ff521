// Checks from the observations of callers and backend servers that each version
// of a configuration takes effect in time and that no machine returns to an
// older version.
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
    // Longest time from a version's acknowledgement until it is in force, on
    // machines that had no fault for recovery_time_.
    duration max_apply_delay_ = std::chrono::milliseconds(3'000);
    // A machine isn't checked for this long after a fault.
    duration recovery_time_ = std::chrono::milliseconds(4'000);
    // After a probe showed a version on a machine, probes may show older
    // versions for this long.
    duration max_rollback_time_ = std::chrono::milliseconds(250);
    // As max_rollback_time_, if the machine had a recent fault.
    duration max_rollback_time_after_fault_ = std::chrono::milliseconds(2'000);
};

// Services that may accept new flows of each route. A version doesn't serve the
// routes that are missing here.
using route_services = std::map<int, std::set<std::string>>;

struct config_version
{
    int number_ = 0;
    route_services routes_;
    time_point written_at_{}; // earliest time at which it may be in force
    std::optional<time_point> acknowledged_at_;
};

// Outcome of the first packet of a flow, sent by a caller to one machine.
struct config_probe
{
    int machine_ = 0;
    int incarnation_ = 0; // of the machine's process
    int route_ = 0;
    time_point sent_at_{};
    time_point decided_at_{}; // a backend server accepted it or a reset arrived
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

    // Descriptions of the violated rules.
    std::vector<std::string> violations() const;

    // Number of probes to machines without a recent fault. Only these probes
    // can violate max_apply_delay_.
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
