// A balancer's directory for forwarded flows: the routes in force, the targets
// of each service, and the latest load report and responsiveness of each
// target.
#pragma once

#include <daisytrail/organisation.hpp>
#include <daisytrail/record.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

// A target and the latest report of its agent.
struct forward_target
{
    target_record record_;
    backend_load load_;
    bool has_report_ = false;
    time_point reported_at_{}; // when load_ was received
    // When the first datagram since the agent's last one was sent to it; empty
    // if none was.
    std::optional<time_point> unanswered_since_;
    time_point report_requested_at_{}; // when a report was last requested
    // Flows that this balancer assigned to the target since reported_at_.
    std::uint32_t placed_since_report_ = 0;
    // When it was first seen to be dead or to have left; empty if it may own
    // flows.
    std::optional<time_point> ended_at_;

    // True if the agent hasn't answered within agent_silence_timeout, so that
    // new flows should go to other targets.
    bool is_silent(time_point now) const;
};

// An agent that doesn't answer within this time is treated as unreachable. It
// covers three report intervals.
inline constexpr std::chrono::milliseconds agent_silence_timeout{350};

// A target that is dead or has left is forgotten after this time, as its record
// is by the membership protocol. No caller relies on a flow of that age. A
// target that was declared dead wrongly becomes known again by its
// announcement.
inline constexpr std::chrono::minutes ended_target_lifetime{10};

class forward_directory
{
public:
    using target_list = std::vector<forward_target*>;

    // Stores the record and returns true, unless the stored record is as new or
    // newer.
    bool apply(target_record const& record);

    // Stores the template and returns true, unless the stored version is
    // newer.
    bool apply(organisation_template const& value, template_version version);

    // Adds a list of targets that existed before this process started. A
    // listed target becomes known when its agent reports or its record is
    // published, whichever is first.
    void expect_targets(std::vector<target_record> const& targets);

    // Listed targets whose addresses are stored and that aren't known yet. Only
    // their agents can tell whether they still exist.
    std::vector<target_record> const& undiscovered_targets() const
    {
        return undiscovered_targets_;
    }

    // True once expect_targets() was called and each target of the list
    // is known.
    bool knows_all_expected() const;

    // Records a view confirmation: this directory contains all targets that the
    // other balancers knew at the time `asked`.
    void confirm_view(time_point asked);

    // When the latest view confirmation was requested; empty if there was none.
    std::optional<time_point> view_confirmed_as_of() const
    {
        return view_confirmed_as_of_;
    }

    // Records a datagram from a target's agent that carries the load. A listed
    // target that isn't known yet becomes known.
    void on_load_report(target_id target, backend_load const& load,
                        time_point now);

    // Records an answer of a target's agent that doesn't carry the load.
    void mark_responsive(target_id target);

    // Marks a target as accepting no flows, since another target answered at
    // its address.
    void on_address_reused(target_id target, time_point now);

    // Records a datagram to a target's agent.
    void on_datagram_sent(forward_target& target, time_point now);

    // Removes the targets that ended ended_target_lifetime ago. Pointers to
    // them become invalid.
    void forget_ended_targets(time_point now);

    forward_target* find(target_id target);

    route_template const* find_route(endpoint const& vip) const;

    // True if a route of the VIP was in force here and a newer template removed
    // it.
    bool was_removed(endpoint const& vip) const
    {
        return removed_vips_.contains(vip);
    }

    // The service's targets in order of their identifiers, without those that
    // left. Dead targets are included, since a target may be declared dead
    // wrongly.
    target_list const& members(service_id service) const;

    // All services that have members and no share of the route. They may hold
    // flows that were opened before the route changed.
    std::vector<service_id> other_services(route_template const& route) const;

    // How long a flow of the service may be idle by any template that was in
    // force here; 0 for a service that no template has named.
    std::chrono::milliseconds flow_idle_limit(service_id service) const;

    // The services of a route in the order of its shares.
    static std::vector<service_id> services_of(route_template const& route);

    std::unordered_map<target_id, std::unique_ptr<forward_target>> const&
    targets() const
    {
        return targets_;
    }

    // Increases whenever a target joins or leaves the members of a service.
    std::uint64_t member_changes() const
    {
        return member_changes_;
    }

    bool has_template() const
    {
        return !versions_.empty();
    }

    // The highest version in force.
    template_version newest_version() const
    {
        return newest_version_;
    }

    std::size_t route_count() const
    {
        return routes_.size();
    }

private:
    void rebuild_members();
    void rebuild_routes();
    bool discover(target_id target);
    void note_removed(endpoint const& vip);
    void note_idle_limits(organisation_template const& value);

    // Removed VIPs that are remembered at most.
    static constexpr std::size_t max_removed_vips = 10'000;

    std::unordered_map<target_id, std::unique_ptr<forward_target>> targets_;
    std::map<service_id, target_list> members_;
    std::uint64_t member_changes_ = 0;
    std::map<std::string, template_version> versions_; // by organisation
    std::map<std::string, std::vector<route_template>> templates_;
    // The routes of all templates in order of their VIPs, each VIP once. They
    // point into templates_. One vector in place of a tree: a version with
    // thousands of routes is built in one pass, while packets wait.
    std::vector<route_template const*> routes_;
    // By service: the longest idle timeout of any template that was in force.
    // An open flow may rely on an earlier one.
    std::unordered_map<service_id, std::chrono::milliseconds> idle_limits_;
    std::set<endpoint> removed_vips_;          // removed, maybe added again
    std::deque<endpoint> removed_vips_by_age_; // oldest first
    template_version newest_version_ = 0;
    bool has_expected_list_ = false; // expect_targets() called
    // Expected targets that aren't known yet.
    std::vector<target_id> missing_targets_;
    // Those of missing_targets_ whose addresses are stored.
    std::vector<target_record> undiscovered_targets_;
    std::optional<time_point> view_confirmed_as_of_;
};

} // namespace daisytrail
