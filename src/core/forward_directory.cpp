// Routes and targets of forwarded flows.
#include <daisytrail/forward_directory.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

bool forward_target::is_silent(time_point now) const
{
    return unanswered_since_ && now > *unanswered_since_ + agent_silence;
}

bool forward_directory::apply(target_record const& record)
{
    auto& held = targets_[record.target_];
    bool const was_member =
        held != nullptr && held->record_.state_ != member_state::left;
    bool const is_member = record.state_ != member_state::left;
    if (!held)
    {
        held = std::make_unique<forward_target>();
    }
    else if (!supersedes(record, held->record_))
    {
        return false;
    }
    bool const is_new_process =
        held->record_.version_.incarnation_ != record.version_.incarnation_;
    if (is_new_process)
    {
        held->has_report_ = false;
        held->unanswered_since_.reset();
    }
    held->record_ = record;
    member_changes_ += was_member != is_member ? 1 : 0;
    std::erase(expected_, record.target_);
    rebuild_members();
    return true;
}

void forward_directory::expect(std::vector<target_id> const& targets)
{
    has_list_ = true;
    expected_ = targets;
    std::erase_if(expected_,
                  [this](target_id id) { return targets_.contains(id); });
}

bool forward_directory::has_met_all() const
{
    return has_list_ && expected_.empty();
}

void forward_directory::confirm_view(time_point asked)
{
    view_confirmed_ = std::max(asked, view_confirmed_.value_or(asked));
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

bool forward_directory::apply(organisation_template const& value, revision at)
{
    auto& held = revisions_[value.name_];
    if (at < held)
    {
        return false;
    }
    held = at;
    newest_ = std::max(newest_, at);
    auto const former = std::exchange(templates_[value.name_], value.routes_);
    routes_.clear();
    for (auto const& [organisation, routes] : templates_)
    {
        for (auto const& route : routes)
        {
            routes_.emplace(route.vip_, &route);
        }
    }
    for (auto const& route : former)
    {
        note_removed(route.vip_);
    }
    return true;
}

// One that has come back is remembered too, but its route is found first.
void forward_directory::note_removed(endpoint const& vip)
{
    bool const is_removed = !routes_.contains(vip);
    if (!is_removed || !removed_.insert(vip).second)
    {
        return;
    }
    removed_in_turn_.push_back(vip);
    if (removed_in_turn_.size() > max_removed)
    {
        removed_.erase(removed_in_turn_.front());
        removed_in_turn_.pop_front();
    }
}

void forward_directory::heard(target_id target, backend_load const& load,
                              time_point now)
{
    auto* const held = find(target);
    if (held == nullptr)
    {
        return;
    }
    held->unanswered_since_.reset();
    held->load_ = load;
    held->has_report_ = true;
    held->reported_ = now;
    held->placed_since_ = 0;
}

void forward_directory::answered(target_id target)
{
    if (auto* const held = find(target); held != nullptr)
    {
        held->unanswered_since_.reset();
    }
}

void forward_directory::displaced(target_id target, time_point now)
{
    backend_load refuses;
    refuses.accepts_ = false;
    heard(target, refuses, now);
}

void forward_directory::sent(forward_target& target, time_point now)
{
    if (!target.unanswered_since_)
    {
        target.unanswered_since_ = now;
    }
}

forward_target* forward_directory::find(target_id target)
{
    auto const found = targets_.find(target);
    return found == targets_.end() ? nullptr : found->second.get();
}

route_template const* forward_directory::find_route(endpoint const& vip) const
{
    auto const found = routes_.find(vip);
    return found == routes_.end() ? nullptr : found->second;
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
