// Indirect failure detection as in SWIM. A suspected member is pinged directly
// and through helpers. It is declared dead only if one of the helpers got no
// answer either, or there are no helpers, and if this process still reaches a
// majority of the members that it checked.
#pragma once

#include <daisytrail/control_messages.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisytrail
{

// How many of the members that a process checked recently it reached.
struct reachability
{
    std::size_t reached_ = 0;
    std::size_t checked_ = 0;

    // A process that reaches no majority suspects itself to be isolated.
    bool is_majority() const
    {
        return checked_ == 0 || 2 * reached_ > checked_;
    }
};

// What the caller of failure_detector::tick() has to carry out.
struct detector_result
{
    std::vector<send_action> sends_;
    std::vector<item> dead_;
    // Members that didn't answer, although this process may be the isolated
    // one.
    std::vector<item> self_suspected_;
};

class failure_detector
{
public:
    using helper_selector =
        std::function<std::vector<contact>(std::uint64_t subject)>;
    using reachability_counter =
        std::function<reachability(std::uint64_t subject)>;

    // Starts a verification of the subject unless one is running.
    void suspect(item const& subject, endpoint const& control, time_point now);

    // Ends the verification: a message of the subject was received.
    void mark_alive(std::uint64_t subject, time_point now);

    // Records what a helper reports about its subject.
    void record_answer(std::uint64_t helper, probe_answer const& answer,
                       time_point now);

    // Drops all suspicions and samples, after a pause of this process.
    void reset();

    bool is_suspect(std::uint64_t subject) const
    {
        return verifications_.contains(subject);
    }

    bool empty() const
    {
        return verifications_.empty();
    }

    // Runs the next round of each verification that is due and ends those that
    // have run all rounds.
    detector_result tick(time_point now, helper_selector const& helpers,
                         reachability_counter const& count_reachable);

    // Records a ping that was sent to find out whether this process is
    // isolated.
    void record_sample(std::uint64_t id, time_point now);
    // Returns how many of the recently sampled members answered, the subject
    // left out.
    reachability sampled_reachability(std::uint64_t subject,
                                      time_point now) const;

    // Returns true if an answer to the last sample may still arrive.
    bool was_sampled_recently(std::uint64_t id, time_point now) const;

private:
    struct verification
    {
        item subject_;
        endpoint control_;
        time_point next_round_at_;
        int round_ = 0;
        std::set<std::uint64_t> asked_helpers_;
        // Helpers that reported that the subject didn't answer.
        std::set<std::uint64_t> confirming_helpers_;
    };

    struct sample_entry
    {
        time_point pinged_at_;
        time_point answered_at_;
        // Result of the previous ping; empty before the second one.
        std::optional<bool> was_previously_reached_;

        bool is_reached() const
        {
            return answered_at_ >= pinged_at_;
        }
    };

    static void postpone_verification(verification& running, time_point now);
    void run_round(verification& running, time_point now,
                   helper_selector const& helpers, detector_result& result);

    std::map<std::uint64_t, verification> verifications_;
    std::map<std::uint64_t, sample_entry> samples_;
};

// Helper in another process's verification: pings the subject on its behalf.
class probe_relay
{
public:
    // Returns the ping to send to the subject of a probe request from `from`.
    send_action request(contact const& subject, endpoint const& from,
                        time_point now);

    // The subject answered: returns the positive answers to the requesters.
    std::vector<send_action> mark_alive(std::uint64_t subject);

    // Returns negative answers to the requesters whose subject didn't answer in
    // time.
    std::vector<send_action> tick(time_point now);

    void reset()
    {
        relays_.clear();
    }

private:
    struct relay
    {
        std::uint64_t subject_ = 0;
        endpoint from_;
        time_point deadline_;
    };

    std::vector<relay> relays_;
};

} // namespace daisytrail
