// Keys and values that an accepted change writes to the store: the template,
// its entry in the audit trail, the change id, and claims on VIPs.
#pragma once

#include <daisytrail/store.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisytrail
{

// Number of audit entries that are kept for each organisation.
inline constexpr std::uint64_t audit_retention = 256;

// Largest number of audit entries in a page of the history.
inline constexpr std::uint64_t audit_page_entries = 10;

// The value of a template key.
struct stored_template
{
    std::string change_id_;
    std::string who_;
    std::string when_;             // UTC, "2026-12-04T01:02:03Z"
    std::uint64_t number_ = 0;     // counted from 1 in each organisation
    std::string template_;         // the operator's text
    template_version version_ = 0; // 0: written by a release without versions
};

// One entry of the audit trail.
struct audit_entry
{
    std::string organisation_;
    std::string change_id_;
    std::string who_;
    std::string when_;
    std::uint64_t number_ = 0;
    std::string before_; // empty for the first change
    std::string after_;
    revision revision_ = 0; // of the store; not part of the value
};

// Maps the VIPs of a bucket to the organisations that claim them.
using vip_claims = std::map<std::string, std::string>;

inline constexpr std::string_view change_prefix = "daisytrail/changes/";
inline constexpr std::string_view vip_prefix = "daisytrail/vips/";

std::string template_key(std::string const& organisation);
std::string audit_key(std::string const& organisation, std::uint64_t number);
// Prefix of the keys of all changes whose numbers differ from `number` at most
// in the last digit.
std::string audit_page_prefix(std::string const& organisation,
                              std::uint64_t number);
std::string change_key(std::string const& organisation,
                       std::string const& change_id);
// Key of the bucket that holds the claim on a VIP. A fixed number of buckets
// bounds a change's transaction for any number of VIPs and lets organisations
// apply changes concurrently.
std::string vip_bucket_key(std::string const& vip);

std::string to_json_text(stored_template const& value);
std::string to_json_text(audit_entry const& value);
std::string to_json_text(vip_claims const& value);

// The parse functions throw error(internal) if the value has another form.
stored_template parse_stored_template(std::string const& text);
audit_entry parse_audit_entry(store_entry const& entry);
vip_claims parse_vip_claims(std::string const& text);

} // namespace daisytrail
