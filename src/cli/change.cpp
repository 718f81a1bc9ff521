// Applies a change of a template: reads the stored state, checks the change
// against it and swaps the template. If the outcome of the swap is unknown, the
// state is read back.
#include "cli/change.hpp"

#include "net/adopted_template.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace daisytrail
{

namespace
{

// The store's limit for the size of a value.
constexpr std::size_t max_value_bytes = 1'000'000;

// Stored entries that the outcome of the change depends on.
struct store_state
{
    std::optional<store_entry> template_;
    std::optional<store_entry> change_;   // entry of the change id, if accepted
    std::optional<audit_entry> accepted_; // audit entry of the change id
    std::map<std::string, store_entry> buckets_; // by key
    std::optional<audit_entry> expiring_;
};

std::optional<store_entry> first_entry(store_answer const& answer)
{
    if (answer.entries_.empty())
    {
        return std::nullopt;
    }
    return answer.entries_.front();
}

std::set<std::string> vips_of(organisation_template const& value)
{
    std::set<std::string> result;
    for (auto const& service : value.services_)
    {
        for (auto const& vip : service.vips_)
        {
            result.insert(to_string(vip));
        }
    }
    return result;
}

class change_attempt
{
public:
    change_attempt(blocking_store& store, change_request const& request)
        : store_(store), request_(request), organisation_(request.value_.name_),
          wanted_vips_(vips_of(request.value_))
    {
    }

    change_outcome run()
    {
        while (store_.environment().now_() < request_.deadline_)
        {
            if (auto outcome = step())
            {
                return *outcome;
            }
        }
        return deadline_outcome();
    }

private:
    // Reads the stored state and, unless it decides the outcome, swaps once.
    std::optional<change_outcome> step()
    {
        if (!read())
        {
            pause();
            return std::nullopt;
        }
        if (auto outcome = earlier_outcome())
        {
            return outcome;
        }
        if (auto outcome = check_refusal())
        {
            return outcome;
        }
        return send();
    }

    // Reads the template before the change id. If the template is past the
    // base version, no delayed swap of this change can succeed, so that the
    // entry of the change id that is read afterwards is final.
    bool read()
    {
        state_ = {};
        auto const current = store_.get(template_key(organisation_));
        if (!accept_read(current))
        {
            return false;
        }
        state_.template_ = first_entry(current);
        current_ = state_.template_
                       ? parse_stored_template(state_.template_->value_)
                       : stored_template{};
        auto const change =
            store_.get(change_key(organisation_, request_.change_id_));
        if (!accept_read(change))
        {
            return false;
        }
        state_.change_ = first_entry(change);
        return read_accepted() && read_buckets() && read_expiring();
    }

    bool read_accepted()
    {
        if (!state_.change_)
        {
            return true;
        }
        auto const number = std::stoull(state_.change_->value_);
        auto const answer = store_.get(audit_key(organisation_, number));
        if (auto const entry = first_entry(answer))
        {
            state_.accepted_ = parse_audit_entry(*entry);
        }
        return accept_read(answer);
    }

    bool read_buckets()
    {
        auto const buckets = store_.range(std::string(vip_prefix), 0);
        for (auto const& entry : buckets.entries_)
        {
            state_.buckets_[entry.key_] = entry;
        }
        return accept_read(buckets);
    }

    // Reads the audit entry that this change removes from the audit trail.
    bool read_expiring()
    {
        if (current_.number_ < audit_retention)
        {
            return true;
        }
        auto const number = current_.number_ + 1 - audit_retention;
        auto const answer = store_.get(audit_key(organisation_, number));
        if (auto const entry = first_entry(answer))
        {
            state_.expiring_ = parse_audit_entry(*entry);
        }
        return accept_read(answer);
    }

    bool accept_read(store_answer const& answer)
    {
        if (answer.error_)
        {
            last_error_ = *answer.error_;
            last_detail_ = answer.detail_;
            return false;
        }
        return true;
    }

    std::optional<change_outcome> earlier_outcome() const
    {
        if (!state_.accepted_)
        {
            return std::nullopt;
        }
        if (state_.accepted_->after_ != request_.text_)
        {
            return refuse(error_kind::conflict,
                          "change id '" + request_.change_id_ +
                              "' was used for another change");
        }
        change_outcome outcome;
        outcome.result_ = change_result::accepted;
        outcome.repeated_ = !may_have_applied_;
        outcome.revision_ = state_.accepted_->revision_;
        outcome.number_ = state_.accepted_->number_;
        outcome.version_ = current_version();
        return outcome;
    }

    std::optional<change_outcome> check_refusal() const
    {
        auto const now = current_version();
        if (now != request_.base_)
        {
            return conflict(now);
        }
        if (auto const vip_conflict = find_vip_conflict();
            !vip_conflict.empty())
        {
            return refuse(error_kind::conflict, vip_conflict);
        }
        auto const changes = differences_from(current_.template_);
        if (state_.template_ && changes.empty() &&
            current_.template_ == request_.text_)
        {
            change_outcome outcome;
            outcome.result_ = change_result::accepted;
            outcome.unchanged_ = true;
            outcome.revision_ = current_revision();
            outcome.number_ = current_.number_;
            outcome.version_ = current_version();
            return outcome;
        }
        if (breaks_flows(changes) && !request_.allow_breaking_)
        {
            auto outcome =
                refuse(error_kind::invalid_argument,
                       "the change cuts off open flows; drain them first, or "
                       "pass --allow-breaking");
            outcome.differences_ = changes;
            return outcome;
        }
        return std::nullopt;
    }

    change_outcome conflict(template_version now) const
    {
        if (now < request_.base_)
        {
            auto outcome = refuse(
                error_kind::stale,
                "the store holds version " + std::to_string(now) +
                    ", older than the base " + std::to_string(request_.base_));
            // A store that was reset to an older state can't show the outcome
            // of an earlier attempt.
            outcome.result_ = may_have_applied_ ? change_result::unknown
                                                : change_result::refused;
            return outcome;
        }
        auto outcome = refuse(
            error_kind::conflict,
            "the template is at version " + std::to_string(now) + " by " +
                current_.who_ + " (change " + current_.change_id_ +
                "), not at the base " + std::to_string(request_.base_));
        outcome.differences_ = differences_from(current_.template_);
        return outcome;
    }

    std::vector<difference> differences_from(std::string const& text) const
    {
        auto const current = text.empty()
                                 ? organisation_template{}
                                 : parse_stored_organisation(text).value_;
        return diff_templates(current, request_.value_);
    }

    change_outcome refuse(error_kind kind, std::string detail) const
    {
        change_outcome outcome;
        outcome.result_ = change_result::refused;
        outcome.kind_ = kind;
        outcome.detail_ = std::move(detail);
        outcome.revision_ = current_revision();
        return outcome;
    }

    vip_claims claims_in(std::string const& bucket) const
    {
        auto const found = state_.buckets_.find(bucket);
        return found == state_.buckets_.end()
                   ? vip_claims{}
                   : parse_vip_claims(found->second.value_);
    }

    // Describes the first VIP that belongs to another organisation; returns an
    // empty string if there is none.
    std::string find_vip_conflict() const
    {
        for (auto const& vip : wanted_vips_)
        {
            auto const claims = claims_in(vip_bucket_key(vip));
            auto const claim = claims.find(vip);
            if (claim != claims.end() && claim->second != organisation_)
            {
                return "VIP " + vip + " belongs to organisation '" +
                       claim->second + "'";
            }
        }
        return {};
    }

    // Returns the new content of each bucket to which the change adds a claim
    // or from which it removes a claim.
    std::map<std::string, vip_claims> changed_buckets() const
    {
        std::map<std::string, vip_claims> result;
        for (auto const& [key, entry] : state_.buckets_)
        {
            auto claims = parse_vip_claims(entry.value_);
            auto const removed =
                std::erase_if(claims,
                              [this](auto const& claim)
                              {
                                  return claim.second == organisation_ &&
                                         !wanted_vips_.contains(claim.first);
                              });
            if (removed > 0)
            {
                result[key] = std::move(claims);
            }
        }
        for (auto const& vip : wanted_vips_)
        {
            auto const key = vip_bucket_key(vip);
            auto claims =
                result.contains(key) ? result.at(key) : claims_in(key);
            if (claims.emplace(vip, organisation_).second)
            {
                result[key] = std::move(claims);
            }
        }
        return result;
    }

    std::optional<change_outcome> send()
    {
        std::vector<store_comparison> comparisons{
            {template_key(organisation_), current_revision()},
            {change_key(organisation_, request_.change_id_), 0}};
        auto writes = make_writes();
        for (auto const& [key, claims] : changed_buckets())
        {
            auto const found = state_.buckets_.find(key);
            auto const known_revision = found == state_.buckets_.end()
                                            ? 0
                                            : found->second.modified_revision_;
            comparisons.push_back({key, known_revision});
            writes.push_back({key, to_json_text(claims), claims.empty(), 0});
        }
        if (auto const oversized =
                std::find_if(writes.begin(), writes.end(),
                             [](store_write const& write)
                             { return write.value_.size() > max_value_bytes; });
            oversized != writes.end())
        {
            return refuse(error_kind::limit_exceeded,
                          oversized->key_ +
                              " would pass the store's limit of " +
                              std::to_string(max_value_bytes) + " bytes");
        }
        return handle_swap_answer(
            store_.swap(std::move(comparisons), std::move(writes)));
    }

    revision current_revision() const
    {
        return state_.template_ ? state_.template_->modified_revision_ : 0;
    }

    template_version current_version() const
    {
        return state_.template_ ? version_of(*state_.template_) : 0;
    }

    // The time of the change is higher than the versions of changes that the
    // store lost when it was restored from a copy.
    template_version next_version() const
    {
        return std::max(current_version() + 1, request_.unix_ms_);
    }

    std::vector<store_write> make_writes() const
    {
        auto const number = current_.number_ + 1;
        stored_template const value{request_.change_id_, request_.who_,
                                    request_.when_,      number,
                                    request_.text_,      next_version()};
        audit_entry const entry{
            organisation_, request_.change_id_, request_.who_,  request_.when_,
            number,        current_.template_,  request_.text_, 0};
        std::vector<store_write> writes{
            {template_key(organisation_), to_json_text(value), false, 0},
            {audit_key(organisation_, number), to_json_text(entry), false, 0},
            {change_key(organisation_, request_.change_id_),
             std::to_string(number), false, 0}};
        if (state_.expiring_)
        {
            auto const& old = *state_.expiring_;
            writes.push_back(
                {audit_key(organisation_, old.number_), "", true, 0});
            writes.push_back(
                {change_key(organisation_, old.change_id_), "", true, 0});
        }
        return writes;
    }

    std::optional<change_outcome> handle_swap_answer(store_answer const& answer)
    {
        if (!answer.error_ && answer.succeeded_)
        {
            change_outcome outcome;
            outcome.result_ = change_result::accepted;
            outcome.revision_ = answer.revision_;
            outcome.number_ = current_.number_ + 1;
            outcome.version_ = next_version();
            return outcome;
        }
        if (answer.error_)
        {
            last_error_ = *answer.error_;
            last_detail_ = answer.detail_;
            // Only `unavailable` guarantees that the store didn't execute the
            // swap.
            may_have_applied_ =
                may_have_applied_ || *answer.error_ != error_kind::unavailable;
            pause();
        }
        return std::nullopt;
    }

    void pause()
    {
        store_.environment().pause_(delays_.next());
    }

    change_outcome deadline_outcome() const
    {
        auto outcome = refuse(last_error_, last_detail_);
        if (may_have_applied_)
        {
            outcome.result_ = change_result::unknown;
            outcome.kind_ = error_kind::outcome_unknown;
        }
        return outcome;
    }

    blocking_store& store_;
    change_request const& request_;
    std::string organisation_;
    std::set<std::string> wanted_vips_; // VIPs of the new template
    store_state state_;
    stored_template current_; // empty if there is none
    backoff delays_;
    bool may_have_applied_ = false; // an attempt may have taken effect
    error_kind last_error_ = error_kind::deadline_exceeded;
    std::string last_detail_ = "the time was up before the first attempt";
};

} // namespace

change_outcome apply_change(blocking_store& store,
                            change_request const& request)
{
    return change_attempt(store, request).run();
}

} // namespace daisytrail
