// An agent's heartbeats to its observers, and its view of its service.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// Time between two heartbeats to an observer that hasn't acknowledged the
// latest version, and to seeds and former observers while the agent has none.
constexpr duration retransmission_interval = milliseconds(250);
constexpr milliseconds observer_timeout{3'000};
constexpr milliseconds cleanup_interval{10'000};
constexpr std::size_t contact_fanout = 3;
// Enough that one of them runs while balancers are replaced one by one.
constexpr std::size_t max_known_balancers = 16;
constexpr std::size_t max_message_records = 7;
constexpr std::size_t max_observers = 8;

} // namespace

agent_announcer::agent_announcer(target_record self,
                                 std::string const& organisation,
                                 std::vector<endpoint> seeds,
                                 template_check check,
                                 std::uint64_t random_seed,
                                 membership_timing timing)
    : self_(std::move(self)),
      organisation_(organisation.empty() ? 0 : hash_name(organisation)),
      timing_(timing), templates_(std::move(check)), random_(random_seed),
      seeds_(std::move(seeds))
{
    templates_.restrict_to(organisation_);
}

std::vector<control_action> agent_announcer::tick(time_point now)
{
    if (is_started_ && now > last_tick_at_ + timing_.pause_threshold_)
    {
        relay_.reset();
        for (auto& current : observers_)
        {
            current.acknowledged_at_ = now;
        }
        actions_.emplace_back(report_action{report_kind::paused, self_.name_});
    }
    now_ = now;
    last_tick_at_ = now;
    for (auto& send : relay_.tick(now))
    {
        actions_.emplace_back(std::move(send));
    }
    bool const has_no_observers = observers_.empty();
    auto const interval = has_no_observers ? retransmission_interval
                                           : timing_.heartbeat_interval_;
    if (!is_started_ || now >= last_announced_at_ + interval)
    {
        announce();
    }
    else if (now >= last_retransmission_at_ + retransmission_interval)
    {
        retransmit_announcement();
    }
    is_started_ = true;
    remove_ended_peers();
    templates_.tick(now, actions_);
    return std::exchange(actions_, {});
}

std::vector<control_action>
agent_announcer::receive(time_point now, endpoint const& from,
                         std::uint64_t sender, control_message const& message)
{
    now_ = std::max(now_, now);
    sender_ = sender;
    std::visit([&](auto const& body) { on(body, from); }, message);
    return std::exchange(actions_, {});
}

std::vector<control_action>
agent_announcer::publish(target_status const& status, time_point now)
{
    now_ = now;
    self_.slots_ = status.slots_;
    self_.connections_ = status.connections_;
    self_.weight_ = std::max(1U, status.weight_);
    self_.state_ = status.state_;
    ++self_.version_.sequence_;
    announce();
    return std::exchange(actions_, {});
}

void agent_announcer::announce()
{
    last_announced_at_ = now_;
    last_retransmission_at_ = now_;
    std::erase_if(observers_,
                  [this](observer const& current) {
                      return now_ > current.acknowledged_at_ + observer_timeout;
                  });
    auto const message = make_heartbeat();
    for (auto const& current : observers_)
    {
        send(current.contact_.control_, message);
    }
    if (observers_.empty())
    {
        for (auto const& contact : choose_contacts())
        {
            send(contact, message);
        }
    }
}

// Chooses most contacts among the seeds, which the settings keep current. The
// former observers may all be gone, and outnumber the seeds.
std::vector<endpoint> agent_announcer::choose_contacts()
{
    std::vector<endpoint> known;
    std::ranges::copy_if(
        known_balancers_, std::back_inserter(known),
        [this](endpoint const& each)
        { return std::ranges::find(seeds_, each) == seeds_.end(); });
    auto const seed_count = known.empty() ? contact_fanout : contact_fanout - 1;
    std::vector<endpoint> chosen;
    std::ranges::sample(seeds_, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(seed_count), random_);
    std::ranges::sample(
        known, std::back_inserter(chosen),
        static_cast<std::ptrdiff_t>(contact_fanout - chosen.size()), random_);
    return chosen;
}

void agent_announcer::set_seeds(std::vector<endpoint> seeds)
{
    seeds_ = std::move(seeds);
}

void agent_announcer::remember_balancer(endpoint const& control)
{
    std::erase(known_balancers_, control);
    known_balancers_.push_back(control);
    if (known_balancers_.size() > max_known_balancers)
    {
        known_balancers_.erase(known_balancers_.begin());
    }
}

// Sends the heartbeat again to the observers that haven't acknowledged the
// latest version.
void agent_announcer::retransmit_announcement()
{
    last_retransmission_at_ = now_;
    for (auto const& current : observers_)
    {
        if (current.version_ != self_.version_)
        {
            send(current.contact_.control_, make_heartbeat());
        }
    }
}

heartbeat_message agent_announcer::make_heartbeat() const
{
    auto const held = templates_.find(organisation_);
    return {self_, organisation_, held ? held->version_.incarnation_ : 0,
            peers_.service_hash(self_.service_, self_.target_),
            observers_hash()};
}

std::uint64_t agent_announcer::observers_hash() const
{
    std::uint64_t hash = 0;
    for (auto const& current : observers_)
    {
        hash ^= current.contact_.id_;
    }
    return hash;
}

void agent_announcer::send(endpoint const& to, control_message message)
{
    actions_.emplace_back(send_action{to, std::move(message)});
}

// An agent without observers also announces itself to the sender: it may know
// no running balancer, and a balancer knows it from the stored list.
void agent_announcer::on(ping_message const& message, endpoint const& from)
{
    if (message.subject_ != self_.target_)
    {
        return;
    }
    send(from, pong_message{to_item(self_)});
    if (observers_.empty())
    {
        send(from, make_heartbeat());
        return;
    }
    bool const is_observer = std::ranges::find(observers_, sender_,
                                               [](observer const& value) {
                                                   return value.contact_.id_;
                                               }) != observers_.end();
    if (!is_observer)
    {
        send_observers(from);
    }
}

// Names the observers to a balancer that isn't one of them. It may belong to a
// part of the fleet that doesn't know them.
void agent_announcer::send_observers(endpoint const& to)
{
    heartbeat_ack message;
    message.known_ = to_item(self_);
    std::ranges::transform(observers_, std::back_inserter(message.observers_),
                           &observer::contact_);
    send(to, std::move(message));
}

void agent_announcer::on(pong_message const&, endpoint const&)
{
    for (auto& send : relay_.mark_alive(sender_))
    {
        actions_.emplace_back(std::move(send));
    }
}

void agent_announcer::on(probe_request const& message, endpoint const& from)
{
    actions_.emplace_back(relay_.request(message.subject_, from, now_));
}

void agent_announcer::on(digest_message const& message, endpoint const& from)
{
    pull_message pull;
    for (auto const& theirs : message.items_)
    {
        if (theirs.kind_ == item_kind::organisation)
        {
            templates_.on_offer(theirs, from, now_, actions_);
            continue;
        }
        auto const* mine = peers_.find(theirs.id_);
        if (theirs.id_ == self_.target_ ||
            (mine != nullptr && mine->version_ > theirs.version_))
        {
            continue;
        }
        bool const needs_body =
            mine == nullptr || mine->version_ != theirs.version_;
        if (needs_body && may_own_flows(theirs.state_))
        {
            pull.ids_.push_back(theirs.id_);
        }
        else if (peers_.merge(theirs, now_))
        {
            actions_.emplace_back(member_action{*peers_.find(theirs.id_)});
        }
    }
    if (!pull.ids_.empty())
    {
        send(from, std::move(pull));
    }
    if (!message.complete_)
    {
        return;
    }
    // Sends the peers that a balancer doesn't list: one that has just started
    // may not know them.
    digest_message unknown;
    for (auto const& [id, entry] : peers_.all())
    {
        bool const is_listed =
            std::ranges::find(message.items_, id, &item::id_) !=
            message.items_.end();
        if (!is_listed && may_own_flows(entry.record_.state_))
        {
            unknown.items_.push_back(to_item(entry.record_));
        }
    }
    if (!unknown.items_.empty())
    {
        send(from, std::move(unknown));
    }
}

void agent_announcer::on(pull_message const& message, endpoint const& from)
{
    records_message answer;
    for (auto const id : message.ids_)
    {
        auto const* record = id == self_.target_ ? &self_ : peers_.find(id);
        if (record != nullptr && answer.records_.size() < max_message_records)
        {
            answer.records_.push_back(*record);
        }
    }
    if (!answer.records_.empty())
    {
        send(from, std::move(answer));
    }
}

void agent_announcer::on(records_message const& message, endpoint const&)
{
    for (auto const& record : message.records_)
    {
        merge(record);
    }
}

void agent_announcer::merge(target_record const& record)
{
    if (record.target_ == self_.target_)
    {
        return;
    }
    // A peer that moved to another service counts as left.
    auto updated = record;
    if (record.service_ != self_.service_)
    {
        if (peers_.find(record.target_) == nullptr)
        {
            return;
        }
        updated.service_ = self_.service_;
        updated.state_ = member_state::left;
    }
    if (peers_.merge(updated, now_))
    {
        actions_.emplace_back(member_action{updated});
    }
}

void agent_announcer::on(heartbeat_ack const& message, endpoint const&)
{
    auto const& known = message.known_;
    if (known.id_ != self_.target_)
    {
        return;
    }
    if (known.version_ > self_.version_ ||
        (known.version_ == self_.version_ && known.state_ > self_.state_))
    {
        refute(known.version_);
    }
    if (known.version_ == self_.version_ && known.state_ == self_.state_)
    {
        acknowledged_version_ = self_.version_;
    }
    if (!message.observers_.empty())
    {
        std::vector<observer> assigned;
        for (auto const& listed : message.observers_)
        {
            if (assigned.size() < max_observers)
            {
                auto const version = version_held_by(listed.id_);
                assigned.push_back({listed, now_, version});
                remember_balancer(listed.control_);
            }
        }
        observers_ = std::move(assigned);
    }
    auto const current = std::ranges::find(observers_, sender_,
                                           [](observer const& value)
                                           { return value.contact_.id_; });
    if (current != observers_.end())
    {
        current->acknowledged_at_ = now_;
        current->version_ = known.version_;
    }
}

record_version agent_announcer::version_held_by(std::uint64_t balancer) const
{
    auto const current = std::ranges::find(observers_, balancer,
                                           [](observer const& value)
                                           { return value.contact_.id_; });
    return current == observers_.end() ? record_version{} : current->version_;
}

// Takes a higher incarnation than `version`, which is that of an earlier run or
// of a death that was declared wrongly. An agent that has left doesn't refute
// its death, but balancers must receive its end above an earlier run's version.
void agent_announcer::refute(record_version const& version)
{
    if (!may_own_flows(self_.state_) && version <= self_.version_)
    {
        return;
    }
    self_.version_ = {
        std::max(version.incarnation_, self_.version_.incarnation_) + 1, 0};
    actions_.emplace_back(
        report_action{report_kind::declared_dead, self_.name_});
    announce();
}

void agent_announcer::on(template_request const& message, endpoint const& from)
{
    templates_.answer_request(message, from, actions_);
}

void agent_announcer::on(template_chunk const& message, endpoint const& from)
{
    templates_.on_chunk(message, from, now_, actions_);
}

std::vector<control_action>
agent_announcer::adopt(template_received_action received, time_point now)
{
    now_ = now;
    templates_.adopt_received(std::move(received), now, actions_);
    return std::exchange(actions_, {});
}

void agent_announcer::remove_ended_peers()
{
    if (now_ < last_cleanup_at_ + cleanup_interval)
    {
        return;
    }
    last_cleanup_at_ = now_;
    peers_.remove_ended(now_ - timing_.tombstone_lifetime_);
}

} // namespace daisytrail
