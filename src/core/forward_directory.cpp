// Directory of the routes and targets of forwarded flows.
#include <daisytrail/forward_directory.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

bool forward_target::is_silent(time_point now) const
{
    return unanswered_since_ &&
           now > *unanswered_since_ + agent_silence_timeout;
}

bool forward_directory::apply(target_record const& record)
{
    auto& stored = targets_[record.target_];
    bool const was_member =
        stored != nullptr && stored->record_.state_ != member_state::left;
    bool const is_member = record.state_ != member_state::left;
    if (!stored)
    {
        stored = std::make_unique<forward_target>();
    }
    else if (!supersedes(record, stored->record_))
    {
        return false;
    }
    bool const is_new_process =
        stored->record_.version_.incarnation_ != record.version_.incarnation_;
    if (is_new_process)
    {
        stored->has_report_ = false;
        stored->unanswered_since_.reset();
    }
    stored->record_ = record;
    member_changes_ += was_member != is_member ? 1 : 0;
    std::erase(missing_targets_, record.target_);
    std::erase_if(undiscovered_targets_, [id = record.target_](auto const& each)
                  { return each.target_ == id; });
    rebuild_members();
    return true;
}

void forward_directory::expect_targets(
    std::vector<target_record> const& targets)
{
    has_expected_list_ = true;
    for (auto const& listed : targets)
    {
        bool const is_missing =
            std::ranges::find(missing_targets_, listed.target_) !=
            missing_targets_.end();
        if (is_missing || targets_.contains(listed.target_))
        {
            continue;
        }
        missing_targets_.push_back(listed.target_);
        if (!listed.name_.empty())
        {
            undiscovered_targets_.push_back(listed);
        }
    }
}

// Makes a listed target known by its stored record. Returns false if it isn't
// listed with its address.
bool forward_directory::discover(target_id target)
{
    auto const found = std::ranges::find(undiscovered_targets_, target,
                                         &target_record::target_);
    return found != undiscovered_targets_.end() && apply(target_record{*found});
}

bool forward_directory::knows_all_expected() const
{
    return has_expected_list_ && missing_targets_.empty();
}

void forward_directory::confirm_view(time_point asked)
{
    view_confirmed_as_of_ =
        std::max(asked, view_confirmed_as_of_.value_or(asked));
}

void forward_directory::rebuild_members()
{
    members_.clear();
    for (auto const& [id, target] : targets_)
    {
        if (target->record_.state_ != member_state::left)
        {
            members_[target->record_.service_].push_back(target.get());
        }
    }
    for (auto& [service, members] : members_)
    {
        std::ranges::sort(members, {},
                          [](forward_target const* member)
                          { return member->record_.target_; });
    }
}

bool forward_directory::apply(organisation_template const& value,
                              template_version version)
{
    auto& stored = versions_[value.name_];
    if (version < stored)
    {
        return false;
    }
    stored = version;
    newest_version_ = std::max(newest_version_, version);
    auto const previous_routes =
        std::exchange(templates_[value.name_], value.routes_);
    rebuild_routes();
    note_idle_limits(value);
    for (auto const& route : previous_routes)
    {
        note_removed(route.vip_);
    }
    return true;
}

// Of several routes with one VIP, which only different organisations can have,
// the first one holds.
void forward_directory::rebuild_routes()
{
    constexpr auto vip_of = [](route_template const* route) -> endpoint const&
    {
        return route->vip_;
    };
    routes_.clear();
    for (auto const& [organisation, routes] : templates_)
    {
        for (auto const& route : routes)
        {
            routes_.push_back(&route);
        }
    }
    std::ranges::stable_sort(routes_, {}, vip_of);
    // Not std::ranges::unique: Clang 14 rejects its result.
    auto const repeated = std::unique(routes_.begin(), routes_.end(),
                                      [](auto const* left, auto const* right)
                                      { return left->vip_ == right->vip_; });
    routes_.erase(repeated, routes_.end());
}

void forward_directory::note_idle_limits(organisation_template const& value)
{
    for (auto const& service : value.services_)
    {
        auto& limit = idle_limits_[service.id_];
        limit = std::max(limit, service.limits_.idle_timeout_);
    }
}

std::chrono::milliseconds
forward_directory::flow_idle_limit(service_id service) const
{
    auto const found = idle_limits_.find(service);
    return found == idle_limits_.end() ? std::chrono::milliseconds(0)
                                       : found->second;
}

// Remembers a VIP without a route. A VIP that gets a route again stays
// remembered, which does no harm: find_route() is consulted first.
void forward_directory::note_removed(endpoint const& vip)
{
    bool const is_removed = find_route(vip) == nullptr;
    if (!is_removed || !removed_vips_.insert(vip).second)
    {
        return;
    }
    removed_vips_by_age_.push_back(vip);
    if (removed_vips_by_age_.size() > max_removed_vips)
    {
        removed_vips_.erase(removed_vips_by_age_.front());
        removed_vips_by_age_.pop_front();
    }
}

void forward_directory::on_load_report(target_id target,
                                       backend_load const& load, time_point now)
{
    bool const is_known = targets_.contains(target) || discover(target);
    if (!is_known)
    {
        return;
    }
    auto* const stored = find(target);
    stored->unanswered_since_.reset();
    stored->load_ = load;
    stored->has_report_ = true;
    stored->reported_at_ = now;
    stored->placed_since_report_ = 0;
}

void forward_directory::mark_responsive(target_id target)
{
    if (auto* const stored = find(target); stored != nullptr)
    {
        stored->unanswered_since_.reset();
    }
}

void forward_directory::on_address_reused(target_id target, time_point now)
{
    if (!targets_.contains(target))
    {
        return;
    }
    backend_load refuses;
    refuses.accepts_ = false;
    on_load_report(target, refuses, now);
}

void forward_directory::on_datagram_sent(forward_target& target, time_point now)
{
    if (!target.unanswered_since_)
    {
        target.unanswered_since_ = now;
    }
}

void forward_directory::forget_ended_targets(time_point now)
{
    auto const is_forgotten = [now](auto const& entry)
    {
        auto& target = *entry.second;
        if (may_own_flows(target.record_.state_))
        {
            target.ended_at_.reset();
            return false;
        }
        target.ended_at_ = target.ended_at_.value_or(now);
        return now > *target.ended_at_ + ended_target_lifetime;
    };
    if (std::erase_if(targets_, is_forgotten) > 0)
    {
        ++member_changes_;
        rebuild_members();
    }
}

forward_target* forward_directory::find(target_id target)
{
    auto const found = targets_.find(target);
    return found == targets_.end() ? nullptr : found->second.get();
}

route_template const* forward_directory::find_route(endpoint const& vip) const
{
    auto const found = std::ranges::lower_bound(
        routes_, vip, {}, [](auto const* route) { return route->vip_; });
    return found == routes_.end() || (*found)->vip_ != vip ? nullptr : *found;
}

forward_directory::target_list const&
forward_directory::members(service_id service) const
{
    static target_list const none;
    auto const found = members_.find(service);
    return found == members_.end() ? none : found->second;
}

std::vector<service_id>
forward_directory::services_of(route_template const& route)
{
    std::vector<service_id> result;
    for (auto const& share : route.shares_)
    {
        result.push_back(share.service_);
    }
    return result;
}

std::vector<service_id>
forward_directory::other_services(route_template const& route) const
{
    std::vector<service_id> result;
    for (auto const& [service, members] : members_)
    {
        if (std::ranges::find(route.shares_, service, &route_share::service_) ==
            route.shares_.end())
        {
            result.push_back(service);
        }
    }
    return result;
}

} // namespace daisytrail
