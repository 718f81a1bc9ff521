// Confirmation that a balancer knows every target that the other balancers
// know. A target that it doesn't know may hold a flow, so the balancer asks a
// few others before it concludes that no target holds the flow. The class uses
// no socket and no clock.
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

// Number of balancers that are asked at a time.
inline constexpr std::size_t confirmation_fanout = 3;

// Target ids listed in one answer.
inline constexpr std::size_t max_targets_in_answer = 10;

// A balancer that started less than this ago may not know all targets yet and
// doesn't confirm the view of another balancer.
inline constexpr std::chrono::milliseconds settling_period{5'000};

// The same for a balancer whose own view no settled balancer has confirmed, as
// after the loss of all balancers: its peers know no more than it does. Within
// this time every target that lives has had a way to announce itself: its
// agent notices that its observers are gone, the settings name the seeds that
// run, the agent reads them and repeats its heartbeat to them, and the record
// reaches all balancers.
inline constexpr std::chrono::milliseconds announcement_period{8'000};

// In a large fleet the byte budget of the control traffic spreads the records
// over a longer time. The period is extended until no target has joined or
// ended for this long, up to the maximum.
inline constexpr std::chrono::milliseconds announcement_quiet_period{4'000};
inline constexpr std::chrono::milliseconds max_announcement_period{60'000};

// Asks other balancers in rounds. One round serves all requests made while it
// runs. Load pattern: thousands of flow searches end within one second.
class view_confirmation
{
public:
    // `first_round` has to be random, so that a restarted process doesn't
    // accept answers to the rounds of its previous run.
    explicit view_confirmation(std::uint32_t first_round) : round_(first_round)
    {
    }

    // Starts a round unless one is running or the last one started less than
    // the minimum interval ago.
    void request_confirmation(time_point now);

    // The same for a confirmation that nobody waits for yet.
    void start_round(time_point now);

    bool is_running() const
    {
        return round_started_at_.has_value();
    }

    // Number of the round. Questions and answers carry it, so that late answers
    // to an earlier round are ignored.
    std::uint32_t round() const
    {
        return round_;
    }

    // Returns true if questions have to be sent now.
    bool is_due(time_point now) const;

    // Chooses the peers to ask among the candidates, which are live balancers,
    // and the peers asked in this round. The order of preference is: peers
    // whose answer differs, peers that were asked once and haven't answered
    // (the question may be lost), peers that weren't asked yet, peers that were
    // asked repeatedly, peers whose answer doesn't differ. Among equals it
    // prefers the least used failure domain, other than `own_domain` if
    // possible.
    std::vector<std::uint64_t>
    choose_peers(member_table const& table, std::string const& own_domain,
                 std::span<std::uint64_t const> candidates) const;

    // Records that the questions were sent. The answer timeout doubles with
    // each repetition in a round.
    void record_questions(std::span<std::uint64_t const> peers, time_point now);

    // Records an answer. Returns false if it doesn't belong to this round.
    bool record_answer(std::uint64_t peer, view_answer const& answer);

    // Ends the round once enough of the `others` other balancers have answered
    // that they know no target missing in the table. Returns the start of the
    // round.
    std::optional<time_point> check(member_table const& table,
                                    std::size_t others, time_point now);

    // Confirms the view of a balancer that knows no other balancer.
    time_point confirm_without_peers(time_point now);

    // Ends a round that is no longer requested, and reports a view that isn't
    // confirmed in time.
    void tick(time_point now, std::vector<control_action>& out);

    // Time as of which the view was last confirmed: the start of the round.
    std::optional<time_point> confirmed_as_of() const
    {
        return confirmed_as_of_;
    }

private:
    struct question
    {
        int send_count_ = 0;
        std::optional<view_answer> answer_;
    };

    // What the answer of a peer says about the view of this balancer.
    enum class answer_verdict : std::uint8_t
    {
        confirms,
        differs,     // the peer knows or may know a target missing here
        inconclusive // the peer itself may not know all targets
    };

    int rank(member_table const& table, std::uint64_t peer) const;
    static answer_verdict classify(member_table const& table,
                                   view_answer const& answer);
    bool have_all_answered() const;
    void schedule_early_retry();
    void finish(std::string const& outcome, time_point now);

    std::uint32_t round_;
    std::optional<time_point> round_started_at_; // empty if no round is running
    time_point last_round_started_at_;
    time_point last_requested_at_;
    time_point last_questions_at_;
    time_point next_questions_at_;
    duration answer_timeout_{};
    std::map<std::uint64_t, question> questions_; // by peer
    std::optional<time_point> confirmed_as_of_;
    std::optional<time_point> waiting_since_; // first unanswered request
    bool is_delay_reported_ = false;
    std::optional<std::string> pending_outcome_; // reported by the next tick
};

// Returns true if `value` is the XOR of a subset of the vectors.
bool is_xor_of_subset(std::uint64_t value,
                      std::span<std::uint64_t const> vectors);

} // namespace daisytrail
