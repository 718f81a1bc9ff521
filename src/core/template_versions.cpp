// Adoption of templates by version and template transfers between peers.
#include <daisytrail/item_tree.hpp>
#include <daisytrail/template_versions.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds retry_interval{400};
constexpr int max_attempts = 5; // requests for one chunk
constexpr std::size_t max_transfer_peers = 4;
constexpr std::size_t max_latest_versions = 8;
constexpr std::size_t max_refused_versions = 16;
// Peers repeat the offer of a newer version more often than this, so an older
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
    default:
        return std::nullopt;
    }
}

} // namespace

template_versions::template_versions(template_check check,
                                     change_callback on_change)
    : validate_(std::move(check)), on_change_(std::move(on_change))
{
}

adoption template_versions::evaluate(std::uint64_t id, template_version version,
                                     std::string const& value,
                                     std::string& detail) const
{
    auto const held = held_.find(id);
    if (held != held_.end() && version <= held->second.version_)
    {
        detail =
            "version " + std::to_string(held->second.version_) + " is in force";
        if (version < held->second.version_)
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

adoption template_versions::try_adopt(std::string const& organisation,
                                      template_version version,
                                      std::string value,
                                      std::string const& source, time_point now,
                                      std::vector<control_action>& out)
{
    auto const id = hash_name(organisation);
    std::string detail;
    auto const outcome = evaluate(id, version, value, detail);
    if (outcome == adoption::already_held)
    {
        forget_refusals(id, version, source);
        return outcome;
    }
    if (outcome == adoption::refused_invalid)
    {
        refuse(organisation, version, detail, source, now, out);
        return outcome;
    }
    add_record({organisation, version, outcome, source, now, detail});
    if (auto const kind = report_for(outcome))
    {
        out.emplace_back(report_action{
            *kind, organisation + " version " + std::to_string(version) +
                       " from " + source + ": " + detail});
    }
    auto const pending = pending_versions_.find(id);
    std::optional<duration> offered_ago;
    if (pending != pending_versions_.end())
    {
        offered_ago = now - pending->second.first_offered_at_;
    }
    if (pending != pending_versions_.end() &&
        version >= pending->second.version_)
    {
        pending_versions_.erase(pending);
    }
    if (outcome != adoption::adopted)
    {
        return outcome;
    }
    auto const before = find(id);
    held_[id] = {organisation, version, value};
    forget_refusals(id, version, source);
    mark_changed(id);
    if (on_change_)
    {
        on_change_(before, find(id));
    }
    out.emplace_back(template_action{organisation, version, std::move(value),
                                     source, offered_ago});
    return outcome;
}

void template_versions::refuse(std::string const& organisation,
                               template_version version,
                               std::string const& reason,
                               std::string const& source, time_point now,
                               std::vector<control_action>& out)
{
    auto const id = hash_name(organisation);
    auto const held = held_.find(id);
    bool const is_older =
        version != 0 && held != held_.end() && version <= held->second.version_;
    if (is_older)
    {
        return;
    }
    if (auto const pending = pending_versions_.find(id);
        pending != pending_versions_.end() &&
        version >= pending->second.version_)
    {
        pending_versions_.erase(pending);
    }
    bool const is_news = record_refusal(id, {organisation, version, reason});
    add_record({organisation, version, adoption::refused_invalid, source, now,
                reason});
    if (is_news)
    {
        out.emplace_back(report_action{report_kind::refused_invalid,
                                       organisation + " version " +
                                           std::to_string(version) + " from " +
                                           source + ": " + reason});
    }
}

// Returns true unless this version was refused for the same reason before.
bool template_versions::record_refusal(std::uint64_t id,
                                       refused_template refused)
{
    auto& versions = refused_[id];
    auto const version = refused.version_;
    auto const known = versions.find(version);
    bool const is_new =
        known == versions.end() || known->second.reason_ != refused.reason_;
    versions[version] = std::move(refused);
    if (versions.size() > max_refused_versions)
    {
        versions.erase(versions.begin());
    }
    return is_new;
}

// The store holds the newest version only, so that no refused one is newer than
// what was read from it.
void template_versions::forget_refusals(std::uint64_t id,
                                        template_version adopted,
                                        std::string const& source)
{
    auto& refused = refused_[id];
    auto const end =
        source == store_source ? refused.end() : refused.upper_bound(adopted);
    refused.erase(refused.begin(), end);
}

bool template_versions::is_refused(std::uint64_t id,
                                   template_version version) const
{
    auto const found = refused_.find(id);
    return found != refused_.end() && found->second.contains(version);
}

std::vector<refused_template> template_versions::refused_templates() const
{
    std::vector<refused_template> result;
    for (auto const& [id, versions] : refused_)
    {
        for (auto const& [version, refused] : versions)
        {
            result.push_back(refused);
        }
    }
    return result;
}

bool template_versions::on_offer(item const& offered, endpoint const& from,
                                 time_point now,
                                 std::vector<control_action>& out)
{
    auto const version = offered.version_.incarnation_;
    auto const held = held_.find(offered.id_);
    if ((only_organisation_ && *only_organisation_ != offered.id_) ||
        (held != held_.end() && version <= held->second.version_) ||
        is_refused(offered.id_, version))
    {
        return false;
    }
    bool const is_new = note_pending(offered.id_, version, now);
    if (is_new)
    {
        auto const in_force = held == held_.end() ? 0 : held->second.version_;
        out.emplace_back(
            template_offer_action{offered.id_, version, in_force, from});
    }
    auto& active = transfers_[offered.id_];
    if (active.version_ > version)
    {
        return is_new;
    }
    if (active.version_ == version)
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
    active.version_ = version;
    active.peers_ = {from};
    send_request(offered.id_, active, now, out);
    return is_new;
}

bool template_versions::note_pending(std::uint64_t id, template_version version,
                                     time_point now)
{
    auto const [held, is_first] =
        pending_versions_.try_emplace(id, pending_version{version, now, now});
    auto& known = held->second;
    bool const is_new = is_first || version > known.version_;
    known.version_ = std::max(known.version_, version);
    known.last_offered_at_ = now;
    if (is_new)
    {
        mark_changed(id);
    }
    return is_new;
}

void template_versions::mark_changed(std::uint64_t id)
{
    std::erase(last_changed_, id);
    last_changed_.push_front(id);
    if (last_changed_.size() > max_latest_versions)
    {
        last_changed_.pop_back();
    }
}

std::vector<item> template_versions::latest_versions() const
{
    std::vector<item> result;
    for (auto const id : last_changed_)
    {
        auto const held = held_.find(id);
        auto const pending = pending_versions_.find(id);
        template_version const in_force =
            held == held_.end() ? 0 : held->second.version_;
        template_version const known =
            pending == pending_versions_.end() ? 0 : pending->second.version_;
        if (auto const version = std::max(in_force, known); version != 0)
        {
            result.push_back(to_item(id, version));
        }
    }
    return result;
}

bool template_versions::is_overdue(duration timeout, time_point now) const
{
    return std::ranges::any_of(
        pending_versions_,
        [&](auto const& entry)
        {
            auto const& known = entry.second;
            return now >= known.first_offered_at_ + timeout &&
                   now < known.last_offered_at_ + offer_lifetime;
        });
}

void template_versions::answer_request(template_request const& request,
                                       endpoint const& from,
                                       std::vector<control_action>& out) const
{
    auto const held = held_.find(request.organisation_);
    if (held == held_.end() || held->second.version_ < request.version_)
    {
        return;
    }
    auto const& value = held->second.value_;
    auto const count =
        (value.size() + template_chunk_bytes - 1) / template_chunk_bytes;
    // If a newer version than the requested one is in force, its transfer
    // starts at the first chunk.
    auto const index =
        held->second.version_ == request.version_ ? request.index_ : 0;
    if (index >= count)
    {
        return;
    }
    template_chunk chunk;
    chunk.organisation_ = held->second.organisation_;
    chunk.version_ = held->second.version_;
    chunk.index_ = index;
    chunk.count_ = static_cast<std::uint32_t>(count);
    chunk.bytes_ =
        value.substr(index * template_chunk_bytes, template_chunk_bytes);
    out.emplace_back(send_action{from, std::move(chunk)});
}

void template_versions::on_chunk(template_chunk const& chunk,
                                 endpoint const& from, time_point now,
                                 std::vector<control_action>& out)
{
    auto const id = hash_name(chunk.organisation_);
    auto const active = transfers_.find(id);
    if (active == transfers_.end() || chunk.version_ < active->second.version_)
    {
        return;
    }
    auto& ongoing = active->second;
    if (chunk.version_ > ongoing.version_)
    {
        ongoing = {};
        ongoing.version_ = chunk.version_;
        ongoing.peers_ = {from};
    }
    if (chunk.index_ != ongoing.next_index_)
    {
        return;
    }
    if (ongoing.value_.size() + chunk.bytes_.size() > max_transfer_bytes)
    {
        transfers_.erase(active);
        refuse_too_long(chunk, from, now, out);
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
    try_adopt(chunk.organisation_, chunk.version_, std::move(value),
              to_string(from), now, out);
}

void template_versions::refuse_too_long(template_chunk const& chunk,
                                        endpoint const& from, time_point now,
                                        std::vector<control_action>& out)
{
    refuse(chunk.organisation_, chunk.version_,
           "more than " + std::to_string(max_transfer_bytes) + " bytes",
           to_string(from), now, out);
}

void template_versions::tick(time_point now, std::vector<control_action>& out)
{
    // An abandoned transfer restarts when the next digest offers the version.
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

std::optional<item> template_versions::find(std::uint64_t organisation) const
{
    auto const held = held_.find(organisation);
    if (held == held_.end())
    {
        return std::nullopt;
    }
    return to_item(organisation, held->second.version_);
}

std::vector<item> template_versions::items(tree_node const& node) const
{
    std::vector<item> result;
    for (auto const& [id, held] : held_)
    {
        if (node.contains(id))
        {
            result.push_back(to_item(id, held.version_));
        }
    }
    return result;
}

std::vector<held_template> template_versions::held_templates() const
{
    std::vector<held_template> result;
    for (auto const& [id, value] : held_)
    {
        result.push_back(value);
    }
    return result;
}

item template_versions::to_item(std::uint64_t id, template_version version)
{
    return {item_kind::organisation, id, {version, 0}, member_state::ready};
}

void template_versions::add_record(adoption_record line)
{
    // Repeated refusals of the same version share one entry.
    if (!records_.empty() && line.outcome_ != adoption::adopted &&
        records_.back().outcome_ == line.outcome_ &&
        records_.back().version_ == line.version_ &&
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

void template_versions::send_request(std::uint64_t id, transfer& active,
                                     time_point now,
                                     std::vector<control_action>& out)
{
    active.requested_at_ = now;
    ++active.attempts_;
    out.emplace_back(
        send_action{active.peers_.front(),
                    template_request{id, active.version_, active.next_index_}});
}

} // namespace daisytrail
