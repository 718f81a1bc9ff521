// Whether a balancer knows every target that the others know. What it doesn't
// know of may still hold a flow, so it asks a few others before it acts on
// "nobody holds this flow". No sockets and no clock.
#pragma once

#include <daisytrail/control_messages.hpp>
#include <daisytrail/member_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace daisytrail
{

// Balancers asked at a time.
inline constexpr std::size_t confirmation_fanout = 3;

// Identifiers named in one answer.
inline constexpr std::size_t max_targets_in_answer = 10;

// A process that has started less than this ago doesn't know enough to confirm
// another one's view.
inline constexpr std::chrono::milliseconds settling_period{5'000};

// Load pattern: thousands of searches end within a second; one round serves
// them all.
class view_confirmation
{
public:
    // A restarted process must not take answers to its predecessor's rounds, so
    // the first number is random.
    explicit view_confirmation(std::uint32_t first_round) : round_(first_round)
    {
    }

    // Begins a round unless one runs or the last one began a moment ago.
    void request_confirmation(time_point now);

    bool is_running() const
    {
        return round_started_at_.has_value();
    }

    // Told to peers, so that late answers to an earlier round don't count.
    std::uint32_t round() const
    {
        return round_;
    }

    // True if others are to be asked now.
    bool is_due(time_point now) const;

    // The peers to ask of these live balancers and those that were asked: those
    // whose answer differs, those who may have lost the question, then new
    // ones; of failure domains other than `own` if possible.
    std::vector<std::uint64_t>
    choose_peers(member_table const& table, std::string const& own_domain,
                 std::span<std::uint64_t const> candidates) const;

    void record_questions(std::span<std::uint64_t const> peers, time_point now);

    // Notes an answer; false if it isn't one of this round.
    bool record_answer(std::uint64_t peer, view_answer const& answer);

    // Ends the round once enough of the `others` have answered and know no
    // target that isn't known here; returns the round's begin.
    std::optional<time_point> check(member_table const& table,
                                    std::size_t others, time_point now);

    // The only balancer that is known has nobody to ask.
    time_point confirm_without_peers(time_point now);

    // Gives up a round that nobody wants any more, and reports a view that
    // can't be confirmed.
    void tick(time_point now, std::vector<control_action>& out);

    // The time as of which the view was last confirmed.
    std::optional<time_point> confirmed_as_of() const
    {
        return confirmed_as_of_;
    }

private:
    struct question
    {
        int send_count_ = 0; // asked
        std::optional<view_answer> answer_;
    };

    enum class answer_verdict : std::uint8_t
    {
        confirms,
        differs,
        inconclusive
    };

    int rank(member_table const& table, std::uint64_t peer) const;
    static answer_verdict classify(member_table const& table,
                                   view_answer const& answer);
    bool have_all_answered() const;
    void schedule_early_retry();
    void finish(std::string const& outcome, time_point now);

    std::uint32_t round_;
    std::optional<time_point> round_started_at_; // of the round that runs
    time_point last_round_started_at_;
    time_point last_requested_at_;
    time_point last_questions_at_; // last questions
    time_point next_questions_at_; // questions
    duration answer_timeout_{};
    std::map<std::uint64_t, question> questions_; // by peer
    std::optional<time_point> confirmed_as_of_;
    std::optional<time_point> waiting_since_;    // for a confirmation
    bool is_delay_reported_ = false;             // that it waits
    std::optional<std::string> pending_outcome_; // to be reported
};

// True if `value` is the XOR of some of the vectors.
bool is_xor_of_subset(std::uint64_t value,
                      std::span<std::uint64_t const> vectors);

} // namespace daisytrail
