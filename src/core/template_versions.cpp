// Adoption and refusal of templates by version.
#include <daisytrail/error.hpp>
#include <daisytrail/item_tree.hpp>
#include <daisytrail/template_versions.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

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
    if (held != held_.end() && version <= held->second.version())
    {
        detail = "version " + std::to_string(held->second.version()) +
                 " is in force";
        if (version < held->second.version())
        {
            return adoption::refused_older;
        }
        return value == held->second.value() ? adoption::already_held
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
    fetcher_.finish(id, version);
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
    if (auto const held = held_.find(id); held != held_.end())
    {
        held->second.replace(version, value);
    }
    else
    {
        held_.try_emplace(id, organisation, version, value);
    }
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
    bool const is_older = version != 0 && held != held_.end() &&
                          version <= held->second.version();
    if (is_older)
    {
        return;
    }
    fetcher_.finish(id, version);
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

bool template_versions::has_refused(std::uint64_t organisation) const
{
    auto const found = refused_.find(organisation);
    return found != refused_.end() && !found->second.empty();
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
        (held != held_.end() && version <= held->second.version()) ||
        is_refused(offered.id_, version))
    {
        return false;
    }
    bool const is_new = note_pending(offered.id_, version, now);
    if (is_new)
    {
        auto const in_force = held == held_.end() ? 0 : held->second.version();
        out.emplace_back(
            template_offer_action{offered.id_, version, in_force, from});
    }
    fetcher_.offer(offered.id_, version, from,
                   held == held_.end() ? shared_text{}
                                       : held->second.shared_value(),
                   now, out);
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
            held == held_.end() ? 0 : held->second.version();
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
                                       std::vector<control_action>& out)
{
    auto const held = held_.find(request.organisation_);
    if (held != held_.end())
    {
        held->second.answer(request, from, out);
    }
}

void template_versions::on_chunk(template_chunk const& chunk,
                                 endpoint const& from, time_point now,
                                 std::vector<control_action>& out)
{
    try
    {
        if (auto fetched = fetcher_.on_chunk(chunk, from, now, out))
        {
            out.emplace_back(template_received_action{
                std::move(fetched->organisation_), fetched->version_,
                std::move(fetched->value_), to_string(from)});
        }
    }
    catch (error const& failure)
    {
        refuse(chunk.organisation_, chunk.version_, failure.what(),
               to_string(from), now, out);
    }
}

void template_versions::adopt_received(template_received_action received,
                                       time_point now,
                                       std::vector<control_action>& out)
{
    auto const held = held_.find(hash_name(received.organisation_));
    if (held != held_.end() && held->second.version() > received.version_)
    {
        return;
    }
    try_adopt(received.organisation_, received.version_,
              std::move(received.value_), received.source_, now, out);
}

void template_versions::tick(time_point now, std::vector<control_action>& out)
{
    fetcher_.tick(now, out);
}

std::optional<item> template_versions::find(std::uint64_t organisation) const
{
    auto const held = held_.find(organisation);
    if (held == held_.end())
    {
        return std::nullopt;
    }
    return to_item(organisation, held->second.version());
}

std::vector<item> template_versions::items(tree_node const& node) const
{
    std::vector<item> result;
    for (auto const& [id, held] : held_)
    {
        if (node.contains(id))
        {
            result.push_back(to_item(id, held.version()));
        }
    }
    return result;
}

std::vector<held_template> template_versions::held_templates() const
{
    std::vector<held_template> result;
    for (auto const& [id, held] : held_)
    {
        result.push_back({held.organisation(), held.version(), held.value()});
    }
    return result;
}

std::optional<held_template> template_versions::find_held(
    std::function<bool(std::string const& organisation,
                       template_version version)> const& is_wanted) const
{
    for (auto const& [id, held] : held_)
    {
        if (is_wanted(held.organisation(), held.version()))
        {
            return held_template{held.organisation(), held.version(),
                                 held.value()};
        }
    }
    return std::nullopt;
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

} // namespace daisytrail
