// Verification of suspected members, and relaying of probes by helpers.
#include <daisytrail/failure_detector.hpp>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds round_interval{250};
constexpr int max_rounds = 5;
// Delay before an isolated process verifies the same member again.
constexpr milliseconds isolated_retry_delay{2'000};
constexpr milliseconds relay_timeout{200};
constexpr milliseconds max_sample_age{3'000};
// A sampled member that doesn't answer within this time counts as unreached.
constexpr milliseconds sample_timeout{250};
constexpr std::size_t max_relays = 64;

} // namespace

void failure_detector::suspect(item const& subject, endpoint const& control,
                               time_point now)
{
    auto const [at, is_new] = verifications_.try_emplace(subject.id_);
    if (is_new)
    {
        at->second.subject_ = subject;
        at->second.control_ = control;
        at->second.next_round_at_ = now;
    }
}

void failure_detector::mark_alive(std::uint64_t subject, time_point now)
{
    verifications_.erase(subject);
    auto const at = samples_.find(subject);
    if (at != samples_.end())
    {
        at->second.answered_at_ = now;
    }
}

void failure_detector::record_answer(std::uint64_t helper,
                                     probe_answer const& answer, time_point now)
{
    if (answer.alive_)
    {
        mark_alive(answer.subject_, now);
        return;
    }
    auto const at = verifications_.find(answer.subject_);
    if (at != verifications_.end() &&
        at->second.asked_helpers_.contains(helper))
    {
        at->second.confirming_helpers_.insert(helper);
    }
}

void failure_detector::reset()
{
    verifications_.clear();
    samples_.clear();
}

void failure_detector::run_round(verification& running, time_point now,
                                 helper_selector const& helpers,
                                 detector_result& result)
{
    ++running.round_;
    running.next_round_at_ = now + round_interval;
    auto const subject = running.subject_.id_;
    result.sends_.push_back({running.control_, ping_message{subject}});
    for (auto const& helper : helpers(subject))
    {
        running.asked_helpers_.insert(helper.id_);
        result.sends_.push_back(
            {helper.control_, probe_request{{subject, running.control_}}});
    }
}

// Restarts the verification after a delay. An isolated process that verified
// all other members without pause would use up its byte budget and couldn't
// send or answer messages once it is connected again.
void failure_detector::postpone_verification(verification& running,
                                             time_point now)
{
    running.round_ = 0;
    running.next_round_at_ = now + isolated_retry_delay;
    running.asked_helpers_.clear();
    running.confirming_helpers_.clear();
}

detector_result
failure_detector::tick(time_point now, helper_selector const& helpers,
                       reachability_counter const& count_reachable)
{
    detector_result result;
    std::vector<std::uint64_t> finished;
    for (auto& [id, running] : verifications_)
    {
        if (now < running.next_round_at_)
        {
            continue;
        }
        if (running.round_ < max_rounds)
        {
            run_round(running, now, helpers, result);
            continue;
        }
        if (!count_reachable(id).is_majority())
        {
            result.self_suspected_.push_back(running.subject_);
            postpone_verification(running, now);
            continue;
        }
        finished.push_back(id);
        bool const is_confirmed = running.asked_helpers_.empty() ||
                                  !running.confirming_helpers_.empty();
        auto& outcome = is_confirmed ? result.dead_ : result.self_suspected_;
        outcome.push_back(running.subject_);
    }
    for (auto const id : finished)
    {
        verifications_.erase(id);
    }
    if (verifications_.empty())
    {
        std::erase_if(samples_,
                      [now](auto const& entry) {
                          return now > entry.second.pinged_at_ + max_sample_age;
                      });
    }
    return result;
}

void failure_detector::record_sample(std::uint64_t id, time_point now)
{
    auto const [at, is_first] = samples_.try_emplace(id);
    if (!is_first)
    {
        at->second.was_previously_reached_ = at->second.is_reached();
    }
    at->second.pinged_at_ = now;
}

bool failure_detector::was_sampled_recently(std::uint64_t id,
                                            time_point now) const
{
    auto const at = samples_.find(id);
    return at != samples_.end() && now < at->second.pinged_at_ + sample_timeout;
}

reachability failure_detector::sampled_reachability(std::uint64_t subject,
                                                    time_point now) const
{
    reachability result;
    for (auto const& [id, entry] : samples_)
    {
        bool const is_recent = now < entry.pinged_at_ + max_sample_age;
        bool const is_pending =
            !entry.is_reached() && now < entry.pinged_at_ + sample_timeout;
        bool const is_known = !is_pending || entry.was_previously_reached_;
        if (id == subject || !is_recent || !is_known)
        {
            continue;
        }
        ++result.checked_;
        bool const was_reached =
            is_pending ? *entry.was_previously_reached_ : entry.is_reached();
        result.reached_ += was_reached ? 1 : 0;
    }
    return result;
}

send_action probe_relay::request(contact const& subject, endpoint const& from,
                                 time_point now)
{
    if (relays_.size() < max_relays)
    {
        relays_.push_back({subject.id_, from, now + relay_timeout});
    }
    return {subject.control_, ping_message{subject.id_}};
}

std::vector<send_action> probe_relay::mark_alive(std::uint64_t subject)
{
    std::vector<send_action> result;
    std::erase_if(
        relays_,
        [&](relay const& pending)
        {
            if (pending.subject_ != subject)
            {
                return false;
            }
            result.push_back({pending.from_, probe_answer{subject, true}});
            return true;
        });
    return result;
}

std::vector<send_action> probe_relay::tick(time_point now)
{
    std::vector<send_action> result;
    std::erase_if(relays_,
                  [&](relay const& pending)
                  {
                      if (now < pending.deadline_)
                      {
                          return false;
                      }
                      result.push_back({pending.from_,
                                        probe_answer{pending.subject_, false}});
                      return true;
                  });
    return result;
}

} // namespace daisytrail
