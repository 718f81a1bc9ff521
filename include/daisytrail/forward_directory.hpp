// What a balancer knows for forwarded flows: the routes in force, the targets
// of each service, and how each target has answered lately.
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

// A target and what its agent last told.
struct forward_target
{
    target_record record_;
    backend_load load_;
    bool has_report_ = false;
    time_point reported_at_{}; // when load_ came
    // First datagram sent since the agent was last heard; empty if none.
    std::optional<time_point> unanswered_since_;
    time_point report_requested_at_{}; // last question sent
    std::uint32_t placed_since_report_ =
        0; // flows placed here since load_ came

    // True if the agent hasn't answered for so long that new flows should go
    // elsewhere.
    bool is_silent(time_point now) const;
};

// Silence after which an agent is taken for unreachable: three reports.
inline constexpr std::chrono::milliseconds agent_silence_timeout{350};

class forward_directory
{
public:
    using target_list = std::vector<forward_target*>;

    // Takes a record unless a newer one is held; returns false if it does.
    bool apply(target_record const& record);

    // Takes a template unless a newer revision is held.
    bool apply(organisation_template const& value, revision at);

    // These targets existed before this process started.
    void set_expected_targets(std::vector<target_id> const& targets);

    // True once set_expected_targets() was called and each of its targets is
    // known.
    bool knows_all_expected() const;

    // A comparison of the targets with other balancers is complete: all that
    // they knew when it was asked for is known here.
    void confirm_view(time_point asked);

    // When the latest complete comparison was asked for; empty if never.
    std::optional<time_point> view_confirmed_at() const
    {
        return view_confirmed_at_;
    }

    // Notes a datagram from a target's agent.
    void on_load_report(target_id target, backend_load const& load,
                        time_point now);

    // Notes an answer of a target's agent that tells nothing of its load.
    void mark_responsive(target_id target);

    // Another target answers at this one's address.
    void on_address_reused(target_id target, time_point now);

    // Notes a datagram to a target's agent.
    void on_datagram_sent(forward_target& target, time_point now);

    forward_target* find(target_id target);

    route_template const* find_route(endpoint const& vip) const;

    // True if a route of the VIP was in force here and a newer template has
    // removed it.
    bool was_removed(endpoint const& vip) const
    {
        return removed_vips_.contains(vip);
    }

    // Targets of the service but those that left, in order of their
    // identifiers. One that was declared dead is among them, since it may have
    // been wrongly.
    target_list const& members(service_id service) const;

    // Services other than `route`'s own, for flows that were opened before a
    // route changed.
    std::vector<service_id> other_services(route_template const& route) const;

    // Services in the order of a route's shares.
    static std::vector<service_id> services_of(route_template const& route);

    std::unordered_map<target_id, std::unique_ptr<forward_target>> const&
    targets() const
    {
        return targets_;
    }

    // Changes whenever a target joins or leaves the members of a service.
    std::uint64_t member_changes() const
    {
        return member_changes_;
    }

    bool has_template() const
    {
        return !revisions_.empty();
    }

    // The highest revision in force.
    revision newest_revision() const
    {
        return newest_revision_;
    }

    std::size_t route_count() const
    {
        return routes_.size();
    }

private:
    void rebuild_members();
    void note_removed(endpoint const& vip);

    // Removed routes that are remembered.
    static constexpr std::size_t max_removed_vips = 10'000;

    std::unordered_map<target_id, std::unique_ptr<forward_target>> targets_;
    std::map<service_id, target_list> members_;
    std::uint64_t member_changes_ = 0;
    std::map<std::string, revision> revisions_; // by organisation
    std::map<std::string, std::vector<route_template>> templates_;
    // Points into templates_.
    std::map<endpoint, route_template const*> routes_;
    std::set<endpoint> removed_vips_;          // VIPs without a route by now
    std::deque<endpoint> removed_vips_by_age_; // the same, the oldest first
    revision newest_revision_ = 0;
    bool has_expected_list_ = false; // set_expected_targets() was called
    std::vector<target_id> missing_targets_; // that aren't known yet
    std::optional<time_point> view_confirmed_at_;
};

} // namespace daisytrail
