// Adoption of templates by revision and their transfer between peers.
#include <daisytrail/item_tree.hpp>
#include <daisytrail/revisions.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds retry_interval{400};
constexpr int max_attempts = 5;
constexpr std::size_t max_transfer_peers = 4;
constexpr std::size_t max_news = 8;
// Peers that hold a newer revision offer it more often than this.
constexpr milliseconds offer_lifetime{10'000};

std::optional<report_kind> report_for(adoption outcome)
{
    switch (outcome)
    {
    case adoption::refused_older:
        return report_kind::refused_older;
    case adoption::refused_conflict:
        return report_kind::refused_conflict;
    case adoption::refused_invalid:
        return report_kind::refused_invalid;
    default:
        return std::nullopt;
    }
}

} // namespace

revision_book::revision_book(template_check check, item_change changed)
    : check_(std::move(check)), changed_(std::move(changed))
{
}

adoption revision_book::judge(std::uint64_t id, revision at,
                              std::string const& value,
                              std::string& detail) const
{
    auto const held = held_.find(id);
    if (held != held_.end() && at <= held->second.revision_)
    {
        detail =
            "revision " + std::to_string(held->second.revision_) + " is held";
        if (at < held->second.revision_)
        {
            return adoption::refused_older;
        }
        return value == held->second.value_ ? adoption::already_held
                                            : adoption::refused_conflict;
    }
    if (auto const fault = check_(value))
    {
        detail = *fault;
        return adoption::refused_invalid;
    }
    return adoption::adopted;
}

adoption revision_book::offer(std::string const& organisation, revision at,
                              std::string value, std::string const& source,
                              time_point now, std::vector<control_action>& out)
{
    auto const id = hash_name(organisation);
    std::string detail;
    auto const outcome = judge(id, at, value, detail);
    if (outcome == adoption::already_held)
    {
        return outcome;
    }
    note({organisation, at, outcome, source, now, detail});
    if (auto const kind = report_for(outcome))
    {
        out.emplace_back(report_action{
            *kind, organisation + " revision " + std::to_string(at) + " from " +
                       source + ": " + detail});
    }
    auto const awaited = awaited_.find(id);
    if (awaited != awaited_.end() && at >= awaited->second.revision_)
    {
        awaited_.erase(awaited);
    }
    if (outcome == adoption::refused_invalid)
    {
        invalid_[id] = at;
    }
    if (outcome != adoption::adopted)
    {
        return outcome;
    }
    auto const before = find(id);
    held_[id] = {organisation, at, value};
    note_news(id);
    if (changed_)
    {
        changed_(before, find(id));
    }
    out.emplace_back(
        template_action{organisation, at, std::move(value), source});
    return outcome;
}

bool revision_book::offered(item const& theirs, endpoint const& from,
                            time_point now, std::vector<control_action>& out)
{
    auto const at = theirs.version_.incarnation_;
    auto const held = held_.find(theirs.id_);
    auto const invalid = invalid_.find(theirs.id_);
    if ((only_ && *only_ != theirs.id_) ||
        (held != held_.end() && at <= held->second.revision_) ||
        (invalid != invalid_.end() && at <= invalid->second))
    {
        return false;
    }
    bool const is_news = await(theirs.id_, at, now);
    auto& open = transfers_[theirs.id_];
    if (open.revision_ > at)
    {
        return is_news;
    }
    if (open.revision_ == at)
    {
        bool const is_known =
            std::ranges::find(open.peers_, from) != open.peers_.end();
        if (!is_known && open.peers_.size() < max_transfer_peers)
        {
            open.peers_.push_back(from);
        }
        return is_news;
    }
    open = {};
    open.revision_ = at;
    open.peers_ = {from};
    ask(theirs.id_, open, now, out);
    return is_news;
}

bool revision_book::await(std::uint64_t id, revision at, time_point now)
{
    auto const [held, is_first] =
        awaited_.try_emplace(id, awaited_revision{at, now, now});
    auto& known = held->second;
    bool const is_news = is_first || at > known.revision_;
    known.revision_ = std::max(known.revision_, at);
    known.last_ = now;
    if (is_news)
    {
        note_news(id);
    }
    return is_news;
}

void revision_book::note_news(std::uint64_t id)
{
    std::erase(news_, id);
    news_.push_front(id);
    if (news_.size() > max_news)
    {
        news_.pop_back();
    }
}

std::vector<item> revision_book::latest_news() const
{
    std::vector<item> result;
    for (auto const id : news_)
    {
        auto const held = held_.find(id);
        auto const awaited = awaited_.find(id);
        revision const in_force =
            held == held_.end() ? 0 : held->second.revision_;
        revision const known =
            awaited == awaited_.end() ? 0 : awaited->second.revision_;
        if (auto const at = std::max(in_force, known); at != 0)
        {
            result.push_back(to_item(id, at));
        }
    }
    return result;
}

bool revision_book::is_late(duration patience, time_point now) const
{
    return std::ranges::any_of(awaited_,
                               [&](auto const& entry)
                               {
                                   auto const& known = entry.second;
                                   return now >= known.since_ + patience &&
                                          now < known.last_ + offer_lifetime;
                               });
}

void revision_book::answer(template_request const& request,
                           endpoint const& from,
                           std::vector<control_action>& out) const
{
    auto const held = held_.find(request.organisation_);
    if (held == held_.end() || held->second.revision_ < request.revision_)
    {
        return;
    }
    auto const& value = held->second.value_;
    auto const count =
        (value.size() + template_chunk_bytes - 1) / template_chunk_bytes;
    // A newer revision than the one asked for starts again at its first part.
    auto const index =
        held->second.revision_ == request.revision_ ? request.index_ : 0;
    if (index >= count)
    {
        return;
    }
    template_chunk chunk;
    chunk.organisation_ = held->second.organisation_;
    chunk.revision_ = held->second.revision_;
    chunk.index_ = index;
    chunk.count_ = static_cast<std::uint32_t>(count);
    chunk.bytes_ =
        value.substr(index * template_chunk_bytes, template_chunk_bytes);
    out.emplace_back(send_action{from, std::move(chunk)});
}

void revision_book::receive(template_chunk const& chunk, endpoint const& from,
                            time_point now, std::vector<control_action>& out)
{
    auto const id = hash_name(chunk.organisation_);
    auto const open = transfers_.find(id);
    if (open == transfers_.end() || chunk.revision_ < open->second.revision_)
    {
        return;
    }
    auto& part = open->second;
    if (chunk.revision_ > part.revision_)
    {
        part = {};
        part.revision_ = chunk.revision_;
        part.peers_ = {from};
    }
    if (chunk.index_ != part.next_ ||
        part.value_.size() + chunk.bytes_.size() > max_template_bytes)
    {
        return;
    }
    part.value_ += chunk.bytes_;
    ++part.next_;
    part.attempts_ = 0;
    if (part.next_ < chunk.count_)
    {
        ask(id, part, now, out);
        return;
    }
    auto value = std::move(part.value_);
    transfers_.erase(open);
    offer(chunk.organisation_, chunk.revision_, std::move(value),
          to_string(from), now, out);
}

void revision_book::tick(time_point now, std::vector<control_action>& out)
{
    // A transfer that was given up starts again at the next digest.
    std::erase_if(transfers_,
                  [now](auto const& entry)
                  {
                      return entry.second.attempts_ >= max_attempts &&
                             now >= entry.second.asked_ + retry_interval;
                  });
    for (auto& [id, open] : transfers_)
    {
        if (now >= open.asked_ + retry_interval)
        {
            std::rotate(open.peers_.begin(), open.peers_.begin() + 1,
                        open.peers_.end());
            ask(id, open, now, out);
        }
    }
}

std::optional<item> revision_book::find(std::uint64_t organisation) const
{
    auto const held = held_.find(organisation);
    if (held == held_.end())
    {
        return std::nullopt;
    }
    return to_item(organisation, held->second.revision_);
}

std::vector<item> revision_book::items(tree_node const& node) const
{
    std::vector<item> result;
    for (auto const& [id, held] : held_)
    {
        if (node.contains(id))
        {
            result.push_back(to_item(id, held.revision_));
        }
    }
    return result;
}

std::vector<held_template> revision_book::held() const
{
    std::vector<held_template> result;
    for (auto const& [id, value] : held_)
    {
        result.push_back(value);
    }
    return result;
}

item revision_book::to_item(std::uint64_t id, revision at)
{
    return {item_kind::organisation, id, {at, 0}, member_state::ready};
}

void revision_book::note(adoption_record line)
{
    // A value that is refused again and again takes one line.
    if (!records_.empty() && line.outcome_ != adoption::adopted &&
        records_.back().outcome_ == line.outcome_ &&
        records_.back().revision_ == line.revision_ &&
        records_.back().organisation_ == line.organisation_)
    {
        records_.back() = std::move(line);
        return;
    }
    records_.push_back(std::move(line));
    if (records_.size() > max_adoption_records)
    {
        records_.pop_front();
    }
}

void revision_book::ask(std::uint64_t id, transfer& open, time_point now,
                        std::vector<control_action>& out)
{
    open.asked_ = now;
    ++open.attempts_;
    out.emplace_back(send_action{
        open.peers_.front(), template_request{id, open.revision_, open.next_}});
}

} // namespace daisytrail
