// The contacts of balancers in store_watcher: the own one, which is held under
// a lease, and those of others.
#include "net/log.hpp"
#include "net/store_watcher.hpp"

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds read_interval{2'000};
// The same for a balancer that reads them by duty. Bounds the time in which the
// parts of a fleet that was split find each other.
constexpr milliseconds check_interval{5'000};
constexpr milliseconds renew_interval{20'000};
// A store that loses answers seems to return again and again.
constexpr milliseconds min_renew_interval{1'000};
// After the key was found with another balancer's address, until that balancer
// is known and the keys are divided anew.
constexpr milliseconds conflict_delay{1'000};
constexpr std::chrono::seconds lease_ttl{60};
constexpr std::size_t max_contacts = 64;

} // namespace

// Renews the contact as soon as the store answers again: its lease may have
// lapsed meanwhile. Reads the contacts, too: balancers may have been replaced.
void store_watcher::notice_recovery()
{
    auto const current = call_log_.recoveries();
    if (std::exchange(noticed_recoveries_, current) == current)
    {
        return;
    }
    auto const now = steady_clock::now();
    if (now >= contact_renewed_at_ + min_renew_interval)
    {
        lease_backoff_ = {};
    }
    if (now >= contacts_read_at_ + min_renew_interval)
    {
        contacts_read_at_ = {};
        contacts_backoff_ = {};
    }
}

void store_watcher::maintain_contact()
{
    bool const is_lost = lease_generation_ != call_log_.generation();
    bool const has_other_key =
        !leased_key_.empty() && leased_key_ != duties_.contact_key_;
    if (!duties_.contact_key_ || has_other_key || is_lost)
    {
        // The store expires a lease that isn't renewed.
        lease_id_ = 0;
        leased_key_.clear();
    }
    if (is_lost)
    {
        contact_revisions_.clear();
    }
    if (!duties_.contact_key_)
    {
        return;
    }
    is_lease_call_pending_ = true;
    if (lease_id_ == 0)
    {
        grant_lease();
    }
    else if (leased_key_.empty())
    {
        write_contact();
    }
    else
    {
        store_->keep_alive(lease_id_,
                           track_call(store_call::renew_lease,
                                      [this](store_answer const& answer)
                                      { on_contact_renewed(answer); }));
    }
}

void store_watcher::on_contact_renewed(store_answer const& answer)
{
    is_lease_call_pending_ = false;
    // In another generation the same number belongs to somebody else's lease.
    bool const has_ended = answer.error_
                               ? answer.error_ == error_kind::not_found
                               : answer.generation_ != lease_generation_;
    if (has_ended)
    {
        lease_id_ = 0;
        leased_key_.clear();
    }
    if (answer.error_ || has_ended)
    {
        record_failure(lease_backoff_);
        return;
    }
    contact_renewed_at_ = steady_clock::now();
    record_success(lease_backoff_, renew_interval);
}

void store_watcher::grant_lease()
{
    store_->grant_lease(
        lease_ttl,
        track_call(store_call::grant_lease,
                   [this](store_answer const& answer)
                   {
                       is_lease_call_pending_ = false;
                       if (answer.error_ || !duties_.contact_key_)
                       {
                           record_failure(lease_backoff_);
                           return;
                       }
                       lease_id_ = static_cast<std::int64_t>(answer.revision_);
                       lease_generation_ = answer.generation_;
                       is_lease_call_pending_ = true;
                       write_contact();
                   }));
}

// Writes the key under a condition on its revision, so that a write that is
// executed late doesn't replace a newer one or bind the key to a former lease.
void store_watcher::write_contact()
{
    auto const key = *duties_.contact_key_;
    auto const known = contact_revisions_.find(key);
    auto const expected =
        known == contact_revisions_.end() ? revision{0} : known->second;
    store_->swap({{key, expected}},
                 {{key, to_string(contact_), false, lease_id_}},
                 track_call(store_call::write_contact,
                            [this, key](store_answer const& answer)
                            { on_contact_written(key, answer); }));
}

void store_watcher::on_contact_written(std::string const& key,
                                       store_answer const& answer)
{
    is_lease_call_pending_ = false;
    // The lease may have been granted before the store was restored.
    bool const has_ended = answer.error_
                               ? answer.error_ == error_kind::not_found
                               : answer.generation_ != lease_generation_;
    if (has_ended)
    {
        lease_id_ = 0;
    }
    if (answer.error_ || has_ended)
    {
        record_failure(lease_backoff_);
        return;
    }
    if (!answer.succeeded_)
    {
        on_contact_conflict(key, answer);
        return;
    }
    contact_revisions_[key] = answer.revision_;
    leased_key_ = key;
    contact_renewed_at_ = steady_clock::now();
    record_success(lease_backoff_, renew_interval);
}

// Another balancer's address is a reason to read all contacts: that balancer
// may be unknown here.
void store_watcher::on_contact_conflict(std::string const& key,
                                        store_answer const& answer)
{
    auto const* const entry =
        answer.entries_.empty() ? nullptr : &answer.entries_.front();
    contact_revisions_[key] =
        entry == nullptr ? revision{0} : entry->modified_revision_;
    bool const is_own =
        entry == nullptr || entry->value_ == to_string(contact_);
    log_event(log_level::info, "contact_conflict",
              {{"key", key}, {"revision", contact_revisions_[key]}});
    if (is_own)
    {
        record_success(lease_backoff_, milliseconds(0));
        return;
    }
    contacts_read_at_ = {};
    must_read_once_ = true;
    record_success(lease_backoff_, conflict_delay);
}

bool store_watcher::must_read_contacts() const
{
    bool const is_urgent = duties_.needs_contacts_ || must_read_once_;
    auto const interval = is_urgent ? read_interval : check_interval;
    return (is_urgent || duties_.checks_contacts_) &&
           steady_clock::now() >= contacts_read_at_ + interval;
}

void store_watcher::read_contacts()
{
    is_contacts_call_pending_ = true;
    // A contact that was just found is missing in an older answer.
    auto const read =
        must_read_once_ ? &config_store::range : &config_store::range_stale;
    ((*store_).*read)(std::string(contact_prefix), max_contacts,
                      track_call(store_call::read_contacts,
                                 [this](store_answer const& answer)
                                 { on_contacts_read(answer); }));
}

void store_watcher::on_contacts_read(store_answer const& answer)
{
    is_contacts_call_pending_ = false;
    if (answer.error_)
    {
        record_failure(contacts_backoff_);
        return;
    }
    record_success(contacts_backoff_, milliseconds(0));
    contacts_read_at_ = steady_clock::now();
    must_read_once_ = false;
    contact_revisions_.clear();
    for (auto const& entry : answer.entries_)
    {
        contact_revisions_[entry.key_] = entry.modified_revision_;
    }
    on_contacts_(parse_contacts(answer.entries_));
}

// A refused entry is counted and logged when it is first read, not again with
// each read in which it is unchanged.
std::vector<endpoint>
store_watcher::parse_contacts(std::vector<store_entry> const& entries)
{
    std::vector<endpoint> found;
    std::map<std::string, std::string> refused;
    for (auto const& entry : entries)
    {
        try
        {
            found.push_back(parse_endpoint(entry.value_));
        }
        catch (error const& fault)
        {
            auto const known = refused_contacts_.find(entry.key_);
            if (known == refused_contacts_.end() ||
                known->second != entry.value_)
            {
                ++refused_contact_count_;
                log_event(log_level::warning, "bad_contact",
                          {{"key", entry.key_}, {"detail", fault.what()}});
            }
            refused.emplace(entry.key_, entry.value_);
        }
    }
    refused_contacts_ = std::move(refused);
    return found;
}

} // namespace daisytrail
