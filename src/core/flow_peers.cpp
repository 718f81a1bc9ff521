// Exchange of flow ownership with the peers of an agent: notifies peers of the
// agent's own flows, applies the changes that peers report, and handles joins,
// restarts and deaths of peers.
#include <daisytrail/flows.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// Above this number of peers, an agent assumes some time after a view change
// that it has received all flows, instead of waiting for a marker from each
// peer. Markers cost a datagram for each pair of agents and view change.
constexpr std::size_t max_peers_with_markers = 64;
constexpr auto sync_time_without_markers = std::chrono::seconds(10);

constexpr auto half_open_timeout = std::chrono::seconds(20);
constexpr auto ended_flow_timeout = std::chrono::seconds(10);
constexpr std::size_t max_ended_flows = 4'096;

// Longer than the time for which balancers may hold different views.
constexpr auto retirement_delay = std::chrono::seconds(10);

// Delays of the probes of a flow, counted from the death of its owner. The TCP
// stack of a caller may limit its answers to two per second.
constexpr std::array<std::chrono::milliseconds, 5> probe_delays{
    std::chrono::milliseconds(50), std::chrono::milliseconds(600),
    std::chrono::milliseconds(1'150), std::chrono::milliseconds(1'700),
    std::chrono::milliseconds(2'250)};

// Maximum number of probes that one tick returns.
constexpr std::size_t max_probes_per_tick = 256;

// Hashes the live members and their properties that the ranking depends on.
std::uint64_t hash_view(std::span<target_record const> records)
{
    std::uint64_t hash = 0x9E37'79B9'7F4A'7C15ULL;
    auto const add = [&hash](std::uint64_t value)
    {
        hash ^= value;
        hash *= 0xff51'afd7'ed55'8ccdULL;
        hash ^= hash >> 32U;
    };
    for (auto const& record : records)
    {
        if (may_own_flows(record.state_))
        {
            add(record.target_);
            add(record.version_.incarnation_);
            add(record.weight_);
            add(takes_new_work(record.state_) ? 1 : 0);
        }
    }
    return hash;
}

constexpr auto report_interval = std::chrono::seconds(1);
constexpr std::size_t reports_per_interval = 8;

bool has_target(std::span<target_id const> members, target_id target)
{
    return std::ranges::find(members, target) != members.end();
}

} // namespace

void flow_table::set_view(std::span<target_record const> records,
                          time_point now)
{
    table_ = service_table(records);
    update_peers(records, now);
    auto const view = hash_view(records);
    if (view == view_hash_)
    {
        return;
    }
    view_hash_ = view;
    view_changed_at_ = now;
    for (auto& [key, flow] : flows_)
    {
        if (flow.phase_ != phase::ended)
        {
            notify_peers(key, flow, now);
        }
    }
    if (peers_.size() > max_peers_with_markers)
    {
        return;
    }
    for (auto& [id, value] : peers_)
    {
        if (may_own_flows(value.state_))
        {
            value.outbox_.mark_complete(view_hash_);
        }
    }
}

void flow_table::update_peers(std::span<target_record const> records,
                              time_point now)
{
    for (auto const& record : records)
    {
        if (record.target_ == options_.self_)
        {
            weight_ = std::max(record.weight_, 1U);
            continue;
        }
        auto& value = peers_[record.target_];
        bool const was_live = may_own_flows(value.state_);
        value.tunnel_ = record.tunnel_;
        value.incarnation_ = record.version_.incarnation_;
        value.weight_ = std::max(record.weight_, 1U);
        value.state_ = record.state_;
        if (was_live && !may_own_flows(record.state_))
        {
            remove_peer_flows(record.target_, value, now);
            value.outbox_.restart(0, ++stream_count_);
        }
        else if (!was_live && may_own_flows(record.state_))
        {
            restore_forwarding_entries(record.target_, value);
            restart_outbox(record.target_, value, value.inbox_.sender_epoch());
        }
    }
    for (auto at = peers_.begin(); at != peers_.end();)
    {
        if (std::ranges::find(records, at->first, &target_record::target_) !=
            records.end())
        {
            ++at;
            continue;
        }
        remove_peer_flows(at->first, at->second, now);
        at = peers_.erase(at);
    }
}

// Begins a new stream to a peer with all flows that the peer has to know.
void flow_table::restart_outbox(target_id id, peer& value, incarnation epoch)
{
    value.outbox_.restart(epoch, ++stream_count_);
    for (auto const& [key, flow] : flows_)
    {
        if (has_target(flow.notified_peers_, id) ||
            has_target(flow.retiring_peers_, id))
        {
            value.outbox_.push({key, false});
        }
    }
    if (peers_.size() <= max_peers_with_markers)
    {
        value.outbox_.mark_complete(view_hash_);
    }
}

void flow_table::erase_forwarding_entries(target_id id, peer const& value)
{
    for (auto const& flow : value.flows_)
    {
        auto const at = forwarding_entries_.find(flow);
        if (at != forwarding_entries_.end() && at->second == id)
        {
            forwarding_entries_.erase(at);
        }
    }
}

// Restores the entries of a peer whose death was refuted, since the peer still
// owns its flows.
void flow_table::restore_forwarding_entries(target_id id, peer const& value)
{
    for (auto const& flow : value.flows_)
    {
        forwarding_entries_.insert_or_assign(flow, id);
    }
}

// Removes the flows of a peer whose process is gone and schedules probes for
// them. The callers answer the probes with their sequence numbers, so that the
// flows can be reset.
void flow_table::remove_peer_flows(target_id id, peer const& value,
                                   time_point now)
{
    for (auto const& flow : value.flows_)
    {
        auto const at = forwarding_entries_.find(flow);
        if (at != forwarding_entries_.end() && at->second == id)
        {
            probes_.push_back({flow, 0, now + probe_delays[0]});
        }
    }
    erase_forwarding_entries(id, value);
    std::erase_if(syn_redirects_, [id](auto const& entry)
                  { return entry.second.to_.target_ == id; });
}

flow_table::notified_peers
flow_table::peers_to_notify(flow_key const& flow) const
{
    notified_peers result{};
    std::size_t count = 0;
    auto const add = [&](target_id target)
    {
        if (target != options_.self_ && count < max_notified_peers &&
            std::ranges::find(result, target) == result.end())
        {
            result[count++] = target;
        }
    };
    auto const ranked = table_.pick(hash_flow(flow));
    if (ranked.size_ == 0)
    {
        return result;
    }
    add(ranked.candidates_[0].target_);
    if (auto const* first = first_accepting(ranked))
    {
        add(first->target_);
    }
    if (ranked.size_ > 1 && is_self(ranked.candidates_[0]))
    {
        add(ranked.candidates_[1].target_);
    }
    return result;
}

void flow_table::push(target_id target, flow_key const& flow, bool removed)
{
    auto const at = peers_.find(target);
    if (at != peers_.end() && may_own_flows(at->second.state_))
    {
        at->second.outbox_.push({flow, removed});
    }
}

// Notifies the peers that have to know the flow in the current view, and
// retires the peers that no longer have to.
void flow_table::notify_peers(flow_key const& flow, owned_flow& state,
                              time_point now)
{
    auto const current = peers_to_notify(flow);
    if (current == state.notified_peers_)
    {
        return;
    }
    auto const former = std::exchange(state.notified_peers_, current);
    for (auto const target : current)
    {
        if (target != 0 && !has_target(former, target) &&
            !has_target(state.retiring_peers_, target))
        {
            push(target, flow, false);
        }
    }
    for (auto& target : state.retiring_peers_)
    {
        target = has_target(current, target) ? 0 : target;
    }
    for (auto const target : former)
    {
        if (target != 0 && !has_target(current, target))
        {
            retire_peer(flow, state, target);
            state.last_retired_at_ = now;
        }
    }
    if (state.last_retired_at_ == now)
    {
        retirement_queue_.push_back({flow, now});
    }
}

// Adds a peer to the retiring peers. If there are too many, the oldest of them
// is notified that the flow was removed.
void flow_table::retire_peer(flow_key const& flow, owned_flow& state,
                             target_id target)
{
    auto const free_place = std::ranges::find(state.retiring_peers_, 0U);
    if (free_place == state.retiring_peers_.end())
    {
        push(state.retiring_peers_[0], flow, true);
        std::rotate(state.retiring_peers_.begin(),
                    state.retiring_peers_.begin() + 1,
                    state.retiring_peers_.end());
        state.retiring_peers_.back() = target;
        return;
    }
    *free_place = target;
}

void flow_table::finish_retirements(time_point now)
{
    while (!retirement_queue_.empty() &&
           now - retirement_queue_.front().since_ >= retirement_delay)
    {
        auto const oldest = retirement_queue_.front();
        retirement_queue_.pop_front();
        auto const at = flows_.find(oldest.flow_);
        if (at == flows_.end() || at->second.last_retired_at_ != oldest.since_)
        {
            continue;
        }
        for (auto& target : at->second.retiring_peers_)
        {
            if (target != 0)
            {
                push(std::exchange(target, 0), oldest.flow_, true);
            }
        }
    }
}

// Notifies all peers that know the flow that this agent no longer owns it.
void flow_table::withdraw_flow(flow_key const& flow, owned_flow& state)
{
    for (auto const& members : {state.notified_peers_, state.retiring_peers_})
    {
        for (auto const target : members)
        {
            if (target != 0)
            {
                push(target, flow, true);
            }
        }
    }
    state.notified_peers_ = {};
    state.retiring_peers_ = {};
}

bool flow_table::has_all_peer_flows(time_point now) const
{
    if (peers_.size() > max_peers_with_markers)
    {
        return now - view_changed_at_ >= sync_time_without_markers;
    }
    return std::ranges::all_of(peers_,
                               [this](auto const& entry)
                               {
                                   auto const& value = entry.second;
                                   return !may_own_flows(value.state_) ||
                                          value.inbox_.is_complete_for(
                                              view_hash_);
                               });
}

endpoint flow_table::peer_endpoint(target_id id) const
{
    auto const at = peers_.find(id);
    return at == peers_.end() ? endpoint{} : at->second.tunnel_;
}

flow_acknowledgement flow_table::make_acknowledgement(target_id to,
                                                      peer const& value) const
{
    flow_acknowledgement answer;
    answer.from_ = options_.self_;
    answer.to_ = to;
    answer.from_epoch_ = options_.start_incarnation_;
    answer.to_epoch_ = value.inbox_.sender_epoch();
    answer.stream_ = value.inbox_.stream();
    answer.sequence_ = value.inbox_.applied_sequence();
    answer.open_flows_ = static_cast<std::uint32_t>(open_count_);
    return answer;
}

flow_acknowledgement flow_table::on_batch(flow_batch const& batch,
                                          time_point now)
{
    auto const at = peers_.find(batch.from_);
    if (at == peers_.end() || batch.to_ != options_.self_)
    {
        return {};
    }
    auto& value = at->second;
    if (value.inbox_.is_new_epoch(batch))
    {
        remove_peer_flows(batch.from_, value, now);
        value.flows_.clear();
        value.inbox_.restart(batch.from_epoch_);
        restart_outbox(batch.from_, value, batch.from_epoch_);
    }
    bool const is_addressed = batch.to_epoch_ == options_.start_incarnation_;
    if (is_addressed && value.inbox_.is_new_stream(batch))
    {
        erase_forwarding_entries(batch.from_, value);
        value.flows_.clear();
        value.inbox_.restart_stream(batch.stream_);
    }
    if (is_addressed && value.inbox_.accept(batch))
    {
        for (auto const& change : batch.changes_)
        {
            apply(batch.from_, value, change);
        }
    }
    record_load(value, batch.open_flows_, now);
    return make_acknowledgement(batch.from_, value);
}

void flow_table::apply(target_id from, peer& value, flow_change const& change)
{
    if (!change.removed_)
    {
        value.flows_.insert(change.flow_);
        if (may_own_flows(value.state_))
        {
            forwarding_entries_[change.flow_] = from;
            syn_redirects_.erase(change.flow_);
        }
        return;
    }
    value.flows_.erase(change.flow_);
    auto const at = forwarding_entries_.find(change.flow_);
    if (at != forwarding_entries_.end() && at->second == from)
    {
        forwarding_entries_.erase(at);
    }
}

void flow_table::on_acknowledgement(flow_acknowledgement const& answer,
                                    time_point now)
{
    auto const at = peers_.find(answer.from_);
    if (at == peers_.end() || answer.to_ != options_.self_ ||
        answer.to_epoch_ != options_.start_incarnation_)
    {
        return;
    }
    record_load(at->second, answer.open_flows_, now);
    auto& outbox = at->second.outbox_;
    if (answer.from_epoch_ > outbox.peer_epoch())
    {
        restart_outbox(answer.from_, at->second, answer.from_epoch_);
    }
    else if (answer.from_epoch_ == outbox.peer_epoch())
    {
        outbox.acknowledge(answer.stream_, answer.sequence_);
    }
}

void flow_table::record_load(peer& value, std::uint32_t open,
                             time_point now) const
{
    value.load_ = {open, static_cast<std::uint32_t>(open_count_), now};
}

// Reports the number of open flows to a few peers in each interval, in
// round-robin order.
void flow_table::report_load(time_point now, flow_output& output)
{
    if (now - last_report_at_ < report_interval || peers_.empty())
    {
        return;
    }
    last_report_at_ = now;
    auto const count = std::min(peers_.size(), reports_per_interval);
    auto at = peers_.upper_bound(last_report_to_);
    for (std::size_t i = 0; i < count; ++i)
    {
        at = at == peers_.end() ? peers_.begin() : at;
        if (may_own_flows(at->second.state_))
        {
            output.reports_.push_back(
                make_acknowledgement(at->first, at->second));
        }
        last_report_to_ = at->first;
        ++at;
    }
}

void flow_table::on_established(flow_key const& flow, time_point now)
{
    auto const [at, inserted] = flows_.try_emplace(flow);
    auto& state = at->second;
    if (inserted || state.phase_ == phase::ended)
    {
        // The caller reused the port before the end of the previous flow was
        // recorded.
        ++open_count_;
        notify_peers(flow, state, now);
    }
    else if (state.phase_ == phase::half_open)
    {
        --half_open_count_;
    }
    state.phase_ = phase::established;
    state.phase_since_ = now;
}

void flow_table::on_ended(flow_key const& flow, time_point now)
{
    auto const at = flows_.find(flow);
    if (at == flows_.end() || at->second.phase_ == phase::ended)
    {
        return;
    }
    half_open_count_ -= at->second.phase_ == phase::half_open ? 1 : 0;
    --open_count_;
    at->second.phase_ = phase::ended;
    at->second.phase_since_ = now;
    withdraw_flow(flow, at->second);
    ended_queue_.push_back({flow, now});
}

flow_output flow_table::tick(time_point now)
{
    flow_output output;
    expire(now, output);
    collect_probes(now, output);
    report_load(now, output);
    for (auto& [id, value] : peers_)
    {
        if (!may_own_flows(value.state_))
        {
            continue;
        }
        for (auto& batch : value.outbox_.due(now))
        {
            batch.from_ = options_.self_;
            batch.to_ = id;
            batch.from_epoch_ = options_.start_incarnation_;
            batch.to_epoch_ = value.outbox_.peer_epoch();
            batch.open_flows_ = static_cast<std::uint32_t>(open_count_);
            output.batches_.push_back({value.tunnel_, std::move(batch)});
        }
    }
    return output;
}

void flow_table::expire(time_point now, flow_output& output)
{
    expire_half_open(now, output);
    erase_ended_flows(now);
    finish_retirements(now);
    std::erase_if(syn_redirects_, [now](auto const& entry)
                  { return entry.second.expires_ <= now; });
}

void flow_table::expire_half_open(time_point now, flow_output& output)
{
    output.evicted_ = std::move(evicted_);
    evicted_.clear();
    while (!half_open_queue_.empty() &&
           now - half_open_queue_.front().since_ >= half_open_timeout)
    {
        auto const oldest = half_open_queue_.front();
        half_open_queue_.pop_front();
        auto const at = flows_.find(oldest.flow_);
        if (at != flows_.end() && at->second.phase_ == phase::half_open &&
            at->second.phase_since_ == oldest.since_)
        {
            output.evicted_.push_back({oldest.flow_, at->second.sequence_});
            on_ended(oldest.flow_, now);
        }
    }
}

void flow_table::erase_ended_flows(time_point now)
{
    while (!ended_queue_.empty() &&
           (now - ended_queue_.front().since_ >= ended_flow_timeout ||
            ended_queue_.size() > max_ended_flows))
    {
        auto const oldest = ended_queue_.front();
        ended_queue_.pop_front();
        auto const at = flows_.find(oldest.flow_);
        if (at != flows_.end() && at->second.phase_ == phase::ended &&
            at->second.phase_since_ == oldest.since_)
        {
            flows_.erase(at);
        }
    }
}

void flow_table::collect_probes(time_point now, flow_output& output)
{
    auto const count = probes_.size();
    for (std::size_t i = 0;
         i < count && output.probes_.size() < max_probes_per_tick; ++i)
    {
        auto next = probes_.front();
        probes_.pop_front();
        if (next.due_at_ > now)
        {
            probes_.push_back(next);
            continue;
        }
        // The flow has an owner again.
        if (flows_.contains(next.flow_) ||
            forwarding_entries_.contains(next.flow_))
        {
            continue;
        }
        output.probes_.push_back(next.flow_);
        if (++next.attempt_ < probe_delays.size())
        {
            next.due_at_ +=
                probe_delays[next.attempt_] - probe_delays[next.attempt_ - 1];
            probes_.push_back(next);
        }
    }
}

} // namespace daisytrail
