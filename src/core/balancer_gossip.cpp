// A balancer's spreading of changes and comparison of views.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds lonely_interval{200};
constexpr milliseconds meet_interval{5'000};
constexpr milliseconds start_time{30'000}; // as often as a lonely one
// A process that has just started has most to learn from comparisons.
constexpr milliseconds young_time{5'000};
constexpr milliseconds young_compare_interval{250};
constexpr milliseconds pull_interval{200};
constexpr int max_pulls = 3; // then the next comparison of views has to do
constexpr std::size_t gossip_fanout = 2;
constexpr std::size_t items_in_digest = 30;
constexpr int extra_rounds = 3; // of gossip, beyond the logarithm

} // namespace

void balancer_membership::make_hot(item const& value)
{
    auto const rounds =
        extra_rounds +
        static_cast<int>(std::bit_width(table_.balancers().size()));
    hot_[value.id_] = {value, rounds};
}

// Load pattern: after a loss of power every member is news at once. Templates
// go first, then what has been spread the least, so that none waits until
// others are done.
std::vector<balancer_membership::hot_map::iterator>
balancer_membership::freshest_changes(std::size_t count)
{
    std::vector<hot_map::iterator> result;
    result.reserve(hot_.size());
    for (auto at = hot_.begin(); at != hot_.end(); ++at)
    {
        result.push_back(at);
    }
    if (result.size() > count)
    {
        std::ranges::nth_element(
            result, result.begin() + static_cast<std::ptrdiff_t>(count),
            std::ranges::greater{},
            [](hot_map::iterator at)
            {
                bool const is_template =
                    at->second.first.kind_ == item_kind::organisation;
                return std::pair(is_template, at->second.second);
            });
        result.resize(count);
    }
    return result;
}

// Changes of templates go in a message of their own, which is sent even if
// those of members have used up the byte budget.
void balancer_membership::gossip()
{
    if (hot_.empty() || !due(gossiped_, timing_.gossip_))
    {
        return;
    }
    digest_message templates;
    digest_message members;
    for (auto const at : freshest_changes(items_in_digest))
    {
        auto const& value = at->second.first;
        auto& digest =
            value.kind_ == item_kind::organisation ? templates : members;
        digest.items_.push_back(value);
        if (--at->second.second <= 0)
        {
            hot_.erase(at);
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

void balancer_membership::compare_views()
{
    bool const is_young = now_ < start_ + young_time;
    if (!due(compared_, is_young ? young_compare_interval : timing_.compare_))
    {
        return;
    }
    for (auto const& peer : random_balancers(1))
    {
        send(peer.control_, digest_message{table_.tree().root(),
                                           book_.latest_revisions(), false});
    }
}

// Asks seeds and balancers that were declared dead, so that halves that were
// parted find each other again.
void balancer_membership::meet_lost()
{
    bool const early =
        table_.balancers().size() < 2 || now_ < start_ + start_time;
    if (!due(met_, early ? lonely_interval : meet_interval))
    {
        return;
    }
    auto const lost = lost_contacts();
    if (!lost.empty())
    {
        std::uniform_int_distribution<std::size_t> pick(0, lost.size() - 1);
        auto items = book_.latest_revisions();
        items.push_back(to_item(self_));
        send(lost[pick(random_)],
             digest_message{table_.tree().root(), std::move(items), false});
    }
}

std::vector<endpoint> balancer_membership::lost_contacts() const
{
    std::vector<endpoint> result = seeds_;
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

// Asks again for records whose request or answer was lost.
void balancer_membership::repeat_pulls()
{
    for (auto at = pulls_.begin(); at != pulls_.end();)
    {
        auto& [id, open] = *at;
        auto const* held = table_.find(id);
        bool const arrived = held != nullptr && held->version_ >= open.version_;
        bool const waiting = now_ < open.asked_ + pull_interval;
        if (arrived || (!waiting && open.attempts_ >= max_pulls))
        {
            at = pulls_.erase(at);
            continue;
        }
        if (!waiting)
        {
            open.asked_ = now_;
            ++open.attempts_;
            send(open.from_, pull_message{{id}});
        }
        ++at;
    }
}

} // namespace daisytrail
