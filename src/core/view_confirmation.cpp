// Rounds of questions on the targets that other balancers know.
#include <daisytrail/view_confirmation.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <string>
#include <utility>
#include <vector>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds round_interval{100};
constexpr milliseconds first_patience{200}; // with peers; then doubled
constexpr milliseconds most_patience{1'000};
constexpr milliseconds most_reask_wait{400}; // after answers that differ
constexpr milliseconds round_limit{4'000};   // then others are asked afresh
constexpr milliseconds unwanted_time{2'000};
constexpr milliseconds report_time{1'000};
constexpr std::size_t least_answers = 2;

bool is_live_balancer(member_table const& table, std::uint64_t id)
{
    return std::ranges::binary_search(table.balancers(), id);
}

std::string to_text(duration value)
{
    auto const ms = std::chrono::duration_cast<milliseconds>(value);
    return std::to_string(ms.count()) + " ms";
}

} // namespace

bool is_sum_of(std::uint64_t value, std::span<std::uint64_t const> vectors)
{
    std::array<std::uint64_t, 64> basis{}; // by the highest bit
    auto const reduce = [&basis](std::uint64_t left)
    {
        while (left != 0)
        {
            auto const top = static_cast<std::size_t>(std::bit_width(left)) - 1;
            if (basis[top] == 0)
            {
                break;
            }
            left ^= basis[top];
        }
        return left;
    };
    for (auto const vector : vectors)
    {
        auto const left = reduce(vector);
        if (left != 0)
        {
            basis[static_cast<std::size_t>(std::bit_width(left)) - 1] = left;
        }
    }
    return reduce(value) == 0;
}

void view_confirmation::want(time_point now)
{
    wanted_ = now;
    if (is_running() || now < last_begun_ + round_interval)
    {
        return;
    }
    ++round_;
    begun_ = now;
    last_begun_ = now;
    next_ = now;
    questions_.clear();
    if (!waits_since_)
    {
        waits_since_ = now;
        patience_ = first_patience;
    }
}

bool view_confirmation::have_all_answered() const
{
    return std::ranges::all_of(questions_, [](auto const& asked)
                               { return asked.second.answer_.has_value(); });
}

bool view_confirmation::is_due(time_point now) const
{
    return is_running() && now >= next_;
}

int view_confirmation::rank(member_table const& table, std::uint64_t peer) const
{
    auto const at = questions_.find(peer);
    if (at == questions_.end())
    {
        return 2;
    }
    auto const& [times, answer] = at->second;
    if (answer)
    {
        return judge(table, *answer) == verdict::differs ? 0 : 4;
    }
    return times == 1 ? 1 : 3;
}

std::vector<std::uint64_t>
view_confirmation::choose(member_table const& table, std::string const& own,
                          std::span<std::uint64_t const> candidates) const
{
    std::vector<std::uint64_t> left(candidates.begin(), candidates.end());
    for (auto const& [peer, asked] : questions_)
    {
        if (is_live_balancer(table, peer) &&
            std::ranges::find(left, peer) == left.end())
        {
            left.push_back(peer);
        }
    }
    std::map<std::string, int> uses{{own, 1}}; // of failure domains
    auto const order = [&](std::uint64_t peer)
    {
        auto const& domain = table.find(peer)->failure_domain_;
        return std::pair(rank(table, peer), uses[domain]);
    };
    std::vector<std::uint64_t> result;
    while (!left.empty() && result.size() < confirmation_peers)
    {
        auto const best = std::ranges::min_element(left, {}, order);
        ++uses[table.find(*best)->failure_domain_];
        result.push_back(*best);
        left.erase(best);
    }
    return result;
}

void view_confirmation::asked(std::span<std::uint64_t const> peers,
                              time_point now)
{
    bool const is_repeated = !questions_.empty();
    if (is_repeated)
    {
        patience_ = std::min<duration>(2 * patience_, most_patience);
    }
    for (auto const peer : peers)
    {
        ++questions_[peer].times_;
    }
    asked_ = now;
    next_ = now + patience_;
}

bool view_confirmation::answered(std::uint64_t peer, view_answer const& answer)
{
    auto const at = questions_.find(peer);
    if (!is_running() || answer.round_ != round_ || at == questions_.end())
    {
        return false;
    }
    at->second.answer_ = answer;
    return true;
}

// The identifiers in which the two sets differ are found without a list of all:
// the difference of the hashes is the sum of some that are known here and that
// joined or ended here or there lately. A target that only the peer knows is
// none of these.
view_confirmation::verdict view_confirmation::judge(member_table const& table,
                                                    view_answer const& answer)
{
    std::vector<std::uint64_t> candidates;
    for (auto const id : answer.latest_changes_)
    {
        if (table.find(id) == nullptr)
        {
            return verdict::differs;
        }
        candidates.push_back(hash_identifier(id));
    }
    if (!answer.can_confirm_)
    {
        return verdict::knows_too_little;
    }
    for (auto const id : table.latest_targets())
    {
        candidates.push_back(hash_identifier(id));
    }
    auto const difference = answer.targets_hash_ ^ table.targets_hash();
    return is_sum_of(difference, candidates) ? verdict::confirms
                                             : verdict::differs;
}

std::optional<time_point> view_confirmation::check(member_table const& table,
                                                   std::size_t others,
                                                   time_point now)
{
    if (!is_running())
    {
        return std::nullopt;
    }
    std::size_t asked = 0;
    std::size_t confirming = 0;
    for (auto const& [peer, asked_peer] : questions_)
    {
        auto const& answer = asked_peer.answer_;
        if (!is_live_balancer(table, peer))
        {
            continue;
        }
        auto const found = answer ? judge(table, *answer) : verdict::differs;
        if (answer && found == verdict::differs)
        {
            reask_soon();
            return std::nullopt;
        }
        asked += found == verdict::knows_too_little ? 0 : 1;
        confirming += found == verdict::confirms ? 1 : 0;
    }
    auto const least = std::max(std::min(least_answers, others), asked / 2 + 1);
    if (confirming < least)
    {
        return std::nullopt;
    }
    confirmed_ = begun_;
    end("confirmed", now);
    return confirmed_;
}

// What is news to one side of a difference arrives shortly.
void view_confirmation::reask_soon()
{
    if (have_all_answered())
    {
        auto const wait = std::min<duration>(patience_ / 2, most_reask_wait);
        next_ = std::min(next_, asked_ + wait);
    }
}

time_point view_confirmation::confirm_alone(time_point now)
{
    confirmed_ = now;
    end("confirmed", now);
    return now;
}

void view_confirmation::end(std::string const& outcome, time_point now)
{
    if (is_reported_)
    {
        outcome_ = outcome + " after " + to_text(now - *waits_since_);
    }
    begun_.reset();
    questions_.clear();
    waits_since_.reset();
    is_reported_ = false;
}

void view_confirmation::tick(time_point now, std::vector<control_action>& out)
{
    if (waits_since_ && now > wanted_ + unwanted_time)
    {
        end("not wanted any more", now);
    }
    if (is_running() && now > *begun_ + round_limit)
    {
        begun_.reset();
    }
    if (outcome_)
    {
        out.emplace_back(
            report_action{report_kind::view_unconfirmed_ended, *outcome_});
        outcome_.reset();
    }
    if (waits_since_ && !is_reported_ && now > *waits_since_ + report_time)
    {
        is_reported_ = true;
        auto const answers =
            std::ranges::count_if(questions_, [](auto const& asked)
                                  { return asked.second.answer_.has_value(); });
        out.emplace_back(
            report_action{report_kind::view_unconfirmed,
                          "asked " + std::to_string(questions_.size()) +
                              ", answered " + std::to_string(answers) +
                              ", for " + to_text(now - *waits_since_)});
    }
}

} // namespace daisytrail
