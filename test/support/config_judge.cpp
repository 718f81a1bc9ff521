// Comparison of probe outcomes with the versions that permit them.
#include "support/config_judge.hpp"

#include <algorithm>

namespace daisytrail
{

namespace
{

std::int64_t to_ms(time_point value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               value.time_since_epoch())
        .count();
}

} // namespace

config_judge::config_judge(config_bounds bounds) : bounds_(bounds) {}

void config_judge::add(config_version version)
{
    versions_[version.number_] = std::move(version);
}

void config_judge::add_fault(int machine, time_point from, time_point until)
{
    faults_.push_back({machine, from, until});
}

void config_judge::add(config_probe probe)
{
    probes_.push_back(std::move(probe));
}

bool config_judge::had_fault(int machine, time_point from,
                             time_point until) const
{
    return std::ranges::any_of(faults_,
                               [&](fault const& recorded)
                               {
                                   bool const affects_machine =
                                       recorded.machine_ == machine ||
                                       recorded.machine_ == all_machines;
                                   return affects_machine &&
                                          recorded.from_ <= until &&
                                          recorded.until_ >= from;
                               });
}

bool config_judge::is_undisturbed(config_probe const& probe) const
{
    return !had_fault(probe.machine_, probe.sent_at_ - bounds_.recovery_time_,
                      probe.decided_at_);
}

bool config_judge::allows(config_version const& version,
                          config_probe const& probe) const
{
    if (version.written_at_ > probe.decided_at_)
    {
        return false;
    }
    auto const route = version.routes_.find(probe.route_);
    if (route == version.routes_.end())
    {
        return !probe.service_;
    }
    return probe.service_ && route->second.contains(*probe.service_);
}

int config_judge::oldest_allowed_version(config_probe const& probe) const
{
    int result = 0;
    for (auto const& [number, version] : versions_)
    {
        bool const is_due = version.acknowledged_at_ &&
                            probe.sent_at_ >= *version.acknowledged_at_ +
                                                  bounds_.max_apply_delay_;
        result = is_due ? std::max(result, number) : result;
    }
    return result;
}

std::string config_judge::describe(config_probe const& probe) const
{
    return "machine " + std::to_string(probe.machine_) + " run " +
           std::to_string(probe.incarnation_) + " route " +
           std::to_string(probe.route_) + " sent at " +
           std::to_string(to_ms(probe.sent_at_)) + " ms: " +
           (probe.service_ ? "taken by " + *probe.service_
                           : std::string("refused"));
}

std::optional<std::string>
config_judge::check_apply_delay(config_probe const& probe) const
{
    auto const oldest = oldest_allowed_version(probe);
    if (oldest == 0 || !is_undisturbed(probe))
    {
        return std::nullopt;
    }
    bool const is_allowed = std::any_of(
        versions_.lower_bound(oldest), versions_.end(),
        [&](auto const& entry) { return allows(entry.second, probe); });
    if (is_allowed)
    {
        return std::nullopt;
    }
    auto const& due = versions_.at(oldest);
    return describe(probe) + "; version " + std::to_string(oldest) +
           " was acknowledged at " +
           std::to_string(to_ms(*due.acknowledged_at_)) + " ms";
}

// Checks the probes of each process in order of their outcomes. A probe shows
// at least the oldest version that permits its outcome; a later probe must not
// be permitted by older versions alone.
std::vector<std::string> config_judge::check_rollbacks() const
{
    struct shown_version
    {
        int number_ = 0;
        time_point shown_at_{};
    };
    auto ordered = probes_;
    std::ranges::sort(ordered, {}, &config_probe::decided_at_);
    std::map<std::pair<int, int>, std::vector<shown_version>> shown;
    std::vector<std::string> result;
    for (auto const& probe : ordered)
    {
        int oldest = 0;
        int newest = 0;
        for (auto const& [number, version] : versions_)
        {
            if (allows(version, probe))
            {
                oldest = oldest == 0 ? number : oldest;
                newest = number;
            }
        }
        auto& shown_versions = shown[{probe.machine_, probe.incarnation_}];
        bool const had_faults =
            had_fault(probe.machine_, probe.sent_at_ - bounds_.recovery_time_,
                      probe.decided_at_);
        auto const max_rollback_time =
            had_faults ? bounds_.max_rollback_time_after_fault_
                       : bounds_.max_rollback_time_;
        for (auto const& recorded : shown_versions)
        {
            if (newest != 0 && newest < recorded.number_ &&
                probe.sent_at_ > recorded.shown_at_ + max_rollback_time)
            {
                result.push_back(describe(probe) + "; version " +
                                 std::to_string(recorded.number_) +
                                 " was in force there at " +
                                 std::to_string(to_ms(recorded.shown_at_)) +
                                 " ms");
                break;
            }
        }
        if (oldest != 0 &&
            (shown_versions.empty() || oldest > shown_versions.back().number_))
        {
            shown_versions.push_back({oldest, probe.decided_at_});
        }
    }
    return result;
}

std::vector<std::string> config_judge::violations() const
{
    auto result = check_rollbacks();
    for (auto const& probe : probes_)
    {
        if (auto const broken = check_apply_delay(probe))
        {
            result.push_back(*broken);
        }
    }
    return result;
}

std::size_t config_judge::judged_probe_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(probes_, [this](config_probe const& probe)
                              { return is_undisturbed(probe); }));
}

} // namespace daisytrail
