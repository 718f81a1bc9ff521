// Timers of balancer_membership: probes of balancers, observation of targets
// and verification of suspicions.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds probe_timeout{300};
// A balancer that sent a message within this time isn't probed.
constexpr milliseconds max_contact_age{1'000};
constexpr milliseconds sample_interval{250};
constexpr milliseconds cleanup_interval{10'000};
// Up to this number of balancers, all of them are sampled and two are probed at
// a time.
constexpr std::size_t small_fleet_size = 8;
constexpr std::size_t helper_count = 3;
constexpr std::size_t sample_size = 3;
// Balancers that are notified directly when this balancer stops.
constexpr std::size_t end_notification_fanout = 4;
constexpr std::size_t scan_ticks = 80;    // ticks of a scan of a large table
constexpr std::size_t min_scan_size = 64; // records per tick

} // namespace

balancer_membership::balancer_membership(target_record self,
                                         std::vector<endpoint> seeds,
                                         template_check check,
                                         std::uint64_t random_seed,
                                         membership_timing timing)
    : self_(std::move(self)), timing_(timing),
      templates_(std::move(check),
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
                         enqueue_gossip(*after);
                         offer_template_to_agents(*after);
                     }
                 }),
      confirmation_(static_cast<std::uint32_t>(random_seed)),
      random_(random_seed)
{
    self_.service_ = balancer_service;
    table_.merge(self_, now_);
    set_seeds(std::move(seeds));
}

void balancer_membership::add_listed_targets(
    std::vector<target_record> const& targets, time_point now)
{
    listed_.add(targets, table_, now);
}

std::vector<target_record const*> balancer_membership::targets_to_list() const
{
    std::vector<target_record const*> result;
    for (auto const& [id, entry] : table_.all())
    {
        auto const& record = entry.record_;
        if (record.service_ != balancer_service && may_own_flows(record.state_))
        {
            result.push_back(&record);
        }
    }
    for (auto const& [id, listed] : listed_.unknown())
    {
        if (table_.find(id) == nullptr)
        {
            result.push_back(&listed.record_);
        }
    }
    std::ranges::sort(result, {},
                      [](target_record const* record)
                      { return record->target_; });
    return result;
}

std::vector<control_action> balancer_membership::tick(time_point now)
{
    bool const was_paused =
        is_started_ && now > last_tick_at_ + timing_.pause_threshold_;
    now_ = now;
    last_tick_at_ = now;
    if (was_paused)
    {
        resume_after_pause();
    }
    if (!std::exchange(is_started_, true))
    {
        started_at_ = now;
    }
    for (auto& send : relay_.tick(now))
    {
        actions_.emplace_back(std::move(send));
    }
    check_probes();
    probe_balancers();
    scan_targets();
    suspect_silent_targets();
    sample_reachability();
    run_detector();
    health_.tick(now_, other_balancer_count() > 0, actions_);
    note_target_changes();
    seek_first_confirmation();
    send_view_questions();
    check_view_confirmation();
    confirmation_.tick(now_, actions_);
    gossip();
    start_anti_entropy();
    reconnect_lost_members();
    for (auto& ping : listed_.tick(table_, now_))
    {
        actions_.emplace_back(std::move(ping));
    }
    retry_pulls();
    remove_ended_members();
    templates_.tick(now, actions_);
    return std::exchange(actions_, {});
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
        for (auto const& peer : random_balancers(end_notification_fanout))
        {
            send(peer.control_, digest_message{0, {to_item(self_)}, false});
        }
    }
    return std::exchange(actions_, {});
}

std::vector<control_action>
balancer_membership::offer(std::string const& organisation,
                           template_version version, std::string value,
                           time_point now)
{
    now_ = now;
    templates_.try_adopt(organisation, version, std::move(value),
                         std::string(store_source), now, actions_);
    return std::exchange(actions_, {});
}

std::vector<control_action>
balancer_membership::adopt(template_received_action received, time_point now)
{
    now_ = now;
    templates_.adopt_received(std::move(received), now, actions_);
    return std::exchange(actions_, {});
}

std::vector<control_action>
balancer_membership::refuse(std::string const& organisation,
                            template_version version, std::string const& reason,
                            time_point now)
{
    now_ = now;
    templates_.refuse(organisation, version, reason, std::string(store_source),
                      now, actions_);
    return std::exchange(actions_, {});
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
        bool const is_earlier = id < self_.target_;
        slot += is_earlier && record.failure_domain_ == self_.failure_domain_;
        if (slot >= count)
        {
            return std::nullopt;
        }
    }
    return slot;
}

bool balancer_membership::restart_if_elapsed(time_point& last_run,
                                             duration interval) const
{
    if (now_ < last_run + interval)
    {
        return false;
    }
    last_run = now_;
    return true;
}

// Drops all suspicions and restarts the silence timeouts: a missing message
// proves nothing while this process was paused and received none.
void balancer_membership::resume_after_pause()
{
    detector_.reset();
    relay_.reset();
    probes_.clear();
    for (auto& [id, observed] : observations_)
    {
        observed.last_received_at_ = now_;
    }
    actions_.emplace_back(report_action{report_kind::paused, self_.name_});
}

std::optional<contact> balancer_membership::next_probe_subject()
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
        auto const last_received = last_received_at_.find(id);
        if (last_received == last_received_at_.end() ||
            now_ > last_received->second + max_contact_age)
        {
            return contact{id, record->control_};
        }
    }
    return std::nullopt;
}

void balancer_membership::probe_balancers()
{
    if (!restart_if_elapsed(last_probe_at_, timing_.probe_interval_))
    {
        return;
    }
    auto const count = table_.balancers().size() <= small_fleet_size ? 2 : 1;
    for (int i = 0; i < count; ++i)
    {
        if (auto const subject = next_probe_subject())
        {
            send(subject->control_, ping_message{subject->id_});
            health_.on_probe_sent(subject->id_, now_);
            probes_.push_back({*subject, now_});
        }
    }
}

// Suspects the balancers that didn't answer a probe in time.
void balancer_membership::check_probes()
{
    std::erase_if(probes_,
                  [this](probe const& pending)
                  {
                      auto const last_received =
                          last_received_at_.find(pending.subject_.id_);
                      if (last_received != last_received_at_.end() &&
                          last_received->second >= pending.sent_at_)
                      {
                          return true;
                      }
                      if (now_ < pending.sent_at_ + probe_timeout)
                      {
                          return false;
                      }
                      auto const* record = table_.find(pending.subject_.id_);
                      if (record != nullptr && may_own_flows(record->state_))
                      {
                          detector_.suspect(to_item(*record), record->control_,
                                            now_);
                      }
                      return true;
                  });
}

// Updates the observations of a part of the table per tick, so that a single
// tick stays short.
void balancer_membership::scan_targets()
{
    auto const& all = table_.all();
    auto remaining =
        std::min(all.size(), std::max(min_scan_size, all.size() / scan_ticks));
    auto at = all.lower_bound(next_scan_id_);
    for (; remaining > 0; --remaining, ++at)
    {
        if (at == all.end())
        {
            at = all.begin();
        }
        update_observation(at->second.record_);
    }
    next_scan_id_ = at == all.end() ? 0 : at->first;
}

// Starts or ends the observation of a target. Returns true if this balancer
// observes it.
bool balancer_membership::update_observation(target_record const& record)
{
    auto const id = record.target_;
    if (record.service_ == balancer_service || !may_own_flows(record.state_))
    {
        observations_.erase(id);
        return false;
    }
    auto const observers = table_.observers(id, timing_.observers_per_target_);
    if (std::ranges::find(observers, self_.target_) == observers.end())
    {
        observations_.erase(id);
        return false;
    }
    auto const [at, is_new] = observations_.try_emplace(id);
    if (is_new)
    {
        at->second.last_received_at_ = now_;
    }
    at->second.control_ = record.control_;
    return true;
}

void balancer_membership::suspect_silent_targets()
{
    for (auto const& [id, observed] : observations_)
    {
        auto const* record = table_.find(id);
        if (record != nullptr &&
            now_ > observed.last_received_at_ + timing_.silence_timeout_)
        {
            detector_.suspect(to_item(*record), record->control_, now_);
        }
    }
}

// Pings random balancers while a member is suspected, to find out whether this
// balancer is on the smaller side of a partition.
void balancer_membership::sample_reachability()
{
    if (detector_.empty() ||
        !restart_if_elapsed(last_sample_at_, sample_interval))
    {
        return;
    }
    auto const balancer_count = table_.balancers().size();
    for (auto const& other :
         random_balancers(balancer_count <= small_fleet_size ? small_fleet_size
                                                             : sample_size))
    {
        if (!detector_.was_sampled_recently(other.id_, now_))
        {
            detector_.record_sample(other.id_, now_);
            send(other.control_, ping_message{other.id_});
        }
    }
}

reachability balancer_membership::count_reachable(std::uint64_t subject) const
{
    auto result = detector_.sampled_reachability(subject, now_);
    for (auto const& [id, observed] : observations_)
    {
        if (id == subject)
        {
            continue;
        }
        ++result.checked_;
        bool const is_recent =
            now_ <= observed.last_received_at_ + timing_.silence_timeout_;
        result.reached_ += is_recent && !detector_.is_suspect(id) ? 1 : 0;
    }
    return result;
}

void balancer_membership::run_detector()
{
    auto result = detector_.tick(
        now_, [this](std::uint64_t id) { return choose_helpers(id); },
        [this](std::uint64_t id) { return count_reachable(id); });
    for (auto& send : result.sends_)
    {
        actions_.emplace_back(std::move(send));
    }
    for (auto const& subject : result.dead_)
    {
        declare_dead(subject);
    }
    if (!result.self_suspected_.empty())
    {
        health_.on_self_suspected(now_, actions_);
    }
}

void balancer_membership::declare_dead(item const& subject)
{
    auto dead = subject;
    dead.state_ = member_state::dead;
    if (table_.merge(dead, now_))
    {
        auto const& record = *table_.find(subject.id_);
        actions_.emplace_back(
            report_action{report_kind::member_dead, record.name_});
        propagate_change(record);
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
        bool const is_chosen =
            std::ranges::find(result, id, &contact::id_) != result.end();
        if (id != self_.target_ && !is_chosen && result.size() < count)
        {
            result.push_back({id, record->control_});
        }
    }
    return result;
}

std::vector<contact>
balancer_membership::random_observed_targets(std::size_t count,
                                             std::uint64_t excluded)
{
    std::vector<contact> all;
    for (auto const& [id, observed] : observations_)
    {
        if (id != excluded && !detector_.is_suspect(id))
        {
            all.push_back({id, observed.control_});
        }
    }
    std::vector<contact> result;
    std::ranges::sample(all, std::back_inserter(result),
                        static_cast<std::ptrdiff_t>(count), random_);
    return result;
}

// Chooses balancers first and at least one target, if there is one, because a
// target probes the subject over another network path.
std::vector<contact> balancer_membership::choose_helpers(std::uint64_t subject)
{
    auto result = random_balancers(helper_count + 1);
    std::erase_if(
        result, [&](contact const& other)
        { return other.id_ == subject || detector_.is_suspect(other.id_); });
    result.resize(std::min(result.size(), helper_count - 1));
    auto const observed_targets =
        random_observed_targets(helper_count - result.size(), subject);
    result.insert(result.end(), observed_targets.begin(),
                  observed_targets.end());
    return result;
}

void balancer_membership::remove_ended_members()
{
    if (!restart_if_elapsed(last_cleanup_at_, cleanup_interval))
    {
        return;
    }
    table_.remove_ended(now_ - timing_.tombstone_lifetime_);
    remove_old_contacts();
    std::erase_if(last_received_at_, [this](auto const& entry)
                  { return table_.find(entry.first) == nullptr; });
}

} // namespace daisytrail
