// A balancer's timers: probing, observing and verifying.
#include <daisytrail/membership.hpp>

#include <algorithm>
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
constexpr std::size_t small_fleet = 8;
constexpr std::size_t helpers = 3;
constexpr std::size_t samples = 3;
constexpr std::size_t told_of_end = 4;
constexpr std::size_t scan_parts = 80; // ticks for a scan of a large table
constexpr std::size_t min_scan = 64;

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
      confirmation_(static_cast<std::uint32_t>(random_seed)),
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
    health_.tick(now_, other_balancers() > 0, out_);
    ask_views();
    check_views();
    confirmation_.tick(now_, out_);
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
        for (auto const& peer : random_balancers(told_of_end))
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
    book_.try_adopt(organisation, at, std::move(value), "store", now, out_);
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
            health_.on_probe_sent(subject->id_, now_);
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
        health_.on_self_suspected(now_, out_);
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
