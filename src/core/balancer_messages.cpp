// Handlers of control messages in balancer_membership.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t max_message_records = 7;
constexpr std::size_t max_branch_items = 40;
constexpr std::size_t max_digest_peers = 30;
constexpr std::size_t max_descended_branches = 8; // per tree message

} // namespace

std::vector<control_action>
balancer_membership::receive(time_point now, endpoint const& from,
                             std::uint64_t sender,
                             control_message const& message)
{
    now_ = std::max(now_, now);
    sender_ = sender;
    detector_.mark_alive(sender, now_);
    if (auto const at = observations_.find(sender); at != observations_.end())
    {
        at->second.last_received_at_ = now_;
    }
    else if (auto const* record = table_.find(sender);
             record != nullptr && record->service_ == balancer_service)
    {
        last_received_at_[sender] = now_;
        health_.on_balancer_message(now_, actions_);
    }
    std::visit([&](auto const& body) { on(body, from); }, message);
    check_view_confirmation();
    return std::exchange(actions_, {});
}

void balancer_membership::send(endpoint const& to, control_message message)
{
    actions_.emplace_back(send_action{to, std::move(message)});
}

void balancer_membership::on(ping_message const& message, endpoint const& from)
{
    if (message.subject_ != self_.target_)
    {
        return;
    }
    send(from, pong_message{to_item(self_)});
    auto const* sender = table_.find(sender_);
    if (sender != nullptr && sender->state_ == member_state::dead)
    {
        send(from, digest_message{0, {to_item(*sender)}, false});
    }
}

void balancer_membership::on(pong_message const& message, endpoint const& from)
{
    for (auto& send : relay_.mark_alive(sender_))
    {
        actions_.emplace_back(std::move(send));
    }
    if (auto const round_trip = health_.on_pong(sender_, now_))
    {
        actions_.emplace_back(round_trip_action{*round_trip});
    }
    handle_items({message.self_}, from);
}

void balancer_membership::on(probe_request const& message, endpoint const& from)
{
    actions_.emplace_back(relay_.request(message.subject_, from, now_));
}

void balancer_membership::on(probe_answer const& message, endpoint const&)
{
    detector_.record_answer(sender_, message, now_);
}

void balancer_membership::on(digest_message const& message,
                             endpoint const& from)
{
    handle_items(message.items_, from);
    if (message.root_ != 0 && message.root_ != table_.tree().root())
    {
        send_newer_templates(message, from);
        send(from, tree_message{1, 0, table_.tree().children(1, 0)});
    }
}

// Sends changed templates ahead of the comparison of the whole views, which
// takes several messages and may be delayed by the byte budget.
void balancer_membership::send_newer_templates(digest_message const& theirs,
                                               endpoint const& to)
{
    digest_message answer;
    for (auto const& latest : templates_.latest_versions())
    {
        auto const known =
            std::ranges::find(theirs.items_, latest.id_, &item::id_);
        if (known == theirs.items_.end() || known->version_ < latest.version_)
        {
            answer.items_.push_back(latest);
        }
    }
    if (!answer.items_.empty())
    {
        send(to, std::move(answer));
    }
}

void balancer_membership::handle_items(std::vector<item> const& items,
                                       endpoint const& from)
{
    pull_message request;
    digest_message newer;
    for (auto const& theirs : items)
    {
        reconcile_item(theirs, from, request, newer);
    }
    if (!request.ids_.empty())
    {
        send(from, std::move(request));
    }
    if (!newer.items_.empty())
    {
        send(from, std::move(newer));
    }
}

// Compares an item of a peer with the held version: requests or merges a newer
// version, and adds the held version to `newer` if it is the newer one. A newer
// item about this balancer itself is refuted.
void balancer_membership::reconcile_item(item const& theirs,
                                         endpoint const& from,
                                         pull_message& request,
                                         digest_message& newer)
{
    if (theirs.kind_ == item_kind::organisation)
    {
        auto const mine = templates_.find(theirs.id_);
        if (mine && mine->version_ > theirs.version_)
        {
            newer.items_.push_back(*mine);
            return;
        }
        // The new version is gossiped before the template is received.
        if (templates_.on_offer(theirs, from, now_, actions_))
        {
            enqueue_gossip(theirs);
        }
        return;
    }
    if (theirs.id_ == self_.target_)
    {
        if (theirs.version_ > self_.version_ ||
            (theirs.version_ == self_.version_ && theirs.state_ > self_.state_))
        {
            refute(theirs.version_);
        }
        if (theirs != to_item(self_))
        {
            newer.items_.push_back(to_item(self_));
        }
        return;
    }
    bool const has_ended = !may_own_flows(theirs.state_);
    auto const* mine = table_.find(theirs.id_);
    if (mine != nullptr &&
        (mine->version_ > theirs.version_ ||
         (mine->version_ == theirs.version_ && mine->state_ > theirs.state_)))
    {
        newer.items_.push_back(to_item(*mine));
        return;
    }
    // The end of a member is merged without its body.
    if (has_ended || (mine != nullptr && mine->version_ == theirs.version_))
    {
        if (table_.merge(theirs, now_))
        {
            propagate_change(*table_.find(theirs.id_));
        }
        return;
    }
    auto& pending = pulls_[theirs.id_];
    if (pending.version_ < theirs.version_)
    {
        pending = {theirs.version_, from, now_, 1};
        request.ids_.push_back(theirs.id_);
    }
}

void balancer_membership::on(pull_message const& message, endpoint const& from)
{
    records_message answer;
    for (auto const id : message.ids_)
    {
        if (auto const* record = table_.find(id))
        {
            answer.records_.push_back(*record);
        }
        if (answer.records_.size() == max_message_records)
        {
            send(from, std::exchange(answer, {}));
        }
    }
    if (!answer.records_.empty())
    {
        send(from, std::move(answer));
    }
}

void balancer_membership::on(records_message const& message, endpoint const&)
{
    for (auto const& record : message.records_)
    {
        merge(record);
    }
}

void balancer_membership::on(tree_message const& message, endpoint const& from)
{
    auto const mine = table_.tree().children(message.level_, message.prefix_);
    if (mine.empty() || mine.size() != message.hashes_.size())
    {
        return;
    }
    tree_node const parent{static_cast<std::uint8_t>(message.level_ - 1),
                           message.prefix_};
    std::uniform_int_distribution<std::uint32_t> pick(0, tree_fanout - 1);
    auto const first = pick(random_);
    std::size_t descended = 0;
    for (std::uint32_t i = 0; i < tree_fanout; ++i)
    {
        auto const child = (first + i) % tree_fanout;
        if (mine[child] == message.hashes_[child])
        {
            continue;
        }
        auto const node = parent.child(child);
        auto items = items_under(node);
        bool const is_large =
            items.size() > max_branch_items && node.level_ < tree_levels;
        if (is_large && descended++ >= max_descended_branches)
        {
            continue;
        }
        if (is_large)
        {
            auto const level = static_cast<std::uint8_t>(node.level_ + 1);
            send(from,
                 tree_message{level, node.prefix_,
                              table_.tree().children(level, node.prefix_)});
            continue;
        }
        items.resize(std::min(items.size(), max_branch_items));
        send(from, branch_message{node.level_, node.prefix_, std::move(items)});
    }
}

std::vector<item> balancer_membership::items_under(tree_node const& node) const
{
    auto result = table_.items(node);
    auto const templates = templates_.items(node);
    result.insert(result.end(), templates.begin(), templates.end());
    return result;
}

void balancer_membership::on(branch_message const& message,
                             endpoint const& from)
{
    handle_items(message.items_, from);
    if (message.level_ > tree_levels)
    {
        return;
    }
    digest_message missing;
    for (auto const& value : items_under({message.level_, message.prefix_}))
    {
        bool const is_listed =
            std::ranges::find(message.items_, value.id_, &item::id_) !=
            message.items_.end();
        if (!is_listed && missing.items_.size() < max_branch_items)
        {
            missing.items_.push_back(value);
        }
    }
    if (!missing.items_.empty())
    {
        send(from, std::move(missing));
    }
}

void balancer_membership::on(heartbeat_message const& message,
                             endpoint const& from)
{
    auto const& record = message.record_;
    if (record.target_ != sender_ || record.service_ == balancer_service)
    {
        return;
    }
    merge(record);
    auto const& held = *table_.find(record.target_);
    if (update_observation(held))
    {
        auto& observed = observations_[record.target_];
        observed.last_received_at_ = now_;
        observed.organisation_ = message.organisation_;
    }
    heartbeat_ack ack;
    ack.known_ = to_item(held);
    std::uint64_t hash = 0;
    for (auto const id :
         table_.observers(record.target_, timing_.observers_per_target_))
    {
        hash ^= id;
        ack.observers_.push_back({id, table_.find(id)->control_});
    }
    if (hash == message.observers_hash_)
    {
        ack.observers_.clear();
    }
    send(from, std::move(ack));
    if (message.organisation_ != 0)
    {
        send_agent_digest(message, from);
    }
}

// Sends the agent the versions of its service's members and of its template
// that differ from those in its heartbeat.
void balancer_membership::send_agent_digest(heartbeat_message const& message,
                                            endpoint const& from)
{
    auto const& record = message.record_;
    digest_message digest;
    if (table_.service_hash(record.service_, record.target_) !=
        message.peers_hash_)
    {
        std::vector<member_table::entry const*> peers;
        for (auto const id : table_.service_members(record.service_))
        {
            if (id != record.target_)
            {
                peers.push_back(&table_.all().at(id));
            }
        }
        digest.complete_ = peers.size() <= max_digest_peers;
        if (!digest.complete_)
        {
            // Half of them are the latest changes, the others are random, so
            // that changes lost earlier are repeated.
            std::ranges::shuffle(peers, random_);
            std::ranges::partial_sort(
                peers, peers.begin() + max_digest_peers / 2,
                std::ranges::greater{}, &member_table::entry::changed_at_);
            peers.resize(max_digest_peers);
        }
        for (auto const* peer : peers)
        {
            digest.items_.push_back(to_item(peer->record_));
        }
    }
    auto const held = templates_.find(message.organisation_);
    auto const at = held ? held->version_.incarnation_ : 0;
    if (at > message.version_)
    {
        digest.items_.push_back(*held);
    }
    else if (message.version_ > at)
    {
        templates_.on_offer({item_kind::organisation,
                             message.organisation_,
                             {message.version_, 0},
                             member_state::ready},
                            from, now_, actions_);
    }
    if (!digest.items_.empty() || digest.complete_)
    {
        send(from, std::move(digest));
    }
}

void balancer_membership::on(template_request const& message,
                             endpoint const& from)
{
    templates_.answer_request(message, from, actions_);
}

void balancer_membership::on(template_chunk const& message,
                             endpoint const& from)
{
    templates_.on_chunk(message, from, now_, actions_);
}

bool balancer_membership::merge(target_record const& record)
{
    if (record.target_ == self_.target_ &&
        (record.version_ > self_.version_ ||
         (record.version_ == self_.version_ && record.state_ > self_.state_)))
    {
        refute(record.version_);
        return false;
    }
    if (!table_.merge(record, now_))
    {
        return false;
    }
    propagate_change(*table_.find(record.target_));
    return true;
}

// Publishes a higher incarnation than `version`, which is that of an earlier
// run or of a death that was declared wrongly. A balancer that has left doesn't
// refute its death, but its end must supersede an earlier run's version.
void balancer_membership::refute(record_version const& version)
{
    if (!may_own_flows(self_.state_) && version <= self_.version_)
    {
        return;
    }
    self_.version_ = {
        std::max(version.incarnation_, self_.version_.incarnation_) + 1, 0};
    actions_.emplace_back(
        report_action{report_kind::declared_dead, self_.name_});
    merge(self_);
}

// Reports a merged record to the caller, gossips it and sends it to the
// observed agents of its service.
void balancer_membership::propagate_change(target_record const& record)
{
    actions_.emplace_back(member_action{record});
    if (record.service_ == balancer_service)
    {
        note_balancer_change(record);
    }
    enqueue_gossip(to_item(record));
    push_record_to_agents(record);
    if (!may_own_flows(record.state_))
    {
        observations_.erase(record.target_);
    }
}

void balancer_membership::push_record_to_agents(target_record const& record)
{
    for (auto const id : table_.service_members(record.service_))
    {
        auto const at = observations_.find(id);
        bool const is_follower =
            at != observations_.end() && at->second.organisation_ != 0;
        if (is_follower && id != record.target_)
        {
            send(at->second.control_, records_message{{record}});
        }
    }
}

void balancer_membership::offer_template_to_agents(item const& value)
{
    for (auto const& [id, observed] : observations_)
    {
        if (observed.organisation_ == value.id_)
        {
            send(observed.control_, digest_message{0, {value}, false});
        }
    }
}

} // namespace daisytrail
