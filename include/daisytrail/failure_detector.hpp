// Indirect failure detection: a suspicion is verified by pings of one's own
// and through helpers, and becomes a death only if another observer saw it too
// and most others still answer.
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

// Of the others that a process checked lately, how many it reached.
struct reachability
{
    std::size_t reached_ = 0;
    std::size_t checked_ = 0;

    // A process that reaches no majority suspects itself.
    bool is_majority() const
    {
        return checked_ == 0 || 2 * reached_ > checked_;
    }
};

// What tick() asks for.
struct detector_result
{
    std::vector<send_action> sends_;
    std::vector<item> dead_;
    std::vector<item> self_suspected_; // verified, but this side is isolated
};

class failure_detector
{
public:
    using helper_selector =
        std::function<std::vector<contact>(std::uint64_t subject)>;
    using reachability_counter =
        std::function<reachability(std::uint64_t subject)>;

    // Starts a verification unless one is running.
    void suspect(item const& subject, endpoint const& control, time_point now);

    // Any sign of life ends the verification.
    void mark_alive(std::uint64_t subject, time_point now);

    void record_answer(std::uint64_t helper, probe_answer const& answer,
                       time_point now);

    // Forgets all suspicions, as after a pause of this process.
    void reset();

    bool is_suspect(std::uint64_t subject) const
    {
        return verifications_.contains(subject);
    }

    bool empty() const
    {
        return verifications_.empty();
    }

    detector_result tick(time_point now, helper_selector const& helpers,
                         reachability_counter const& count_reachable);

    // Others that were pinged to find out whether this side is isolated.
    void record_sample(std::uint64_t id, time_point now);
    reachability sampled_reachability(std::uint64_t subject,
                                      time_point now) const;

    // True if the member was sampled a short while ago.
    bool was_sampled_recently(std::uint64_t id, time_point now) const;

private:
    struct verification
    {
        item subject_;
        endpoint control_;
        time_point next_round_at_;
        int round_ = 0;
        std::set<std::uint64_t> asked_helpers_; // asked
        std::set<std::uint64_t>
            confirming_helpers_; // helpers that got no answer either
    };

    struct sample_entry
    {
        time_point pinged_at_;
        time_point answered_at_;
        std::optional<bool>
            was_previously_reached_; // by the question before the last

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

// A helper's part: pings a subject in another process's place.
class probe_relay
{
public:
    send_action request(contact const& subject, endpoint const& from,
                        time_point now);

    // The subject answered.
    std::vector<send_action> mark_alive(std::uint64_t subject);

    // Tells requesters whose subject didn't answer.
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
