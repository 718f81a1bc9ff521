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
inline constexpr std::size_t confirmation_peers = 3;

// Identifiers named in one answer.
inline constexpr std::size_t targets_in_answer = 10;

// A process that has started less than this ago doesn't know enough to confirm
// another one's view.
inline constexpr std::chrono::milliseconds settling_time{5'000};

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
    void want(time_point now);

    bool is_running() const
    {
        return begun_.has_value();
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
    choose(member_table const& table, std::string const& own,
           std::span<std::uint64_t const> candidates) const;

    void asked(std::span<std::uint64_t const> peers, time_point now);

    // Notes an answer; false if it isn't one of this round.
    bool answered(std::uint64_t peer, view_answer const& answer);

    // Ends the round once enough of the `others` have answered and know no
    // target that isn't known here; returns the round's begin.
    std::optional<time_point> check(member_table const& table,
                                    std::size_t others, time_point now);

    // The only balancer that is known has nobody to ask.
    time_point confirm_alone(time_point now);

    // Gives up a round that nobody wants any more, and reports a view that
    // can't be confirmed.
    void tick(time_point now, std::vector<control_action>& out);

    // The time as of which the view was last confirmed.
    std::optional<time_point> confirmed() const
    {
        return confirmed_;
    }

private:
    struct question
    {
        int times_ = 0; // asked
        std::optional<view_answer> answer_;
    };

    enum class verdict : std::uint8_t
    {
        confirms,
        differs,
        knows_too_little
    };

    int rank(member_table const& table, std::uint64_t peer) const;
    static verdict judge(member_table const& table, view_answer const& answer);
    bool have_all_answered() const;
    void reask_soon();
    void end(std::string const& outcome, time_point now);

    std::uint32_t round_;
    std::optional<time_point> begun_; // of the round that runs
    time_point last_begun_;
    time_point wanted_;
    time_point asked_; // last questions
    time_point next_;  // questions
    duration patience_{};
    std::map<std::uint64_t, question> questions_; // by peer
    std::optional<time_point> confirmed_;
    std::optional<time_point> waits_since_; // for a confirmation
    bool is_reported_ = false;              // that it waits
    std::optional<std::string> outcome_;    // to be reported
};

// True if `value` is the XOR of some of the vectors.
bool is_sum_of(std::uint64_t value, std::span<std::uint64_t const> vectors);

} // namespace daisytrail
