// Placement of new flows.
//
// Load pattern: demand swings within seconds, backend servers differ in speed,
// and each balancer sees only its share of the flows.
#include <daisytrail/placement.hpp>

#include <algorithm>
#include <limits>

namespace daisytrail
{

namespace
{

constexpr double micros_per_ms = 1'000;

// Service time that is assumed until a target has reported one.
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

// Returns a uniformly distributed number in (0, 1) for a flow and a seed.
double uniform(std::uint64_t flow, std::uint64_t seed)
{
    constexpr double two_to_minus_53 = 1.0 / 9'007'199'254'740'992.0;
    return (static_cast<double>(mix(flow, seed) >> 11U) + 0.5) *
           two_to_minus_53;
}

bool is_in_own_domain(forward_target const& target,
                      placement_request const& request)
{
    return target.record_.failure_domain_ == request.own_domain_;
}

bool can_accept(forward_target const& target, placement_request const& request)
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

// Cost of a failed request to its caller, which has to retry.
constexpr double failure_penalty_ms = 500;

// Bounds of a target's service time relative to the service's mean. Without the
// lower bound, a backend server whose requests fail at once would look fast and
// attract all new flows.
constexpr double min_relative_time = 0.4;
constexpr double max_relative_time = 6;

// Averages over the members of a service.
struct service_averages
{
    double service_ms_ = default_service_ms; // mean service time
    // Request rate of an open flow, in requests per millisecond.
    double requests_per_flow_ms_ = 0;
};

service_averages averages_of(forward_directory::target_list const& members)
{
    double total_ms = 0;
    double flow_ms = 0; // sum of open flows times service time
    double requests_in_flight = 0;
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
        requests_in_flight += load.mean_in_flight_;
    }
    service_averages result;
    if (count > 0)
    {
        result.service_ms_ = total_ms / static_cast<double>(count);
    }
    if (flow_ms > 0)
    {
        result.requests_per_flow_ms_ = requests_in_flight / flow_ms;
    }
    return result;
}

double service_ms(forward_target const& target,
                  service_averages const& averages)
{
    auto const& load = target.load_;
    auto const measured_ms = load.service_micros_ > 0
                                 ? load.service_micros_ / micros_per_ms
                                 : averages.service_ms_;
    auto const bounded_ms =
        std::clamp(measured_ms, min_relative_time * averages.service_ms_,
                   max_relative_time * averages.service_ms_);
    return bounded_ms * 100 / std::max<double>(load.speed_percent_, 1);
}

// Expected response time of a short flow: its one request queues behind the
// requests in progress.
double short_flow_ms(forward_target const& target,
                     service_averages const& averages)
{
    double const requests_in_flight =
        target.load_.in_flight_ + target.placed_since_report_ + 1;
    return service_ms(target, averages) *
           std::max(1.0, requests_in_flight / slots_of(target));
}

// Cost of a long flow. It carries requests for as long as it is open, so that
// the cost depends on the load of all open flows: the sum of the load that
// their number predicts and of the measured mean load.
double long_flow_ms(forward_target const& target,
                    service_averages const& averages)
{
    auto const own_ms = service_ms(target, averages);
    double const flows =
        target.load_.open_flows_ + target.placed_since_report_ + 1;
    auto const expected_requests =
        flows * averages.requests_per_flow_ms_ * own_ms;
    auto const concurrent_requests =
        expected_requests + target.load_.mean_in_flight_;
    // Spreads flows evenly before any load is known.
    constexpr double ms_per_flow = 0.1;
    return own_ms * (1 + concurrent_requests / slots_of(target)) +
           ms_per_flow * flows;
}

double cost_ms(forward_target const& target, placement_request const& request,
               placement_settings const& settings,
               service_averages const& averages)
{
    auto const load_cost_ms = request.is_long_
                                  ? long_flow_ms(target, averages)
                                  : short_flow_ms(target, averages);
    auto const transfer_cost_ms =
        is_in_own_domain(target, request)
            ? 0
            : settings.cross_domain_round_trip_ms_ +
                  settings.cross_domain_ms_per_kilobyte_ * request.kilobytes_;
    return load_cost_ms + transfer_cost_ms +
           failure_penalty_ms * target.load_.failure_ratio_;
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
    double cumulative_weight = 0;
    for (auto const& share : route.shares_)
    {
        cumulative_weight += share.weight_;
        if (point < cumulative_weight)
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
        bool is_in_other_domain_;
        std::uint64_t score_;
        forward_target* target_;
    };
    std::vector<scored_target> scored;
    scored.reserve(members.size());
    for (auto* const member : members)
    {
        scored.push_back({!is_in_own_domain(*member, request),
                          mix(request.flow_hash_, member->record_.target_),
                          member});
    }
    std::ranges::sort(
        scored, {},
        [](scored_target const& value)
        { return std::pair(value.is_in_other_domain_, value.score_); });
    auto const first_in_other_domain =
        std::ranges::find(scored, true, &scored_target::is_in_other_domain_);
    auto const own_domain_count = first_in_other_domain - scored.begin();
    auto const own_domain_kept = std::min<std::ptrdiff_t>(
        own_domain_count,
        static_cast<std::ptrdiff_t>(settings.own_domain_candidates_));
    // The best targets of other domains precede the remaining targets of the
    // own domain.
    auto const other_domain_count = std::min<std::ptrdiff_t>(
        scored.end() - first_in_other_domain,
        static_cast<std::ptrdiff_t>(settings.other_domain_candidates_));
    std::rotate(scored.begin() + own_domain_kept, first_in_other_domain,
                first_in_other_domain + other_domain_count);
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
    auto const averages = averages_of(members);
    forward_target* best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    std::size_t evaluated = 0;
    for (auto* const member : rank_targets(members, request, settings))
    {
        if (!can_accept(*member, request))
        {
            continue;
        }
        auto const value = cost_ms(*member, request, settings, averages);
        if (value < lowest)
        {
            lowest = value;
            best = member;
        }
        if (++evaluated >=
            settings.own_domain_candidates_ + settings.other_domain_candidates_)
        {
            break;
        }
    }
    return best;
}

} // namespace daisytrail
