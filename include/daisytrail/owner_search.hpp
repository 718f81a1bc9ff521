// Searches for the target that holds an open flow, for example after a restart
// of the balancer that knew the flow. The balancer sends small questions to the
// agents of all targets. It offers a packet of the caller only to targets whose
// agents are undetermined: they don't know whether their backend servers hold
// the flow. Apart from a few early ones, offers wait until all agents have
// answered.
//
// Load pattern: after a restart thousands of searches start within a second,
// and the balancers' links have little capacity beyond their usual traffic.
#pragma once

#include <daisytrail/offer_budget.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace daisytrail
{

// Counts of a search's candidates by their state, for the log.
struct search_progress
{
    std::size_t known_ = 0; // targets in the balancer's directory
    std::size_t asked_ = 0;
    std::size_t denied_ = 0;
    std::size_t undetermined_ = 0; // including targets with an open offer
    duration age_{};
};

class owner_search
{
public:
    using target_test = std::function<bool(target_id)>;

    explicit owner_search(time_point now) : started_at_(now) {}

    time_point started_at() const
    {
        return started_at_;
    }

    // Adds targets that the flow's SYNs were sent to. They are asked first.
    void add_preferred_candidates(std::vector<target_id> const& targets);

    // Appends the targets that aren't candidates yet, in the given order.
    void add_candidates(std::vector<target_id> const& order);

    // Handles an agent's answer. An undetermined answer counts only if it was
    // asked for.
    void on_answer(target_id target, flow_ownership answer);

    // Handles the return of the flow's packet: the target doesn't hold the
    // flow.
    void on_returned(target_id target);

    // Asks lost targets again that are lost no longer.
    void ask_found_targets(target_test const& is_lost);

    // True while a candidate hasn't been asked or owes an answer.
    bool has_pending_questions() const;

    // True while an offered packet has been neither answered nor returned.
    bool has_open_offers() const;

    // Targets that were offered the packet and may still return it.
    std::vector<target_id> offered_targets() const;

    // True if every candidate has denied the flow or is lost.
    bool is_exhausted() const;

    // Fills in all counts but known_.
    search_progress progress(time_point now) const;

    // True if questions are to be retransmitted or the next batch is due.
    bool is_overdue(time_point now) const;

    // True once the retransmission timeout has passed.
    bool is_retransmission_due(time_point now) const
    {
        return now > retransmit_at_;
    }

    // Returns the targets whose questions are to be retransmitted, and doubles
    // the retransmission timeout up to its maximum. A target whose offer timed
    // out is asked again. A lost target that hasn't answered within
    // lost_target_timeout is awaited no longer while it is lost.
    std::vector<target_id> next_retransmissions(time_point now,
                                                target_test const& is_lost);

    // Returns the next batch of targets to ask. The batch is empty if all were
    // asked or if the previous batch has time left to answer.
    std::vector<target_id> next_questions(time_point now);

    // True while a candidate hasn't been asked, or one whose agent isn't silent
    // owes an answer.
    bool awaits_answers(target_test const& is_silent) const;

    // Returns the undetermined targets to offer the packet to now. Offers wait
    // until only silent agents owe an answer; preferred targets wait for
    // answers of preferred targets only. Improbable targets come last, and only
    // if the budget allows offers to all of them, so that the owner isn't
    // among those left out.
    std::vector<target_id> next_offers(time_point now,
                                       target_test const& is_silent,
                                       offer_budget& budget);

private:
    enum class state : std::uint8_t
    {
        unasked,
        asked,
        undetermined, // may hold the flow; only an offered packet can show it
        improbable,   // the same, but hardly holds the flow
        offered,      // received the packet
        denied,       // doesn't hold the flow
        lost          // presumed dead and silent, which proves nothing
    };

    struct candidate
    {
        target_id target_ = 0;
        state state_ = state::unasked;
        bool is_preferred_ = false;
        time_point asked_at_{};   // first question, or after a timed-out offer
        time_point offered_at_{}; // zero if never
    };

    candidate* find(target_id target);
    bool has(state wanted) const;
    bool is_answer_expected(candidate const& each,
                            target_test const& is_silent) const;
    std::size_t open_offer_count() const;
    bool awaits_preferred(target_test const& is_silent) const;
    std::vector<candidate*> ready_for_offers(target_test const& is_silent);
    static std::vector<target_id>
    offer_to(std::vector<candidate*> const& chosen, time_point now);
    std::vector<target_id> next_improbable_offers(time_point now,
                                                  target_test const& is_silent,
                                                  offer_budget& budget);

    time_point started_at_;
    std::vector<candidate> candidates_;
    std::size_t batch_size_ = initial_batch_size; // of the next batch
    std::size_t early_offers_left_ = max_early_offers;
    // The budget has been charged for offers to all improbable targets.
    bool are_improbable_offers_paid_ = false;
    time_point next_batch_at_{}; // sent then even if answers are outstanding
    duration retransmission_timeout_ = initial_retransmission_timeout;
    time_point retransmit_at_{};

    static constexpr std::size_t initial_batch_size = 6;
    static constexpr std::size_t batch_growth_factor = 2;
    static constexpr std::chrono::milliseconds batch_timeout{50};
    static constexpr std::chrono::milliseconds initial_retransmission_timeout{
        150};
    static constexpr std::chrono::milliseconds max_retransmission_timeout{600};
    // A lost target that hasn't answered within this time is awaited no longer.
    static constexpr std::chrono::milliseconds lost_target_timeout{350};
    // Targets that are offered the packet at the same time.
    static constexpr std::size_t max_open_offers = 32;
    // Offers that may be made before every candidate has answered. The owner
    // may be among those that haven't, and each offer to another backend server
    // misdirects a packet.
    static constexpr std::size_t max_early_offers = 2;
};

} // namespace daisytrail
