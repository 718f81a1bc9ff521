// Verification of suspicions and the helper's side of it.
#include <daisytrail/failure_detector.hpp>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds round_interval{250};
constexpr int rounds = 5;
// Time between two verifications of a member by an isolated process.
constexpr milliseconds isolated_wait{2'000};
constexpr milliseconds relay_timeout{200};
constexpr milliseconds sample_age_limit{3'000};
// A sampled member has this long to answer before it counts as unreached.
constexpr milliseconds sample_grace{250};
constexpr std::size_t max_relays = 64;

} // namespace

void failure_detector::suspect(item const& subject, endpoint const& control,
                               time_point now)
{
    auto const [at, fresh] = open_.try_emplace(subject.id_);
    if (fresh)
    {
        at->second.subject_ = subject;
        at->second.control_ = control;
        at->second.next_ = now;
    }
}

void failure_detector::heard(std::uint64_t subject, time_point now)
{
    open_.erase(subject);
    auto const at = samples_.find(subject);
    if (at != samples_.end())
    {
        at->second.answered_ = now;
    }
}

void failure_detector::answered(std::uint64_t helper,
                                probe_answer const& answer, time_point now)
{
    if (answer.alive_)
    {
        heard(answer.subject_, now);
        return;
    }
    auto const at = open_.find(answer.subject_);
    if (at != open_.end() && at->second.helpers_.contains(helper))
    {
        at->second.confirmed_.insert(helper);
    }
}

void failure_detector::reset()
{
    open_.clear();
    samples_.clear();
}

void failure_detector::run_round(verification& open, time_point now,
                                 helper_choice const& helpers,
                                 detector_result& result)
{
    ++open.round_;
    open.next_ = now + round_interval;
    auto const subject = open.subject_.id_;
    result.sends_.push_back({open.control_, ping_message{subject}});
    for (auto const& helper : helpers(subject))
    {
        open.helpers_.insert(helper.id_);
        result.sends_.push_back(
            {helper.control_, probe_request{{subject, open.control_}}});
    }
}

// An isolated process that verifies all others again and again would use up its
// byte budget, and couldn't answer or ask anybody once it is reached again.
void failure_detector::verify_later(verification& open, time_point now)
{
    open.round_ = 0;
    open.next_ = now + isolated_wait;
    open.helpers_.clear();
    open.confirmed_.clear();
}

detector_result failure_detector::tick(time_point now,
                                       helper_choice const& helpers,
                                       reach_count const& reach)
{
    detector_result result;
    std::vector<std::uint64_t> ended;
    for (auto& [id, open] : open_)
    {
        if (now < open.next_)
        {
            continue;
        }
        if (open.round_ < rounds)
        {
            run_round(open, now, helpers, result);
            continue;
        }
        if (!reach(id).is_majority())
        {
            result.self_suspected_.push_back(open.subject_);
            verify_later(open, now);
            continue;
        }
        ended.push_back(id);
        bool const confirmed =
            open.helpers_.empty() || !open.confirmed_.empty();
        auto& verdict = confirmed ? result.dead_ : result.self_suspected_;
        verdict.push_back(open.subject_);
    }
    for (auto const id : ended)
    {
        open_.erase(id);
    }
    if (open_.empty())
    {
        std::erase_if(samples_, [now](auto const& entry)
                      { return now > entry.second.asked_ + sample_age_limit; });
    }
    return result;
}

void failure_detector::sampled(std::uint64_t id, time_point now)
{
    auto const [at, is_first] = samples_.try_emplace(id);
    if (!is_first)
    {
        at->second.was_reached_ = at->second.is_reached();
    }
    at->second.asked_ = now;
}

bool failure_detector::was_sampled(std::uint64_t id, time_point now) const
{
    auto const at = samples_.find(id);
    return at != samples_.end() && now < at->second.asked_ + sample_grace;
}

reachability failure_detector::sample(std::uint64_t subject,
                                      time_point now) const
{
    reachability result;
    for (auto const& [id, entry] : samples_)
    {
        bool const recent = now < entry.asked_ + sample_age_limit;
        bool const waiting =
            !entry.is_reached() && now < entry.asked_ + sample_grace;
        bool const is_known = !waiting || entry.was_reached_;
        if (id == subject || !recent || !is_known)
        {
            continue;
        }
        ++result.checked_;
        bool const reached = waiting ? *entry.was_reached_ : entry.is_reached();
        result.reached_ += reached ? 1 : 0;
    }
    return result;
}

send_action probe_relay::request(contact const& subject, endpoint const& from,
                                 time_point now)
{
    if (open_.size() < max_relays)
    {
        open_.push_back({subject.id_, from, now + relay_timeout});
    }
    return {subject.control_, ping_message{subject.id_}};
}

std::vector<send_action> probe_relay::heard(std::uint64_t subject)
{
    std::vector<send_action> result;
    std::erase_if(
        open_,
        [&](pending const& open)
        {
            if (open.subject_ != subject)
            {
                return false;
            }
            result.push_back({open.from_, probe_answer{subject, true}});
            return true;
        });
    return result;
}

std::vector<send_action> probe_relay::tick(time_point now)
{
    std::vector<send_action> result;
    std::erase_if(
        open_,
        [&](pending const& open)
        {
            if (now < open.deadline_)
            {
                return false;
            }
            result.push_back({open.from_, probe_answer{open.subject_, false}});
            return true;
        });
    return result;
}

} // namespace daisytrail
