// Placement of new flows. Load pattern: demand swings within seconds, backend
// servers differ in speed, and each balancer sees only its part of the flows.
#include <daisytrail/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisytrail
{

namespace
{

// Uniform number in (0, 1) for a flow and a target.
double uniform(std::uint64_t flow, target_id target)
{
    constexpr std::uint64_t first_factor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t second_factor = 0x94d049bb133111ebULL;
    constexpr double two_to_minus_53 = 1.0 / 9'007'199'254'740'992.0;
    std::uint64_t x = flow ^ (target * first_factor);
    x = (x ^ (x >> 30U)) * first_factor;
    x = (x ^ (x >> 27U)) * second_factor;
    x ^= x >> 31U;
    return (static_cast<double>(x >> 11U) + 0.5) * two_to_minus_53;
}

bool is_excluded(forward_target const& target, placement_request const& request)
{
    return std::ranges::find(request.excluded_, target.record_.target_) !=
           request.excluded_.end();
}

bool can_take(forward_target const& target, placement_request const& request)
{
    return takes_new_work(target.record_.state_) &&
           !target.is_silent(request.now_) &&
           (!target.has_report_ || target.load_.accepts_) &&
           !is_excluded(target, request);
}

double cost(forward_target const& target, placement_request const& request,
            placement_settings const& settings)
{
    bool const is_near = target.record_.failure_domain_ == request.own_domain_;
    return expected_load(target) + (is_near ? 0 : settings.cross_domain_load_);
}

} // namespace

double expected_load(forward_target const& target)
{
    auto const slots = std::max(1U, target.record_.slots_);
    auto const& load = target.load_;
    double const now = load.under_way_;
    double const busy = (now + load.mean_under_way_) / 2;
    double const speed = std::max<double>(load.share_, 1) / 100;
    return (busy + target.placed_since_ + 1) / (slots * speed);
}

service_id choose_service(route_template const& route, std::uint64_t flow)
{
    std::uint64_t total = 0;
    for (auto const& share : route.shares_)
    {
        total += share.weight_;
    }
    if (total == 0)
    {
        return route.shares_.front().service_;
    }
    constexpr target_id share_seed = 0x73686172;
    auto const point = uniform(flow, share_seed) * static_cast<double>(total);
    double passed = 0;
    for (auto const& share : route.shares_)
    {
        passed += share.weight_;
        if (point < passed)
        {
            return share.service_;
        }
    }
    return route.shares_.back().service_;
}

std::vector<forward_target*>
rank_targets(forward_directory::target_list const& members,
             placement_request const& request,
             placement_settings const& settings)
{
    std::vector<std::pair<double, forward_target*>> scored;
    scored.reserve(members.size());
    for (auto* const member : members)
    {
        bool const is_near =
            member->record_.failure_domain_ == request.own_domain_;
        double const weight = is_near ? settings.own_domain_weight_ : 1;
        auto const u = uniform(request.flow_, member->record_.target_);
        scored.emplace_back(-std::log(u) / weight, member);
    }
    std::ranges::sort(scored);
    std::vector<forward_target*> result;
    result.reserve(scored.size());
    for (auto const& [score, member] : scored)
    {
        result.push_back(member);
    }
    return result;
}

forward_target* place_flow(forward_directory::target_list const& members,
                           placement_request const& request,
                           placement_settings const& settings)
{
    forward_target* best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    std::size_t weighed = 0;
    for (auto* const member : rank_targets(members, request, settings))
    {
        if (!can_take(*member, request))
        {
            continue;
        }
        auto const value = cost(*member, request, settings);
        if (value < lowest)
        {
            lowest = value;
            best = member;
        }
        if (++weighed >= settings.choices_)
        {
            break;
        }
    }
    return best;
}

} // namespace daisytrail
