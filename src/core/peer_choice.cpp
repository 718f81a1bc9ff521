// Random sampling of peers and estimation of their cost.
#include <daisytrail/peer_choice.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <span>

namespace daisytrail
{

namespace
{

constexpr std::size_t sample_count = 4; // random draws per request
// The weight of a report decays exponentially with this time constant.
constexpr double report_time_constant_s = 0.5;
// The share of new work of a new peer rises linearly over ramp_duration, but is
// at least min_ramp_share.
constexpr std::chrono::seconds ramp_duration{10};
constexpr double min_ramp_share = 0.1;
constexpr std::chrono::seconds avoid_duration{2}; // after a failure
constexpr double average_gain = 0.1;              // weight of a new report
// Costs are in seconds of expected wait. An offer sent since the last report
// costs offer_cost_s divided by the peer's slots; full utilisation costs
// utilisation_cost_s.
constexpr double offer_cost_s = 0.02;
constexpr double utilisation_cost_s = 0.1;

// Probability of offering a request to peers, per unit of excess utilisation.
constexpr double offload_gain = 10.0;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// One step of splitmix64; derives independent random bits from a value.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

// Maps random bits to a uniformly distributed number in [0, 1).
double unit(std::uint64_t random)
{
    return static_cast<double>(random >> 11U) * 0x1.0p-53;
}

} // namespace

void peer_choice::add(target_id peer_id, std::uint32_t slots, time_point now)
{
    auto const [found, is_new] = index_.emplace(peer_id, peers_.size());
    if (is_new)
    {
        peer added;
        added.id_ = peer_id;
        added.added_at_ = now;
        peers_.push_back(added);
    }
    peers_[found->second].slots_ = std::max(slots, 1U);
}

void peer_choice::remove(target_id peer_id)
{
    auto const found = index_.find(peer_id);
    if (found == index_.end())
    {
        return;
    }
    auto const position = found->second;
    index_.erase(found);
    if (position + 1 != peers_.size())
    {
        peers_[position] = peers_.back();
        index_[peers_[position].id_] = position;
    }
    peers_.pop_back();
}

double peer_choice::cost(peer const& candidate, time_point now) const
{
    auto const age = seconds(now - candidate.last_report_at_);
    auto const report_weight =
        std::exp(-std::max(age, 0.0) / report_time_constant_s);
    auto const& report = candidate.report_;
    auto const expected_wait = seconds(report.wait_) * report_weight +
                               seconds(average_.wait_) * (1.0 - report_weight);
    auto const utilisation_cost =
        (report.utilisation_ * report_weight +
         average_.utilisation_ * (1.0 - report_weight)) *
        utilisation_cost_s;
    auto const offer_cost = candidate.offers_since_report_ * offer_cost_s /
                            static_cast<double>(candidate.slots_);
    return expected_wait + utilisation_cost + offer_cost;
}

bool peer_choice::is_skipped(peer const& candidate, std::uint64_t random,
                             time_point now) const
{
    if (now < candidate.avoid_until_)
    {
        return true;
    }
    auto const age = now - candidate.added_at_;
    auto const share =
        std::max(seconds(age) / seconds(ramp_duration), min_ramp_share);
    return unit(random) > share;
}

peer_offer peer_choice::choose(std::uint64_t random, time_point now) const
{
    peer_offer offer;
    std::array<double, offers_per_request> costs{};
    costs.fill(std::numeric_limits<double>::infinity());
    for (std::size_t i = 0; i < sample_count && !peers_.empty(); ++i)
    {
        random = mix(random);
        auto const& candidate = peers_[random % peers_.size()];
        auto const chosen = std::span(offer.peers_).first(offer.count_);
        bool const repeated = std::find(chosen.begin(), chosen.end(),
                                        candidate.id_) != chosen.end();
        if (repeated || is_skipped(candidate, mix(random + 1), now))
        {
            continue;
        }
        auto chosen_id = candidate.id_;
        auto chosen_cost = cost(candidate, now);
        for (std::size_t j = 0; j < offers_per_request; ++j)
        {
            if (j == offer.count_)
            {
                ++offer.count_;
                offer.peers_[j] = chosen_id;
                costs[j] = chosen_cost;
                break;
            }
            if (chosen_cost < costs[j])
            {
                std::swap(chosen_id, offer.peers_[j]);
                std::swap(chosen_cost, costs[j]);
            }
        }
    }
    return offer;
}

void peer_choice::on_offer_sent(target_id peer_id)
{
    auto const found = index_.find(peer_id);
    if (found != index_.end())
    {
        ++peers_[found->second].offers_since_report_;
    }
}

void peer_choice::on_reply(target_id peer_id, load_report const& report,
                           time_point now)
{
    auto const found = index_.find(peer_id);
    if (found == index_.end())
    {
        return;
    }
    auto& updated = peers_[found->second];
    updated.report_ = report;
    updated.last_report_at_ = now;
    updated.offers_since_report_ = 0;
    auto const gain = replies_++ == 0 ? 1.0 : average_gain;
    auto const update_average = [gain](double& value, double sample)
    {
        value += gain * (sample - value);
    };
    update_average(average_.utilisation_, report.utilisation_);
    update_average(average_.failure_rate_, report.failure_rate_);
    update_average(average_.slowdown_, report.slowdown_);
    auto wait = static_cast<double>(average_.wait_.count());
    update_average(wait, static_cast<double>(report.wait_.count()));
    average_.wait_ = duration(static_cast<std::int64_t>(wait));
}

void peer_choice::on_failure(target_id peer_id, time_point now)
{
    auto const found = index_.find(peer_id);
    if (found != index_.end())
    {
        peers_[found->second].avoid_until_ = now + avoid_duration;
        peers_[found->second].offers_since_report_ = 0;
    }
}

bool peer_choice::should_offer_to_peers(double own_utilisation,
                                        std::uint64_t random) const
{
    if (!has_average() || peers_.empty())
    {
        return false;
    }
    auto const excess = own_utilisation - average_.utilisation_;
    return unit(mix(random)) < excess * offload_gain;
}

} // namespace daisytrail
