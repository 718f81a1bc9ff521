// A balancer's timers: probing, observing, gossip and comparison of views.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds probe_timeout{300};
constexpr milliseconds fresh_contact{1'000}; // heard since: no probe is needed
constexpr milliseconds sample_interval{250};
constexpr milliseconds forget_interval{10'000};
constexpr milliseconds lonely_interval{200};
constexpr milliseconds meet_interval{5'000};
constexpr milliseconds start_time{30'000}; // as often as a lonely one
// A process that has just started has most to learn from comparisons.
constexpr milliseconds young_time{5'000};
constexpr milliseconds young_compare_interval{250};
constexpr milliseconds pull_interval{200};
constexpr int max_pulls = 3; // then the next comparison of views has to do
constexpr std::size_t small_fleet = 8;
constexpr std::size_t helpers = 3;
constexpr std::size_t samples = 3;
constexpr std::size_t gossip_fanout = 2;
constexpr std::size_t items_in_digest = 30;
constexpr std::size_t scan_parts = 80; // ticks for a scan of a large table
constexpr std::size_t min_scan = 64;
constexpr int extra_rounds = 3; // of gossip, beyond the logarithm

} // namespace

balancer_membership::balancer_membership(target_record self,
                                         std::vector<endpoint> const& seeds,
                                         template_check check,
                                         std::uint64_t random_seed,
                                         membership_timing timing)
    : self_(std::move(self)), timing_(timing),
      book_(std::move(check),
            [this](std::optional<item> const& before,
                   std::optional<item> const& after)
            {
                if (before)
                {
                    table_.toggle(*before);
                }
                if (after)
                {
                    table_.toggle(*after);
                    make_hot(*after);
                    offer_to_observed(*after);
                }
            }),
      random_(random_seed)
{
    self_.service_ = balancer_service;
    table_.merge(self_, now_);
    add_seeds(seeds);
}

void balancer_membership::add_seeds(std::vector<endpoint> const& seeds)
{
    for (auto const& seed : seeds)
    {
        if (seed != self_.control_ &&
            std::ranges::find(seeds_, seed) == seeds_.end())
        {
            seeds_.push_back(seed);
        }
    }
}

std::vector<control_action> balancer_membership::tick(time_point now)
{
    bool const paused = started_ && now > ticked_ + timing_.pause_;
    now_ = now;
    ticked_ = now;
    if (paused)
    {
        resume_after_pause();
    }
    if (!std::exchange(started_, true))
    {
        start_ = now;
    }
    for (auto& send : relay_.tick(now))
    {
        out_.emplace_back(std::move(send));
    }
    check_probes();
    probe_balancers();
    scan_targets();
    watch_silence();
    sample_others();
    run_detector();
    health_.tick(now_, table_.balancers().size() > 1, out_);
    gossip();
    compare_views();
    meet_lost();
    repeat_pulls();
    forget_ended();
    book_.tick(now, out_);
    return std::exchange(out_, {});
}

std::vector<control_action> balancer_membership::publish(member_state state,
                                                         time_point now)
{
    now_ = now;
    self_.state_ = state;
    ++self_.version_.sequence_;
    merge(self_);
    if (!may_own_flows(state))
    {
        for (auto const& peer : random_balancers(2 * gossip_fanout))
        {
            send(peer.control_, digest_message{0, {to_item(self_)}, false});
        }
    }
    return std::exchange(out_, {});
}

std::vector<control_action>
balancer_membership::offer(std::string const& organisation, revision at,
                           std::string value, time_point now)
{
    now_ = now;
    book_.offer(organisation, at, std::move(value), "store", now, out_);
    return std::exchange(out_, {});
}

bool balancer_membership::has_duty(std::uint64_t duty, std::size_t count) const
{
    auto const holders = table_.observers(duty, count);
    return std::ranges::find(holders, self_.target_) != holders.end();
}

std::optional<std::size_t>
balancer_membership::contact_slot(std::size_t count) const
{
    std::size_t slot = 0;
    for (auto const id : table_.balancers())
    {
        auto const& record = *table_.find(id);
        bool const before = id < self_.target_;
        slot += before && record.failure_domain_ == self_.failure_domain_;
        if (slot >= count)
        {
            return std::nullopt;
        }
    }
    return slot;
}

bool balancer_membership::due(time_point& last, duration interval) const
{
    if (now_ < last + interval)
    {
        return false;
    }
    last = now_;
    return true;
}

// What this process didn't hear while it stood still proves nothing.
void balancer_membership::resume_after_pause()
{
    detector_.reset();
    relay_.reset();
    probes_.clear();
    for (auto& [id, watched] : observed_)
    {
        watched.heard_ = now_;
    }
    out_.emplace_back(report_action{report_kind::paused, self_.name_});
}

std::optional<contact> balancer_membership::next_probe()
{
    if (probe_order_.empty())
    {
        probe_order_ = table_.balancers();
        std::ranges::shuffle(probe_order_, random_);
    }
    while (!probe_order_.empty())
    {
        auto const id = probe_order_.back();
        probe_order_.pop_back();
        auto const* record = table_.find(id);
        if (id == self_.target_ || record == nullptr ||
            !may_own_flows(record->state_) || detector_.is_suspect(id))
        {
            continue;
        }
        auto const heard = heard_.find(id);
        if (heard == heard_.end() || now_ > heard->second + fresh_contact)
        {
            return contact{id, record->control_};
        }
    }
    return std::nullopt;
}

void balancer_membership::probe_balancers()
{
    if (!due(probed_, timing_.probe_))
    {
        return;
    }
    auto const count = table_.balancers().size() <= small_fleet ? 2 : 1;
    for (int i = 0; i < count; ++i)
    {
        if (auto const subject = next_probe())
        {
            send(subject->control_, ping_message{subject->id_});
            health_.pinged(subject->id_, now_);
            probes_.push_back({*subject, now_});
        }
    }
}

void balancer_membership::check_probes()
{
    std::erase_if(probes_,
                  [this](probe const& open)
                  {
                      auto const heard = heard_.find(open.subject_.id_);
                      if (heard != heard_.end() && heard->second >= open.sent_)
                      {
                          return true;
                      }
                      if (now_ < open.sent_ + probe_timeout)
                      {
                          return false;
                      }
                      auto const* record = table_.find(open.subject_.id_);
                      if (record != nullptr && may_own_flows(record->state_))
                      {
                          detector_.suspect(to_item(*record), record->control_,
                                            now_);
                      }
                      return true;
                  });
}

// Takes a part of the table at each tick, so that one tick stays short.
void balancer_membership::scan_targets()
{
    auto const& all = table_.all();
    auto left =
        std::min(all.size(), std::max(min_scan, all.size() / scan_parts));
    auto at = all.lower_bound(scanned_);
    for (; left > 0; --left, ++at)
    {
        if (at == all.end())
        {
            at = all.begin();
        }
        observe(at->second.record_);
    }
    scanned_ = at == all.end() ? 0 : at->first;
}

bool balancer_membership::observe(target_record const& record)
{
    auto const id = record.target_;
    if (record.service_ == balancer_service || !may_own_flows(record.state_))
    {
        observed_.erase(id);
        return false;
    }
    auto const observers = table_.observers(id, timing_.observers_);
    if (std::ranges::find(observers, self_.target_) == observers.end())
    {
        observed_.erase(id);
        return false;
    }
    auto const [at, fresh] = observed_.try_emplace(id);
    if (fresh)
    {
        at->second.heard_ = now_;
    }
    at->second.control_ = record.control_;
    return true;
}

void balancer_membership::watch_silence()
{
    for (auto const& [id, watched] : observed_)
    {
        auto const* record = table_.find(id);
        if (record != nullptr && now_ > watched.heard_ + timing_.silence_)
        {
            detector_.suspect(to_item(*record), record->control_, now_);
        }
    }
}

// Finds out whether this side of a partition is the smaller one.
void balancer_membership::sample_others()
{
    if (detector_.empty() || !due(sampled_, sample_interval))
    {
        return;
    }
    auto const known = table_.balancers().size();
    for (auto const& other :
         random_balancers(known <= small_fleet ? small_fleet : samples))
    {
        if (!detector_.was_sampled(other.id_, now_))
        {
            detector_.sampled(other.id_, now_);
            send(other.control_, ping_message{other.id_});
        }
    }
}

reachability balancer_membership::count_reachable(std::uint64_t subject) const
{
    auto result = detector_.sample(subject, now_);
    for (auto const& [id, watched] : observed_)
    {
        if (id == subject)
        {
            continue;
        }
        ++result.checked_;
        bool const fresh = now_ <= watched.heard_ + timing_.silence_;
        result.reached_ += fresh && !detector_.is_suspect(id) ? 1 : 0;
    }
    return result;
}

void balancer_membership::run_detector()
{
    auto result = detector_.tick(
        now_, [this](std::uint64_t id) { return helpers_for(id); },
        [this](std::uint64_t id) { return count_reachable(id); });
    for (auto& send : result.sends_)
    {
        out_.emplace_back(std::move(send));
    }
    for (auto const& subject : result.dead_)
    {
        declare_dead(subject);
    }
    if (!result.self_suspected_.empty())
    {
        health_.suspected_self(now_, out_);
    }
}

void balancer_membership::declare_dead(item const& subject)
{
    auto dead = subject;
    dead.state_ = member_state::dead;
    if (table_.merge(dead, now_))
    {
        auto const& record = *table_.find(subject.id_);
        out_.emplace_back(
            report_action{report_kind::member_dead, record.name_});
        changed(record);
    }
}

std::vector<contact> balancer_membership::random_balancers(std::size_t count)
{
    auto const& all = table_.balancers();
    std::vector<contact> result;
    if (all.size() < 2)
    {
        return result;
    }
    std::vector<std::uint64_t> ids;
    if (all.size() <= 4 * count)
    {
        ids = all;
        std::ranges::shuffle(ids, random_);
    }
    else
    {
        std::uniform_int_distribution<std::size_t> pick(0, all.size() - 1);
        for (std::size_t i = 0; i < 2 * count; ++i)
        {
            ids.push_back(all[pick(random_)]);
        }
    }
    for (auto const id : ids)
    {
        auto const* record = table_.find(id);
        bool const repeated =
            std::ranges::find(result, id, &contact::id_) != result.end();
        if (id != self_.target_ && !repeated && result.size() < count)
        {
            result.push_back({id, record->control_});
        }
    }
    return result;
}

std::vector<contact> balancer_membership::random_observed(std::size_t count,
                                                          std::uint64_t except)
{
    std::vector<contact> all;
    for (auto const& [id, watched] : observed_)
    {
        if (id != except && !detector_.is_suspect(id))
        {
            all.push_back({id, watched.control_});
        }
    }
    std::vector<contact> result;
    std::ranges::sample(all, std::back_inserter(result),
                        static_cast<std::ptrdiff_t>(count), random_);
    return result;
}

// Balancers first; at least one target, which sees the subject from another
// place.
std::vector<contact> balancer_membership::helpers_for(std::uint64_t subject)
{
    auto result = random_balancers(helpers + 1);
    std::erase_if(
        result, [&](contact const& other)
        { return other.id_ == subject || detector_.is_suspect(other.id_); });
    result.resize(std::min(result.size(), helpers - 1));
    auto const more = random_observed(helpers - result.size(), subject);
    result.insert(result.end(), more.begin(), more.end());
    return result;
}

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
        send(peer.control_,
             digest_message{table_.tree().root(), book_.latest_news(), false});
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
        auto items = book_.latest_news();
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

void balancer_membership::forget_ended()
{
    if (!due(forgotten_, forget_interval))
    {
        return;
    }
    table_.forget(now_ - timing_.tombstone_);
    std::erase_if(heard_, [this](auto const& entry)
                  { return table_.find(entry.first) == nullptr; });
}

} // namespace daisytrail
