// Adoption of templates by revision and template transfers between peers.
#include <daisytrail/item_tree.hpp>
#include <daisytrail/revisions.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds retry_interval{400};
constexpr int max_attempts = 5; // requests for one chunk
constexpr std::size_t max_transfer_peers = 4;
constexpr std::size_t max_latest_revisions = 8;
// Peers repeat the offer of a newer revision more often than this, so an older
// offer is obsolete.
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

template_revisions::template_revisions(template_check check,
                                       change_callback on_change)
    : validate_(std::move(check)), on_change_(std::move(on_change))
{
}

adoption template_revisions::evaluate(std::uint64_t id,
                                      revision template_revision,
                                      std::string const& value,
                                      std::string& detail) const
{
    auto const held = held_.find(id);
    if (held != held_.end() && template_revision <= held->second.revision_)
    {
        detail = "revision " + std::to_string(held->second.revision_) +
                 " is in force";
        if (template_revision < held->second.revision_)
        {
            return adoption::refused_older;
        }
        return value == held->second.value_ ? adoption::already_held
                                            : adoption::refused_conflict;
    }
    if (auto const problem = validate_(value))
    {
        detail = *problem;
        return adoption::refused_invalid;
    }
    return adoption::adopted;
}

adoption template_revisions::try_adopt(std::string const& organisation,
                                       revision template_revision,
                                       std::string value,
                                       std::string const& source,
                                       time_point now,
                                       std::vector<control_action>& out)
{
    auto const id = hash_name(organisation);
    std::string detail;
    auto const outcome = evaluate(id, template_revision, value, detail);
    if (outcome == adoption::already_held)
    {
        return outcome;
    }
    add_record({organisation, template_revision, outcome, source, now, detail});
    if (auto const kind = report_for(outcome))
    {
        out.emplace_back(
            report_action{*kind, organisation + " revision " +
                                     std::to_string(template_revision) +
                                     " from " + source + ": " + detail});
    }
    auto const pending = pending_revisions_.find(id);
    std::optional<duration> offered_ago;
    if (pending != pending_revisions_.end())
    {
        offered_ago = now - pending->second.first_offered_at_;
    }
    if (pending != pending_revisions_.end() &&
        template_revision >= pending->second.revision_)
    {
        pending_revisions_.erase(pending);
    }
    if (outcome == adoption::refused_invalid)
    {
        invalid_[id] = template_revision;
    }
    if (outcome != adoption::adopted)
    {
        return outcome;
    }
    auto const before = find(id);
    held_[id] = {organisation, template_revision, value};
    mark_changed(id);
    if (on_change_)
    {
        on_change_(before, find(id));
    }
    out.emplace_back(template_action{organisation, template_revision,
                                     std::move(value), source, offered_ago});
    return outcome;
}

bool template_revisions::on_offer(item const& offered, endpoint const& from,
                                  time_point now,
                                  std::vector<control_action>& out)
{
    auto const template_revision = offered.version_.incarnation_;
    auto const held = held_.find(offered.id_);
    auto const invalid = invalid_.find(offered.id_);
    if ((only_organisation_ && *only_organisation_ != offered.id_) ||
        (held != held_.end() && template_revision <= held->second.revision_) ||
        (invalid != invalid_.end() && template_revision <= invalid->second))
    {
        return false;
    }
    bool const is_new = note_pending(offered.id_, template_revision, now);
    if (is_new)
    {
        auto const in_force = held == held_.end() ? 0 : held->second.revision_;
        out.emplace_back(template_offer_action{offered.id_, template_revision,
                                               in_force, from});
    }
    auto& active = transfers_[offered.id_];
    if (active.revision_ > template_revision)
    {
        return is_new;
    }
    if (active.revision_ == template_revision)
    {
        bool const is_known =
            std::ranges::find(active.peers_, from) != active.peers_.end();
        if (!is_known && active.peers_.size() < max_transfer_peers)
        {
            active.peers_.push_back(from);
        }
        return is_new;
    }
    active = {};
    active.revision_ = template_revision;
    active.peers_ = {from};
    send_request(offered.id_, active, now, out);
    return is_new;
}

bool template_revisions::note_pending(std::uint64_t id,
                                      revision template_revision,
                                      time_point now)
{
    auto const [held, is_first] = pending_revisions_.try_emplace(
        id, pending_revision{template_revision, now, now});
    auto& known = held->second;
    bool const is_new = is_first || template_revision > known.revision_;
    known.revision_ = std::max(known.revision_, template_revision);
    known.last_offered_at_ = now;
    if (is_new)
    {
        mark_changed(id);
    }
    return is_new;
}

void template_revisions::mark_changed(std::uint64_t id)
{
    std::erase(last_changed_, id);
    last_changed_.push_front(id);
    if (last_changed_.size() > max_latest_revisions)
    {
        last_changed_.pop_back();
    }
}

std::vector<item> template_revisions::latest_revisions() const
{
    std::vector<item> result;
    for (auto const id : last_changed_)
    {
        auto const held = held_.find(id);
        auto const pending = pending_revisions_.find(id);
        revision const in_force =
            held == held_.end() ? 0 : held->second.revision_;
        revision const known =
            pending == pending_revisions_.end() ? 0 : pending->second.revision_;
        if (auto const template_revision = std::max(in_force, known);
            template_revision != 0)
        {
            result.push_back(to_item(id, template_revision));
        }
    }
    return result;
}

bool template_revisions::is_overdue(duration timeout, time_point now) const
{
    return std::ranges::any_of(
        pending_revisions_,
        [&](auto const& entry)
        {
            auto const& known = entry.second;
            return now >= known.first_offered_at_ + timeout &&
                   now < known.last_offered_at_ + offer_lifetime;
        });
}

void template_revisions::answer_request(template_request const& request,
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
    // If a newer revision than the requested one is in force, its transfer
    // starts at the first chunk.
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

void template_revisions::on_chunk(template_chunk const& chunk,
                                  endpoint const& from, time_point now,
                                  std::vector<control_action>& out)
{
    auto const id = hash_name(chunk.organisation_);
    auto const active = transfers_.find(id);
    if (active == transfers_.end() ||
        chunk.revision_ < active->second.revision_)
    {
        return;
    }
    auto& ongoing = active->second;
    if (chunk.revision_ > ongoing.revision_)
    {
        ongoing = {};
        ongoing.revision_ = chunk.revision_;
        ongoing.peers_ = {from};
    }
    if (chunk.index_ != ongoing.next_index_ ||
        ongoing.value_.size() + chunk.bytes_.size() > max_template_bytes)
    {
        return;
    }
    ongoing.value_ += chunk.bytes_;
    ++ongoing.next_index_;
    ongoing.attempts_ = 0;
    if (ongoing.next_index_ < chunk.count_)
    {
        send_request(id, ongoing, now, out);
        return;
    }
    auto value = std::move(ongoing.value_);
    transfers_.erase(active);
    try_adopt(chunk.organisation_, chunk.revision_, std::move(value),
              to_string(from), now, out);
}

void template_revisions::tick(time_point now, std::vector<control_action>& out)
{
    // An abandoned transfer restarts when the next digest offers the revision.
    std::erase_if(transfers_,
                  [now](auto const& entry)
                  {
                      return entry.second.attempts_ >= max_attempts &&
                             now >= entry.second.requested_at_ + retry_interval;
                  });
    for (auto& [id, active] : transfers_)
    {
        if (now >= active.requested_at_ + retry_interval)
        {
            std::rotate(active.peers_.begin(), active.peers_.begin() + 1,
                        active.peers_.end());
            send_request(id, active, now, out);
        }
    }
}

std::optional<item> template_revisions::find(std::uint64_t organisation) const
{
    auto const held = held_.find(organisation);
    if (held == held_.end())
    {
        return std::nullopt;
    }
    return to_item(organisation, held->second.revision_);
}

std::vector<item> template_revisions::items(tree_node const& node) const
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

std::vector<held_template> template_revisions::held_templates() const
{
    std::vector<held_template> result;
    for (auto const& [id, value] : held_)
    {
        result.push_back(value);
    }
    return result;
}

item template_revisions::to_item(std::uint64_t id, revision template_revision)
{
    return {item_kind::organisation,
            id,
            {template_revision, 0},
            member_state::ready};
}

void template_revisions::add_record(adoption_record line)
{
    // Repeated refusals of the same revision share one entry.
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

void template_revisions::send_request(std::uint64_t id, transfer& active,
                                      time_point now,
                                      std::vector<control_action>& out)
{
    active.requested_at_ = now;
    ++active.attempts_;
    out.emplace_back(send_action{
        active.peers_.front(),
        template_request{id, active.revision_, active.next_index_}});
}

} // namespace daisytrail
