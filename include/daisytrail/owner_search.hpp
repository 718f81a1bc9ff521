// Search for the target that holds an open flow, as after a restart of the
// balancer that knew it. Agents are asked by small questions, several at once;
// the caller's packets go only to targets whose agents can't tell.
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

class owner_search
{
public:
    // Adds targets that aren't candidates yet, in this order.
    void extend(std::vector<target_id> const& order);

    // An agent has answered a question or told that its backend server answers.
    void on_answer(target_id target, flow_holding answer);

    // The target returned the flow's packet.
    void on_returned(target_id target);

    // True while a question has no answer.
    bool is_asking() const;

    // True if a question or an offer has waited for too long.
    bool is_overdue(time_point now) const
    {
        return now > repeat_at_;
    }

    // Asks again, ever more rarely: returns the targets whose questions are
    // repeated. A target that let an offered packet pass in silence comes last
    // among those that can't tell.
    std::vector<target_id> repeat(time_point now);

    // The next targets to ask; empty if all were. `may_ask` leaves some out.
    std::vector<target_id>
    next_questions(time_point now,
                   std::function<bool(target_id)> const& may_ask);

    // The next target whose agent can't tell, to be offered the packet; 0 if
    // there is none.
    target_id next_offer(time_point now);

    // The target that has the packet at present; 0 if none.
    target_id offered() const;

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
    };

    void wait(time_point now);
    candidate* find(target_id target);
    bool has(state wanted) const;

    std::vector<candidate> candidates_;
    std::size_t batch_ = first_batch; // questions sent together next time
    duration patience_ = first_patience;
    time_point repeat_at_{};

    static constexpr std::size_t first_batch = 6;
    static constexpr std::size_t batch_growth = 2;
    static constexpr std::chrono::milliseconds first_patience{150};
    static constexpr std::chrono::milliseconds most_patience{600};
};

} // namespace daisytrail
