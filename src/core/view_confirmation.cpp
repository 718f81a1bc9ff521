// Rounds of questions to other balancers about the targets that they know.
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

constexpr milliseconds min_round_interval{100};
// Time that peers have to answer; doubled with each repetition up to the
// maximum.
constexpr milliseconds initial_answer_timeout{200};
constexpr milliseconds max_answer_timeout{1'000};
// Delay before questions are repeated after answers that differ.
constexpr milliseconds max_early_retry_delay{400};
// After this time the next request starts a new round with newly chosen peers.
constexpr milliseconds max_round_duration{4'000};
// A confirmation that wasn't requested again within this time is given up.
constexpr milliseconds request_lifetime{2'000};
// A confirmation that is outstanding for longer is reported.
constexpr milliseconds report_delay{1'000};
// Confirming answers that are required, if there are as many other balancers.
constexpr std::size_t min_confirmations = 2;

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

// Gaussian elimination over GF(2).
bool is_xor_of_subset(std::uint64_t value,
                      std::span<std::uint64_t const> vectors)
{
    std::array<std::uint64_t, 64> basis{}; // by the index of the highest bit
    auto const reduce = [&basis](std::uint64_t remainder)
    {
        while (remainder != 0)
        {
            auto const top =
                static_cast<std::size_t>(std::bit_width(remainder)) - 1;
            if (basis[top] == 0)
            {
                break;
            }
            remainder ^= basis[top];
        }
        return remainder;
    };
    for (auto const vector : vectors)
    {
        auto const remainder = reduce(vector);
        if (remainder != 0)
        {
            basis[static_cast<std::size_t>(std::bit_width(remainder)) - 1] =
                remainder;
        }
    }
    return reduce(value) == 0;
}

void view_confirmation::request_confirmation(time_point now)
{
    last_requested_at_ = now;
    start_round(now);
    if (is_running() && !waiting_since_)
    {
        waiting_since_ = now;
    }
}

void view_confirmation::start_round(time_point now)
{
    if (is_running() || now < last_round_started_at_ + min_round_interval)
    {
        return;
    }
    if (!waiting_since_)
    {
        answer_timeout_ = initial_answer_timeout;
    }
    ++round_;
    round_started_at_ = now;
    last_round_started_at_ = now;
    next_questions_at_ = now;
    questions_.clear();
}

bool view_confirmation::have_all_answered() const
{
    return std::ranges::all_of(questions_, [](auto const& entry)
                               { return entry.second.answer_.has_value(); });
}

bool view_confirmation::is_due(time_point now) const
{
    return is_running() && now >= next_questions_at_;
}

// Returns the preference of a peer for the next questions; the lowest rank is
// asked first.
int view_confirmation::rank(member_table const& table, std::uint64_t peer) const
{
    auto const at = questions_.find(peer);
    if (at == questions_.end())
    {
        return 2;
    }
    auto const& [send_count, answer] = at->second;
    if (answer)
    {
        return classify(table, *answer) == answer_verdict::differs ? 0 : 4;
    }
    return send_count == 1 ? 1 : 3;
}

std::vector<std::uint64_t>
view_confirmation::choose_peers(member_table const& table,
                                std::string const& own_domain,
                                std::span<std::uint64_t const> candidates) const
{
    std::vector<std::uint64_t> remaining(candidates.begin(), candidates.end());
    for (auto const& [peer, entry] : questions_)
    {
        if (is_live_balancer(table, peer) &&
            std::ranges::find(remaining, peer) == remaining.end())
        {
            remaining.push_back(peer);
        }
    }
    std::map<std::string, int> use_count{{own_domain, 1}}; // of failure domains
    auto const order = [&](std::uint64_t peer)
    {
        auto const& domain = table.find(peer)->failure_domain_;
        return std::pair(rank(table, peer), use_count[domain]);
    };
    std::vector<std::uint64_t> result;
    while (!remaining.empty() && result.size() < confirmation_fanout)
    {
        auto const next = std::ranges::min_element(remaining, {}, order);
        ++use_count[table.find(*next)->failure_domain_];
        result.push_back(*next);
        remaining.erase(next);
    }
    return result;
}

void view_confirmation::record_questions(std::span<std::uint64_t const> peers,
                                         time_point now)
{
    bool const is_retry = !questions_.empty();
    if (is_retry)
    {
        answer_timeout_ =
            std::min<duration>(2 * answer_timeout_, max_answer_timeout);
    }
    for (auto const peer : peers)
    {
        ++questions_[peer].send_count_;
    }
    last_questions_at_ = now;
    next_questions_at_ = now + answer_timeout_;
}

bool view_confirmation::record_answer(std::uint64_t peer,
                                      view_answer const& answer)
{
    auto const at = questions_.find(peer);
    if (!is_running() || answer.round_ != round_ || at == questions_.end())
    {
        return false;
    }
    at->second.answer_ = answer;
    return true;
}

// Compares the target sets without a list of all ids. Each hash is the XOR of
// the hashed ids of a set. If the peer knows no further target, the difference
// of the hashes is the XOR of the ids of some targets that are known here and
// that joined or ended recently at either balancer. A target known only to the
// peer isn't among these, so the difference can't be composed of them.
view_confirmation::answer_verdict
view_confirmation::classify(member_table const& table,
                            view_answer const& answer)
{
    std::vector<std::uint64_t> candidates;
    for (auto const id : answer.latest_changes_)
    {
        if (table.find(id) == nullptr)
        {
            return answer_verdict::differs;
        }
        candidates.push_back(hash_identifier(id));
    }
    if (!answer.can_confirm_)
    {
        return answer_verdict::inconclusive;
    }
    for (auto const id : table.latest_targets())
    {
        candidates.push_back(hash_identifier(id));
    }
    auto const difference = answer.targets_hash_ ^ table.targets_hash();
    return is_xor_of_subset(difference, candidates) ? answer_verdict::confirms
                                                    : answer_verdict::differs;
}

std::optional<time_point> view_confirmation::check(member_table const& table,
                                                   std::size_t others,
                                                   time_point now)
{
    if (!is_running())
    {
        return std::nullopt;
    }
    std::size_t considered = 0;
    std::size_t confirming = 0;
    for (auto const& [peer, peer_question] : questions_)
    {
        auto const& answer = peer_question.answer_;
        if (!is_live_balancer(table, peer))
        {
            continue;
        }
        auto const verdict =
            answer ? classify(table, *answer) : answer_verdict::differs;
        if (answer && verdict == answer_verdict::differs)
        {
            schedule_early_retry();
            return std::nullopt;
        }
        considered += verdict == answer_verdict::inconclusive ? 0 : 1;
        confirming += verdict == answer_verdict::confirms ? 1 : 0;
    }
    auto const required =
        std::max(std::min(min_confirmations, others), considered / 2 + 1);
    if (confirming < required)
    {
        return std::nullopt;
    }
    confirmed_as_of_ = round_started_at_;
    finish("confirmed", now);
    return confirmed_as_of_;
}

// Asks again before the answer timeout: after answers that differ, the missing
// records are usually exchanged shortly.
void view_confirmation::schedule_early_retry()
{
    if (have_all_answered())
    {
        auto const delay =
            std::min<duration>(answer_timeout_ / 2, max_early_retry_delay);
        next_questions_at_ =
            std::min(next_questions_at_, last_questions_at_ + delay);
    }
}

time_point view_confirmation::confirm_without_peers(time_point now)
{
    confirmed_as_of_ = now;
    finish("confirmed", now);
    return now;
}

void view_confirmation::finish(std::string const& outcome, time_point now)
{
    if (is_delay_reported_)
    {
        pending_outcome_ = outcome + " after " + to_text(now - *waiting_since_);
    }
    round_started_at_.reset();
    questions_.clear();
    waiting_since_.reset();
    is_delay_reported_ = false;
}

void view_confirmation::tick(time_point now, std::vector<control_action>& out)
{
    if (waiting_since_ && now > last_requested_at_ + request_lifetime)
    {
        finish("not wanted any more", now);
    }
    if (is_running() && now > *round_started_at_ + max_round_duration)
    {
        round_started_at_.reset();
    }
    if (pending_outcome_)
    {
        out.emplace_back(report_action{report_kind::view_unconfirmed_ended,
                                       *pending_outcome_});
        pending_outcome_.reset();
    }
    if (waiting_since_ && !is_delay_reported_ &&
        now > *waiting_since_ + report_delay)
    {
        is_delay_reported_ = true;
        auto const answers =
            std::ranges::count_if(questions_, [](auto const& entry)
                                  { return entry.second.answer_.has_value(); });
        out.emplace_back(report_action{
            report_kind::view_unconfirmed,
            "balancers asked: " + std::to_string(questions_.size()) +
                ", answered: " + std::to_string(answers) +
                ", unconfirmed for " + to_text(now - *waiting_since_)});
    }
}

} // namespace daisytrail
