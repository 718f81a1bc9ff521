// Placement of new flows. Load pattern: demand swings within seconds, backend
// servers differ in speed, and each balancer sees only its part of the flows.
#include <daisytrail/placement.hpp>

#include <algorithm>
#include <limits>

namespace daisytrail
{

namespace
{

constexpr double micros_per_ms = 1'000;

// Time to answer that is assumed before any target has told one.
constexpr double default_service_ms = 30;

std::uint64_t mix(std::uint64_t flow, target_id target)
{
    constexpr std::uint64_t first_factor = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t second_factor = 0x94d049bb133111ebULL;
    std::uint64_t x = flow ^ (target * first_factor);
    x = (x ^ (x >> 30U)) * first_factor;
    x = (x ^ (x >> 27U)) * second_factor;
    return x ^ (x >> 31U);
}

// Uniform number in (0, 1) for a flow and a seed.
double uniform(std::uint64_t flow, std::uint64_t seed)
{
    constexpr double two_to_minus_53 = 1.0 / 9'007'199'254'740'992.0;
    return (static_cast<double>(mix(flow, seed) >> 11U) + 0.5) *
           two_to_minus_53;
}

bool is_near(forward_target const& target, placement_request const& request)
{
    return target.record_.failure_domain_ == request.own_domain_;
}

bool can_take(forward_target const& target, placement_request const& request)
{
    bool const is_excluded =
        std::ranges::find(request.excluded_, target.record_.target_) !=
        request.excluded_.end();
    return takes_new_work(target.record_.state_) &&
           !target.is_silent(request.now_) &&
           (!target.has_report_ || target.load_.accepts_) && !is_excluded;
}

double slots_of(forward_target const& target)
{
    return std::max(1U, target.record_.slots_);
}

// Time that a failed request costs its caller, who has to try again.
constexpr double failure_ms = 500;

// Bounds of a target's time to answer relative to its siblings'. A backend
// server that fails at once seems fast, and would draw all new flows.
constexpr double least_relative_time = 0.4;
constexpr double most_relative_time = 6;

// What the members of a service have in common.
struct service_figures
{
    double service_ms_ = default_service_ms; // mean time to answer
    // Requests that one open flow brings a millisecond.
    double requests_per_flow_ms_ = 0;
};

service_figures figures_of(forward_directory::target_list const& members)
{
    double total_ms = 0;
    double flow_ms = 0; // open flows by time to answer
    double under_way = 0;
    std::size_t count = 0;
    for (auto const* member : members)
    {
        auto const& load = member->load_;
        if (!member->has_report_ || load.service_micros_ == 0)
        {
            continue;
        }
        auto const service_ms = load.service_micros_ / micros_per_ms;
        ++count;
        total_ms += service_ms;
        flow_ms += load.open_flows_ * service_ms;
        under_way += load.mean_in_flight_;
    }
    service_figures result;
    if (count > 0)
    {
        result.service_ms_ = total_ms / static_cast<double>(count);
    }
    if (flow_ms > 0)
    {
        result.requests_per_flow_ms_ = under_way / flow_ms;
    }
    return result;
}

double service_ms(forward_target const& target, service_figures const& figures)
{
    auto const& load = target.load_;
    auto const own = load.service_micros_ > 0
                         ? load.service_micros_ / micros_per_ms
                         : figures.service_ms_;
    auto const plausible =
        std::clamp(own, least_relative_time * figures.service_ms_,
                   most_relative_time * figures.service_ms_);
    return plausible * 100 / std::max<double>(load.speed_percent_, 1);
}

// A short flow brings one request now: it waits for those under way.
double short_flow_ms(forward_target const& target,
                     service_figures const& figures)
{
    double const under_way = target.load_.in_flight_ + target.placed_since_ + 1;
    return service_ms(target, figures) *
           std::max(1.0, under_way / slots_of(target));
}

// A long flow brings requests for as long as it is open: what counts is the
// load that all open flows bring, half of it as measured.
double long_flow_ms(forward_target const& target,
                    service_figures const& figures)
{
    auto const own_ms = service_ms(target, figures);
    double const flows = target.load_.open_flows_ + target.placed_since_ + 1;
    auto const expected = flows * figures.requests_per_flow_ms_ * own_ms;
    auto const busy = expected + target.load_.mean_in_flight_;
    // Before any load is known, flows are spread evenly.
    constexpr double ms_per_flow = 0.1;
    return own_ms * (1 + busy / slots_of(target)) + ms_per_flow * flows;
}

double cost_ms(forward_target const& target, placement_request const& request,
               placement_settings const& settings,
               service_figures const& figures)
{
    auto const here = request.is_long_ ? long_flow_ms(target, figures)
                                       : short_flow_ms(target, figures);
    auto const way =
        is_near(target, request)
            ? 0
            : settings.cross_domain_ms_ +
                  settings.cross_domain_ms_per_kilobyte_ * request.kilobytes_;
    return here + way + failure_ms * target.load_.failure_ratio_;
}

} // namespace

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
    constexpr std::uint64_t share_seed = 0x73686172;
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
    struct scored_target
    {
        bool is_far_;
        std::uint64_t score_;
        forward_target* target_;
    };
    std::vector<scored_target> scored;
    scored.reserve(members.size());
    for (auto* const member : members)
    {
        scored.push_back({!is_near(*member, request),
                          mix(request.flow_, member->record_.target_), member});
    }
    std::ranges::sort(scored, {},
                      [](scored_target const& value)
                      { return std::pair(value.is_far_, value.score_); });
    auto const first_far =
        std::ranges::find(scored, true, &scored_target::is_far_);
    auto const near_count = first_far - scored.begin();
    auto const rest = std::min<std::ptrdiff_t>(
        near_count, static_cast<std::ptrdiff_t>(settings.own_domain_choices_));
    // The best of other domains come before the rest of the own one.
    auto const far_choices = std::min<std::ptrdiff_t>(
        scored.end() - first_far,
        static_cast<std::ptrdiff_t>(settings.other_domain_choices_));
    std::rotate(scored.begin() + rest, first_far, first_far + far_choices);
    std::vector<forward_target*> result;
    result.reserve(scored.size());
    for (auto const& value : scored)
    {
        result.push_back(value.target_);
    }
    return result;
}

forward_target* place_flow(forward_directory::target_list const& members,
                           placement_request const& request,
                           placement_settings const& settings)
{
    auto const figures = figures_of(members);
    forward_target* best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    std::size_t weighed = 0;
    for (auto* const member : rank_targets(members, request, settings))
    {
        if (!can_take(*member, request))
        {
            continue;
        }
        auto const value = cost_ms(*member, request, settings, figures);
        if (value < lowest)
        {
            lowest = value;
            best = member;
        }
        if (++weighed >=
            settings.own_domain_choices_ + settings.other_domain_choices_)
        {
            break;
        }
    }
    return best;
}

} // namespace daisytrail
