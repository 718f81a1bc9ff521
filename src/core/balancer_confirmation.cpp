// A balancer's questions and answers on the targets that are known.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisytrail
{

namespace
{

// Random balancers among which those to ask are chosen.
constexpr std::size_t candidates_for_questions = 12;

} // namespace

std::vector<control_action> balancer_membership::confirm_view(time_point now)
{
    now_ = std::max(now_, now);
    if (other_balancers() > 0)
    {
        confirmation_.want(now_);
        ask_views();
    }
    else if (is_settled())
    {
        out_.emplace_back(
            view_confirmed_action{confirmation_.confirm_alone(now_)});
    }
    return std::exchange(out_, {});
}

void balancer_membership::ask_views()
{
    if (!confirmation_.is_due(now_))
    {
        return;
    }
    std::vector<std::uint64_t> candidates;
    for (auto const& peer : random_balancers(candidates_for_questions))
    {
        candidates.push_back(peer.id_);
    }
    auto const peers =
        confirmation_.choose(table_, self_.failure_domain_, candidates);
    for (auto const peer : peers)
    {
        send(table_.find(peer)->control_,
             view_question{confirmation_.round(), table_.targets_hash()});
    }
    confirmation_.asked(peers, now_);
}

void balancer_membership::check_views()
{
    auto const as_of = confirmation_.check(table_, other_balancers(), now_);
    if (as_of)
    {
        out_.emplace_back(view_confirmed_action{*as_of});
    }
}

// A process that has just started, or whom most others don't answer, knows too
// little to confirm a view.
bool balancer_membership::is_settled() const
{
    return started_ && now_ >= start_ + settling_time &&
           !health_.suspects_self();
}

std::size_t balancer_membership::other_balancers() const
{
    auto const& all = table_.balancers();
    bool const counts_self = std::ranges::binary_search(all, self_.target_);
    return all.size() - (counts_self ? 1 : 0);
}

// The comparison of whole views begins only if the named targets don't explain
// the difference.
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
        std::min(answer.latest_changes_.size(), targets_in_answer));
    std::vector<std::uint64_t> named;
    std::ranges::transform(answer.latest_changes_, std::back_inserter(named),
                           hash_identifier);
    send(from, std::move(answer));
    if (!is_sum_of(difference, named))
    {
        send(from, tree_message{1, 0, table_.tree().children(1, 0)});
    }
}

void balancer_membership::on(view_answer const& message, endpoint const& from)
{
    if (!confirmation_.answered(sender_, message))
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
