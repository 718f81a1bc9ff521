// An agent's announcements and its view of its service.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// Until an observer acknowledges the latest version, it hears it this often.
constexpr duration repeat_interval = milliseconds(250);
constexpr milliseconds observer_timeout{3'000};
constexpr milliseconds forget_interval{10'000};
constexpr std::size_t seeds_asked = 3;
constexpr std::size_t records_in_message = 7;
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
      timing_(timing), book_(std::move(check)), random_(random_seed),
      seeds_(std::move(seeds))
{
    book_.restrict_to(organisation_);
}

std::vector<control_action> agent_announcer::tick(time_point now)
{
    if (started_ && now > ticked_ + timing_.pause_)
    {
        relay_.reset();
        for (auto& held : observers_)
        {
            held.acknowledged_ = now;
        }
        out_.emplace_back(report_action{report_kind::paused, self_.name_});
    }
    now_ = now;
    ticked_ = now;
    for (auto& send : relay_.tick(now))
    {
        out_.emplace_back(std::move(send));
    }
    bool const alone = observers_.empty();
    auto const interval = alone ? repeat_interval : timing_.heartbeat_;
    if (!started_ || now >= announced_ + interval)
    {
        announce();
    }
    else if (now >= repeated_ + repeat_interval)
    {
        repeat_announcement();
    }
    started_ = true;
    forget_dead();
    book_.tick(now, out_);
    return std::exchange(out_, {});
}

std::vector<control_action>
agent_announcer::receive(time_point now, endpoint const& from,
                         std::uint64_t sender, control_message const& message)
{
    now_ = std::max(now_, now);
    sender_ = sender;
    std::visit([&](auto const& body) { on(body, from); }, message);
    return std::exchange(out_, {});
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
    return std::exchange(out_, {});
}

void agent_announcer::announce()
{
    announced_ = now_;
    repeated_ = now_;
    std::erase_if(observers_, [this](observer const& held)
                  { return now_ > held.acknowledged_ + observer_timeout; });
    auto const message = make_heartbeat();
    for (auto const& held : observers_)
    {
        send(held.contact_.control_, message);
    }
    if (observers_.empty())
    {
        std::vector<endpoint> asked;
        std::ranges::sample(seeds_, std::back_inserter(asked), seeds_asked,
                            random_);
        for (auto const& seed : asked)
        {
            send(seed, message);
        }
    }
}

// Observers that don't hold the latest version yet hear it again.
void agent_announcer::repeat_announcement()
{
    repeated_ = now_;
    for (auto const& held : observers_)
    {
        if (held.version_ != self_.version_)
        {
            send(held.contact_.control_, make_heartbeat());
        }
    }
}

heartbeat_message agent_announcer::make_heartbeat() const
{
    auto const held = book_.find(organisation_);
    return {self_, organisation_, held ? held->version_.incarnation_ : 0,
            peers_.service_hash(self_.service_, self_.target_),
            observers_hash()};
}

std::uint64_t agent_announcer::observers_hash() const
{
    std::uint64_t hash = 0;
    for (auto const& held : observers_)
    {
        hash ^= held.contact_.id_;
    }
    return hash;
}

void agent_announcer::send(endpoint const& to, control_message message)
{
    out_.emplace_back(send_action{to, std::move(message)});
}

void agent_announcer::on(ping_message const& message, endpoint const& from)
{
    if (message.subject_ == self_.target_)
    {
        send(from, pong_message{to_item(self_)});
    }
}

void agent_announcer::on(pong_message const&, endpoint const&)
{
    for (auto& send : relay_.heard(sender_))
    {
        out_.emplace_back(std::move(send));
    }
}

void agent_announcer::on(probe_request const& message, endpoint const& from)
{
    out_.emplace_back(relay_.request(message.subject_, from, now_));
}

void agent_announcer::on(digest_message const& message, endpoint const& from)
{
    pull_message pull;
    for (auto const& theirs : message.items_)
    {
        if (theirs.kind_ == item_kind::organisation)
        {
            book_.on_offer(theirs, from, now_, out_);
            continue;
        }
        auto const* mine = peers_.find(theirs.id_);
        if (theirs.id_ == self_.target_ ||
            (mine != nullptr && mine->version_ > theirs.version_))
        {
            continue;
        }
        bool const body_needed =
            mine == nullptr || mine->version_ != theirs.version_;
        if (body_needed && may_own_flows(theirs.state_))
        {
            pull.ids_.push_back(theirs.id_);
        }
        else if (peers_.merge(theirs, now_))
        {
            out_.emplace_back(member_action{*peers_.find(theirs.id_)});
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
    // A balancer that has just started may not know of these.
    digest_message unknown;
    for (auto const& [id, entry] : peers_.all())
    {
        bool const listed = std::ranges::find(message.items_, id, &item::id_) !=
                            message.items_.end();
        if (!listed && may_own_flows(entry.record_.state_))
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
        auto const* record = peers_.find(id);
        if (record != nullptr && answer.records_.size() < records_in_message)
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
    // A peer that moved to another service has left this one.
    auto changed = record;
    if (record.service_ != self_.service_)
    {
        if (peers_.find(record.target_) == nullptr)
        {
            return;
        }
        changed.service_ = self_.service_;
        changed.state_ = member_state::left;
    }
    if (peers_.merge(changed, now_))
    {
        out_.emplace_back(member_action{changed});
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
        acknowledged_ = self_.version_;
    }
    if (!message.observers_.empty())
    {
        std::vector<observer> fresh;
        for (auto const& named : message.observers_)
        {
            if (fresh.size() < max_observers)
            {
                auto const version = version_at(named.id_);
                fresh.push_back({named, now_, version});
            }
        }
        observers_ = std::move(fresh);
    }
    auto const held = std::ranges::find(observers_, sender_,
                                        [](observer const& value)
                                        { return value.contact_.id_; });
    if (held != observers_.end())
    {
        held->acknowledged_ = now_;
        held->version_ = known.version_;
    }
}

record_version agent_announcer::version_at(std::uint64_t balancer) const
{
    auto const held = std::ranges::find(observers_, balancer,
                                        [](observer const& value)
                                        { return value.contact_.id_; });
    return held == observers_.end() ? record_version{} : held->version_;
}

void agent_announcer::refute(record_version const& version)
{
    if (!may_own_flows(self_.state_))
    {
        return;
    }
    self_.version_ = {
        std::max(version.incarnation_, self_.version_.incarnation_) + 1, 0};
    out_.emplace_back(report_action{report_kind::declared_dead, self_.name_});
    announce();
}

void agent_announcer::on(template_request const& message, endpoint const& from)
{
    book_.answer_request(message, from, out_);
}

void agent_announcer::on(template_chunk const& message, endpoint const& from)
{
    book_.on_chunk(message, from, now_, out_);
}

void agent_announcer::forget_dead()
{
    if (now_ < forgotten_ + forget_interval)
    {
        return;
    }
    forgotten_ = now_;
    peers_.forget(now_ - timing_.tombstone_);
}

} // namespace daisytrail
