// What an accepted change leaves in the store: the template, its entry in the
// audit trail, the change id, and claims on VIPs.
#pragma once

#include <daisytrail/store.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisytrail
{

// Entries of the audit trail that are kept for each organisation.
inline constexpr std::uint64_t audit_retention = 256;

// Entries that one read of the audit trail returns at most.
inline constexpr std::uint64_t audit_page_entries = 10;

// The value of a template key.
struct stored_template
{
    std::string change_id_;
    std::string who_;
    std::string when_;         // UTC, "2026-12-04T01:02:03Z"
    std::uint64_t number_ = 0; // of the change in its organisation, from 1
    std::string template_;     // the operator's text
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

// VIPs of one bucket, to the organisation that claims each.
using vip_claims = std::map<std::string, std::string>;

inline constexpr std::string_view change_prefix = "daisytrail/changes/";
inline constexpr std::string_view vip_prefix = "daisytrail/vips/";

std::string template_key(std::string const& organisation);
std::string audit_key(std::string const& organisation, std::uint64_t number);
// Prefix of the entries that share all digits but the last one.
std::string audit_page_prefix(std::string const& organisation,
                              std::uint64_t number);
std::string change_key(std::string const& organisation,
                       std::string const& change_id);
// A fixed number of buckets keeps a change's transaction small, however many
// VIPs there are, and lets changes of other organisations pass at once.
std::string vip_bucket_key(std::string const& vip);

std::string to_json_text(stored_template const& value);
std::string to_json_text(audit_entry const& value);
std::string to_json_text(vip_claims const& value);

// These throw error(internal) if the value isn't one of ours.
stored_template parse_stored_template(std::string const& text);
audit_entry parse_audit_entry(store_entry const& entry);
vip_claims parse_vip_claims(std::string const& text);

} // namespace daisytrail
