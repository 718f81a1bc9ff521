// Gossip of changes, anti-entropy and reconnection in balancer_membership.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// Reconnection interval of a balancer that knows no other balancer or that
// started less than early_reconnect_period ago.
constexpr milliseconds early_reconnect_interval{200};
constexpr milliseconds reconnect_interval{5'000};
constexpr milliseconds early_reconnect_period{30'000};
// A balancer compares views more often right after its start, when its view
// lacks most.
constexpr milliseconds startup_period{5'000};
constexpr milliseconds startup_anti_entropy_interval{250};
constexpr milliseconds pull_retry_interval{200};
// After these attempts a missing record is left to anti-entropy.
constexpr int max_pull_attempts = 3;
constexpr std::size_t gossip_fanout = 2;
constexpr std::size_t max_digest_items = 30;
// Gossip rounds of a change beyond the logarithm of the number of balancers.
constexpr int extra_gossip_rounds = 3;

} // namespace

void balancer_membership::enqueue_gossip(item const& value)
{
    auto const rounds =
        extra_gossip_rounds +
        static_cast<int>(std::bit_width(table_.balancers().size()));
    pending_gossip_[value.id_] = {value, rounds};
}

// Selects templates first, then the changes that were gossiped least, so that
// no change waits until others have run all their rounds. Load pattern: after a
// loss of power the records of all members change at once.
std::vector<balancer_membership::pending_gossip_map::iterator>
balancer_membership::select_gossip(std::size_t count)
{
    std::vector<pending_gossip_map::iterator> result;
    result.reserve(pending_gossip_.size());
    for (auto at = pending_gossip_.begin(); at != pending_gossip_.end(); ++at)
    {
        result.push_back(at);
    }
    if (result.size() > count)
    {
        std::ranges::nth_element(
            result, result.begin() + static_cast<std::ptrdiff_t>(count),
            std::ranges::greater{},
            [](pending_gossip_map::iterator at)
            {
                bool const is_template =
                    at->second.first.kind_ == item_kind::organisation;
                return std::pair(is_template, at->second.second);
            });
        result.resize(count);
    }
    return result;
}

// Changes of templates are sent in a separate message, so that they pass even
// when changes of members have used up the byte budget.
void balancer_membership::gossip()
{
    if (pending_gossip_.empty() ||
        !restart_if_elapsed(last_gossip_at_, timing_.gossip_interval_))
    {
        return;
    }
    digest_message templates;
    digest_message members;
    for (auto const at : select_gossip(max_digest_items))
    {
        auto const& value = at->second.first;
        auto& digest =
            value.kind_ == item_kind::organisation ? templates : members;
        digest.items_.push_back(value);
        if (--at->second.second <= 0)
        {
            pending_gossip_.erase(at);
        }
    }
    for (auto const& peer : random_balancers(gossip_fanout))
    {
        if (!templates.items_.empty())
        {
            send(peer.control_, templates);
        }
        if (!members.items_.empty())
        {
            send(peer.control_, members);
        }
    }
}

// Sends the root hash of the view to a random balancer, which answers with its
// part of the hash tree if the hashes differ.
void balancer_membership::start_anti_entropy()
{
    bool const is_starting_up = now_ < started_at_ + startup_period;
    if (!restart_if_elapsed(last_anti_entropy_at_,
                            is_starting_up ? startup_anti_entropy_interval
                                           : timing_.anti_entropy_interval_))
    {
        return;
    }
    for (auto const& peer : random_balancers(1))
    {
        send(peer.control_,
             digest_message{table_.tree().root(), templates_.latest_versions(),
                            false});
    }
}

// Contacts a seed or a found contact that isn't a known live balancer, or a
// balancer that was declared dead, so that the parts of a fleet that was split
// merge again.
void balancer_membership::reconnect_lost_members()
{
    bool const is_early = table_.balancers().size() < 2 ||
                          now_ < started_at_ + early_reconnect_period ||
                          now_ < early_reconnect_until_;
    if (!restart_if_elapsed(last_reconnect_at_, is_early
                                                    ? early_reconnect_interval
                                                    : reconnect_interval))
    {
        return;
    }
    auto const lost = lost_endpoints();
    if (!lost.empty())
    {
        std::uniform_int_distribution<std::size_t> pick(0, lost.size() - 1);
        auto items = templates_.latest_versions();
        items.push_back(to_item(self_));
        send(lost[pick(random_)],
             digest_message{table_.tree().root(), std::move(items), false});
    }
}

std::vector<endpoint> balancer_membership::lost_endpoints() const
{
    std::vector<endpoint> result = seeds_;
    std::ranges::transform(contacts_, std::back_inserter(result),
                           &found_contact::control_);
    for (auto const id : table_.service_members(balancer_service))
    {
        auto const& record = *table_.find(id);
        if (may_own_flows(record.state_))
        {
            std::erase(result, record.control_);
        }
        else if (record.state_ == member_state::dead)
        {
            result.push_back(record.control_);
        }
    }
    return result;
}

// Retries requests for records whose request or answer was lost.
void balancer_membership::retry_pulls()
{
    for (auto at = pulls_.begin(); at != pulls_.end();)
    {
        auto& [id, pending] = *at;
        auto const* held = table_.find(id);
        bool const has_arrived =
            held != nullptr && held->version_ >= pending.version_;
        bool const is_waiting =
            now_ < pending.requested_at_ + pull_retry_interval;
        if (has_arrived ||
            (!is_waiting && pending.attempts_ >= max_pull_attempts))
        {
            at = pulls_.erase(at);
            continue;
        }
        if (!is_waiting)
        {
            pending.requested_at_ = now_;
            ++pending.attempts_;
            send(pending.from_, pull_message{{id}});
        }
        ++at;
    }
}

} // namespace daisytrail
