// View confirmation in balancer_membership: questions to other balancers about
// the targets that they know, and answers to such questions.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisytrail
{

namespace
{

// Number of random balancers from which the peers to ask are chosen.
constexpr std::size_t question_candidates = 12;

} // namespace

std::vector<control_action> balancer_membership::confirm_view(time_point now)
{
    now_ = std::max(now_, now);
    if (other_balancer_count() > 0)
    {
        confirmation_.request_confirmation(now_);
        send_view_questions();
    }
    else if (is_settled())
    {
        actions_.emplace_back(
            view_confirmed_action{confirmation_.confirm_without_peers(now_)});
    }
    return std::exchange(actions_, {});
}

void balancer_membership::send_view_questions()
{
    if (!confirmation_.is_due(now_))
    {
        return;
    }
    std::vector<std::uint64_t> candidates;
    for (auto const& peer : random_balancers(question_candidates))
    {
        candidates.push_back(peer.id_);
    }
    auto const peers =
        confirmation_.choose_peers(table_, self_.failure_domain_, candidates);
    for (auto const peer : peers)
    {
        send(table_.find(peer)->control_,
             view_question{confirmation_.round(), table_.targets_hash()});
    }
    confirmation_.record_questions(peers, now_);
}

void balancer_membership::check_view_confirmation()
{
    auto const as_of =
        confirmation_.check(table_, other_balancer_count(), now_);
    if (as_of)
    {
        if (*as_of >= last_balancer_lost_at_)
        {
            lost_balancers_.clear();
        }
        actions_.emplace_back(view_confirmed_action{*as_of});
    }
}

// A balancer that has just started, that has just read of targets which it
// doesn't know, or that most other members don't answer, may not know all
// targets and can't confirm a view. Agreement with peers that are as young as
// it is proves nothing: they may all lack the same target.
bool balancer_membership::is_settled() const
{
    bool const waits_for_targets =
        !listed_.unknown().empty() &&
        now_ < listed_.last_listed_at() + settling_period;
    return is_started_ && now_ >= started_at_ + settling_period &&
           !waits_for_targets && !health_.suspects_self() &&
           has_evidence_of_targets() && has_evidence_of_balancers();
}

// True if a target that this balancer doesn't know would be known to a balancer
// that has confirmed its view, or has had the time to announce itself.
bool balancer_membership::has_evidence_of_targets() const
{
    if (confirmation_.confirmed_as_of())
    {
        return true;
    }
    bool const awaits_list = uses_store_ && !listed_.has_list();
    bool const is_quiet =
        now_ >= targets_changed_at_ + announcement_quiet_period ||
        now_ >= started_at_ + max_announcement_period;
    return !awaits_list && is_quiet &&
           now_ >= started_at_ + announcement_period;
}

void balancer_membership::note_target_changes()
{
    if (std::exchange(noted_targets_hash_, table_.targets_hash()) !=
        table_.targets_hash())
    {
        targets_changed_at_ = now_;
    }
}

// True unless balancers may run that neither this one nor its peers know. After
// balancers were replaced, the fleet may have split into parts that don't know
// each other; a target may be known in the other part only.
bool balancer_membership::has_evidence_of_balancers() const
{
    bool const has_read =
        has_read_contacts_ || confirmation_.confirmed_as_of().has_value();
    return !uses_store_ ||
           (has_read && !has_lost_balancers() && now_ >= contacts_settle_at_);
}

// Asks for a confirmation that no search needs yet, so that a balancer that was
// restarted beside others soon confirms views itself.
void balancer_membership::seek_first_confirmation()
{
    bool const is_due = now_ >= started_at_ + settling_period &&
                        now_ < started_at_ + announcement_period;
    if (is_due && !confirmation_.confirmed_as_of() &&
        other_balancer_count() > 0)
    {
        confirmation_.start_round(now_);
    }
}

std::size_t balancer_membership::other_balancer_count() const
{
    auto const& all = table_.balancers();
    bool const includes_self = std::ranges::binary_search(all, self_.target_);
    return all.size() - (includes_self ? 1 : 0);
}

// Starts a comparison of the whole views only if the listed targets don't
// account for the difference of the hashes.
void balancer_membership::on(view_question const& message, endpoint const& from)
{
    view_answer answer{message.round_, table_.targets_hash(), is_settled(), {}};
    auto const difference = message.targets_hash_ ^ answer.targets_hash_;
    if (difference == 0)
    {
        send(from, std::move(answer));
        return;
    }
    answer.latest_changes_ = table_.latest_targets();
    answer.latest_changes_.resize(
        std::min(answer.latest_changes_.size(), max_targets_in_answer));
    std::vector<std::uint64_t> listed_hashes;
    std::ranges::transform(answer.latest_changes_,
                           std::back_inserter(listed_hashes), hash_identifier);
    send(from, std::move(answer));
    if (!is_xor_of_subset(difference, listed_hashes))
    {
        send(from, tree_message{1, 0, table_.tree().children(1, 0)});
    }
}

void balancer_membership::on(view_answer const& message, endpoint const& from)
{
    if (!confirmation_.record_answer(sender_, message))
    {
        return;
    }
    pull_message request;
    for (auto const id : message.latest_changes_)
    {
        if (table_.find(id) == nullptr &&
            pulls_.try_emplace(id, pull{{}, from, now_, 1}).second)
        {
            request.ids_.push_back(id);
        }
    }
    if (!request.ids_.empty())
    {
        send(from, std::move(request));
    }
}

} // namespace daisytrail
