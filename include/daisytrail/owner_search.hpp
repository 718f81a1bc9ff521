// Search for the target that holds an open flow, as after a restart of the
// balancer that knew it. All agents are asked by small questions; a packet of
// the caller goes only to targets whose agents can't tell, and only once the
// others have answered.
//
// Load pattern: after a restart thousands of flows are searched within a
// second, by balancers whose links carry little more than their usual traffic.
#pragma once

#include <daisytrail/relay_message.hpp>
#include <daisytrail/types.hpp>

#include <cstddef>
#include <functional>
#include <vector>

namespace daisytrail
{

// How far a search has come.
struct search_figures
{
    std::size_t known_ = 0; // targets that the balancer knows
    std::size_t asked_ = 0;
    std::size_t denied_ = 0;
    std::size_t unsure_ = 0; // those that have the packet among them
    duration age_{};
};

class owner_search
{
public:
    using target_test = std::function<bool(target_id)>;

    explicit owner_search(time_point now) : began_(now) {}

    time_point began() const
    {
        return began_;
    }

    // Targets that the flow's SYNs went to: asked before all others.
    void prefer(std::vector<target_id> const& targets);

    // Adds targets that aren't candidates yet, in this order.
    void extend(std::vector<target_id> const& order);

    // An agent has answered a question or told that its backend server answers.
    void on_answer(target_id target, flow_ownership answer);

    // The target returned the flow's packet.
    void on_returned(target_id target);

    // True while a candidate isn't asked yet or hasn't answered.
    bool is_asking() const;

    // True while a target has the packet and nothing came back.
    bool is_offering() const;

    // Targets that got the packet and may return it yet.
    std::vector<target_id> holders() const;

    // True once every candidate has denied.
    bool has_ended() const;

    // All but known_.
    search_figures figures(time_point now) const;

    // True if questions are to be repeated or the next ones are due.
    bool is_overdue(time_point now) const;

    // True if a question or an offer has waited for too long.
    bool must_repeat(time_point now) const
    {
        return now > repeat_at_;
    }

    // Asks again, ever more rarely: returns the targets whose questions are
    // repeated. One that let an offered packet pass in silence is asked too.
    // A lost one that has had the time to answer counts as denied.
    std::vector<target_id> repeat(time_point now, target_test const& is_lost);

    // The next targets to ask; empty if all were, or if these are to wait for
    // answers to the last ones.
    std::vector<target_id> next_questions(time_point now);

    // True while an agent that isn't silent owes an answer.
    bool awaits_answers(target_test const& is_silent) const;

    // Targets that can't tell and are to be offered the packet now. Only a
    // silent one may owe an answer by then.
    std::vector<target_id> next_offers(time_point now,
                                       target_test const& is_silent);

private:
    enum class state : std::uint8_t
    {
        unasked,
        asked,
        unsure,  // may hold the flow: the packet itself has to tell
        offered, // has the packet
        denied   // doesn't hold the flow
    };

    struct candidate
    {
        target_id target_ = 0;
        state state_ = state::unasked;
        bool is_preferred_ = false;
        time_point asked_{}; // first, or again after an offer in vain
        time_point offered_{};
    };

    candidate* find(target_id target);
    bool has(state wanted) const;
    bool is_awaited(candidate const& each, target_test const& is_silent) const;
    std::size_t open_offers() const;
    bool awaits_preferred(target_test const& is_silent) const;
    std::vector<candidate*> ready_for_offers(target_test const& is_silent);

    time_point began_;
    std::vector<candidate> candidates_;
    std::size_t batch_ = first_batch; // questions sent together next time
    std::size_t early_offers_left_ = early_offers;
    time_point next_batch_{}; // sent then even if answers are missing
    duration patience_ = first_patience;
    time_point repeat_at_{};

    static constexpr std::size_t first_batch = 6;
    static constexpr std::size_t batch_growth = 2;
    static constexpr std::chrono::milliseconds batch_patience{50};
    static constexpr std::chrono::milliseconds first_patience{150};
    static constexpr std::chrono::milliseconds most_patience{600};
    // Time that a lost target has to answer.
    static constexpr std::chrono::milliseconds lost_patience{350};
    // Targets that have the packet at the same time.
    static constexpr std::size_t max_offers = 32;
    // Packets that are sent before every candidate has answered, or while the
    // owner may be missing among them.
    static constexpr std::size_t early_offers = 2;
};

} // namespace daisytrail
