// A balancer's answers to control messages.
#include <daisytrail/membership.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t records_in_message = 7;
constexpr std::size_t items_in_branch = 40;
constexpr std::size_t peers_in_digest = 30;
constexpr std::size_t branches_descended = 8; // at one comparison

} // namespace

std::vector<control_action>
balancer_membership::receive(time_point now, endpoint const& from,
                             std::uint64_t sender,
                             control_message const& message)
{
    now_ = std::max(now_, now);
    sender_ = sender;
    detector_.heard(sender, now_);
    if (auto const at = observed_.find(sender); at != observed_.end())
    {
        at->second.heard_ = now_;
    }
    else if (auto const* record = table_.find(sender);
             record != nullptr && record->service_ == balancer_service)
    {
        heard_[sender] = now_;
        health_.on_balancer_message(now_, out_);
    }
    std::visit([&](auto const& body) { on(body, from); }, message);
    check_views();
    return std::exchange(out_, {});
}

void balancer_membership::send(endpoint const& to, control_message message)
{
    out_.emplace_back(send_action{to, std::move(message)});
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
    for (auto& send : relay_.heard(sender_))
    {
        out_.emplace_back(std::move(send));
    }
    if (auto const took = health_.on_pong(sender_, now_))
    {
        out_.emplace_back(round_trip_action{*took});
    }
    take_items({message.self_}, from);
}

void balancer_membership::on(probe_request const& message, endpoint const& from)
{
    out_.emplace_back(relay_.request(message.subject_, from, now_));
}

void balancer_membership::on(probe_answer const& message, endpoint const&)
{
    detector_.answered(sender_, message, now_);
}

void balancer_membership::on(digest_message const& message,
                             endpoint const& from)
{
    take_items(message.items_, from);
    if (message.root_ != 0 && message.root_ != table_.tree().root())
    {
        tell_news(message, from);
        send(from, tree_message{1, 0, table_.tree().children(1, 0)});
    }
}

// The comparison of whole views takes several messages and may wait for bytes;
// a changed template must not.
void balancer_membership::tell_news(digest_message const& theirs,
                                    endpoint const& to)
{
    digest_message answer;
    for (auto const& news : book_.latest_revisions())
    {
        auto const known =
            std::ranges::find(theirs.items_, news.id_, &item::id_);
        if (known == theirs.items_.end() || known->version_ < news.version_)
        {
            answer.items_.push_back(news);
        }
    }
    if (!answer.items_.empty())
    {
        send(to, std::move(answer));
    }
}

void balancer_membership::take_items(std::vector<item> const& items,
                                     endpoint const& from)
{
    pull_message request;
    digest_message newer;
    for (auto const& theirs : items)
    {
        compare(theirs, from, request, newer);
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

void balancer_membership::compare(item const& theirs, endpoint const& from,
                                  pull_message& request, digest_message& newer)
{
    if (theirs.kind_ == item_kind::organisation)
    {
        auto const mine = book_.find(theirs.id_);
        if (mine && mine->version_ > theirs.version_)
        {
            newer.items_.push_back(*mine);
            return;
        }
        // The news spreads before the template itself has come.
        if (book_.on_offer(theirs, from, now_, out_))
        {
            make_hot(theirs);
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
    bool const ended = !may_own_flows(theirs.state_);
    auto const* mine = table_.find(theirs.id_);
    if (mine != nullptr &&
        (mine->version_ > theirs.version_ ||
         (mine->version_ == theirs.version_ && mine->state_ > theirs.state_)))
    {
        newer.items_.push_back(to_item(*mine));
        return;
    }
    // The end of a member needs no body.
    if (ended || (mine != nullptr && mine->version_ == theirs.version_))
    {
        if (table_.merge(theirs, now_))
        {
            changed(*table_.find(theirs.id_));
        }
        return;
    }
    auto& open = pulls_[theirs.id_];
    if (open.version_ < theirs.version_)
    {
        open = {theirs.version_, from, now_, 1};
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
        if (answer.records_.size() == records_in_message)
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
            items.size() > items_in_branch && node.level_ < tree_levels;
        if (is_large && descended++ >= branches_descended)
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
        items.resize(std::min(items.size(), items_in_branch));
        send(from, branch_message{node.level_, node.prefix_, std::move(items)});
    }
}

std::vector<item> balancer_membership::items_under(tree_node const& node) const
{
    auto result = table_.items(node);
    auto const templates = book_.items(node);
    result.insert(result.end(), templates.begin(), templates.end());
    return result;
}

void balancer_membership::on(branch_message const& message,
                             endpoint const& from)
{
    take_items(message.items_, from);
    if (message.level_ > tree_levels)
    {
        return;
    }
    digest_message missing;
    for (auto const& value : items_under({message.level_, message.prefix_}))
    {
        bool const listed =
            std::ranges::find(message.items_, value.id_, &item::id_) !=
            message.items_.end();
        if (!listed && missing.items_.size() < items_in_branch)
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
    if (observe(held))
    {
        auto& watched = observed_[record.target_];
        watched.heard_ = now_;
        watched.organisation_ = message.organisation_;
    }
    heartbeat_ack ack;
    ack.known_ = to_item(held);
    std::uint64_t hash = 0;
    for (auto const id : table_.observers(record.target_, timing_.observers_))
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
        send_peers(message, from);
    }
}

// Tells the agent what differs in its service and its template.
void balancer_membership::send_peers(heartbeat_message const& message,
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
        digest.complete_ = peers.size() <= peers_in_digest;
        if (!digest.complete_)
        {
            // The latest changes, and some at random against lost ones.
            std::ranges::shuffle(peers, random_);
            std::ranges::partial_sort(
                peers, peers.begin() + peers_in_digest / 2,
                std::ranges::greater{}, &member_table::entry::changed_);
            peers.resize(peers_in_digest);
        }
        for (auto const* peer : peers)
        {
            digest.items_.push_back(to_item(peer->record_));
        }
    }
    auto const held = book_.find(message.organisation_);
    auto const at = held ? held->version_.incarnation_ : 0;
    if (at > message.revision_)
    {
        digest.items_.push_back(*held);
    }
    else if (message.revision_ > at)
    {
        book_.on_offer({item_kind::organisation,
                        message.organisation_,
                        {message.revision_, 0},
                        member_state::ready},
                       from, now_, out_);
    }
    if (!digest.items_.empty() || digest.complete_)
    {
        send(from, std::move(digest));
    }
}

// Balancers take no acknowledgements.
void balancer_membership::on(heartbeat_ack const&, endpoint const&) {}

void balancer_membership::on(template_request const& message,
                             endpoint const& from)
{
    book_.answer_request(message, from, out_);
}

void balancer_membership::on(template_chunk const& message,
                             endpoint const& from)
{
    book_.on_chunk(message, from, now_, out_);
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
    changed(*table_.find(record.target_));
    return true;
}

// Comes back under a higher incarnation than the one that was declared dead.
void balancer_membership::refute(record_version const& version)
{
    if (!may_own_flows(self_.state_))
    {
        return;
    }
    self_.version_ = {
        std::max(version.incarnation_, self_.version_.incarnation_) + 1, 0};
    out_.emplace_back(report_action{report_kind::declared_dead, self_.name_});
    merge(self_);
}

void balancer_membership::changed(target_record const& record)
{
    out_.emplace_back(member_action{record});
    make_hot(to_item(record));
    push_to_observed(record);
    if (!may_own_flows(record.state_))
    {
        observed_.erase(record.target_);
    }
}

void balancer_membership::push_to_observed(target_record const& record)
{
    for (auto const id : table_.service_members(record.service_))
    {
        auto const at = observed_.find(id);
        bool const follows =
            at != observed_.end() && at->second.organisation_ != 0;
        if (follows && id != record.target_)
        {
            send(at->second.control_, records_message{{record}});
        }
    }
}

void balancer_membership::offer_to_observed(item const& value)
{
    for (auto const& [id, watched] : observed_)
    {
        if (watched.organisation_ == value.id_)
        {
            send(watched.control_, digest_message{0, {value}, false});
        }
    }
}

} // namespace daisytrail
