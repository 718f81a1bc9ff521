// Contacts with balancers outside the own view in balancer_membership. A fleet
// may split into parts that don't know each other: some balancers are replaced,
// and the new ones find none of the old ones.
#include <daisytrail/membership.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// New seeds and contacts are contacted more often for this long.
constexpr milliseconds new_contact_period{10'000};
// Time in which a contact that was found answers and sends what it knows.
constexpr milliseconds contact_answer_period{2'000};
// A contact that nobody has named for this long isn't contacted any more.
constexpr milliseconds contact_lifetime{60'000};
constexpr std::size_t max_found_contacts = 64;
// The contacts are read after the loss of one of so many balancers: after any
// loss in a small fleet. In a large fleet the balancers with the duty read them
// anyway, and calls to the store must not grow with the fleet.
constexpr std::size_t balancers_per_loss = 32;

} // namespace

void balancer_membership::set_seeds(std::vector<endpoint> seeds)
{
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.control_);
    early_reconnect_until_ = now_ + new_contact_period;
}

bool balancer_membership::has_lost_balancers() const
{
    return !lost_balancers_.empty() &&
           lost_balancers_.size() * balancers_per_loss >=
               table_.balancers().size();
}

bool balancer_membership::needs_contacts() const
{
    return !has_read_contacts_ || table_.balancers().size() < 2 ||
           has_lost_balancers();
}

void balancer_membership::note_balancer_change(target_record const& record)
{
    if (record.target_ == self_.target_)
    {
        return;
    }
    if (may_own_flows(record.state_))
    {
        lost_balancers_.erase(record.target_);
        return;
    }
    lost_balancers_.insert(record.target_);
    last_balancer_lost_at_ = now_;
}

bool balancer_membership::is_live_balancer_at(endpoint const& control) const
{
    return std::ranges::any_of(
        table_.balancers(),
        [&](std::uint64_t id) { return table_.find(id)->control_ == control; });
}

// Returns true if nobody has named this balancer before, and it isn't a member.
bool balancer_membership::remember_contact(endpoint const& control)
{
    auto const known =
        std::ranges::find(contacts_, control, &found_contact::control_);
    if (known != contacts_.end())
    {
        known->found_at_ = now_;
        return false;
    }
    if (control == self_.control_ || is_live_balancer_at(control))
    {
        return false;
    }
    if (contacts_.size() == max_found_contacts)
    {
        contacts_.erase(
            std::ranges::min_element(contacts_, {}, &found_contact::found_at_));
    }
    contacts_.push_back({control, now_});
    early_reconnect_until_ = now_ + new_contact_period;
    return true;
}

void balancer_membership::add_contacts(std::vector<endpoint> const& found,
                                       time_point now)
{
    now_ = std::max(now_, now);
    has_read_contacts_ = true;
    lost_balancers_.clear();
    for (auto const& control : found)
    {
        if (remember_contact(control))
        {
            contacts_settle_at_ = now_ + contact_answer_period;
            actions_.emplace_back(
                report_action{report_kind::contact_found, to_string(control)});
        }
    }
}

void balancer_membership::remove_old_contacts()
{
    std::erase_if(contacts_, [this](found_contact const& each)
                  { return now_ > each.found_at_ + contact_lifetime; });
}

// An agent that is observed by others answers a ping with its observers. They
// may be balancers of another part of the fleet.
void balancer_membership::on(heartbeat_ack const& message, endpoint const&)
{
    for (auto const& observer : message.observers_)
    {
        auto const* const known = table_.find(observer.id_);
        bool const is_unknown =
            observer.id_ != self_.target_ && known == nullptr;
        if (is_unknown && remember_contact(observer.control_))
        {
            contacts_settle_at_ = now_ + contact_answer_period;
            actions_.emplace_back(report_action{report_kind::contact_found,
                                                to_string(observer.control_)});
        }
    }
}

} // namespace daisytrail
