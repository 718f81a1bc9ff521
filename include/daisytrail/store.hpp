// Interface to the platform's configuration store: keys with revisions,
// compare-and-swap, leases and watches. src/store implements it over the etcd
// v3 JSON gateway; tests use a fake store.
#pragma once

#include <daisytrail/error.hpp>
#include <daisytrail/types.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisytrail
{

// Key prefix of the templates: template_prefix + organisation. The value is a
// stored_template as JSON.
inline constexpr std::string_view template_prefix = "daisytrail/templates/";

// Key prefix of the audit records: audit_prefix + organisation + "/" + number
// of the change within the organisation, zero-padded to ten digits.
inline constexpr std::string_view audit_prefix = "daisytrail/audit/";

// Key prefix of the balancers through which a process may join the fleet:
// contact_prefix + failure domain + "/" + slot number. The value is an
// endpoint; the keys are bound to a lease.
inline constexpr std::string_view contact_prefix = "daisytrail/contacts/";

// Key of the list of targets that may own flows, as some balancer last wrote
// it, one line per target (src/net/stored_targets.hpp). From this list a
// balancer that starts learns which targets it has yet to discover, and where
// they were.
inline constexpr std::string_view target_list_key = "daisytrail/targets";

// Key prefix of the copies of the templates in force: template_copy_prefix +
// organisation. src/net/template_copy.hpp defines the value.
inline constexpr std::string_view template_copy_prefix = "daisytrail/copies/";

// Identifies the history that the store's revisions and leases belong to. A
// store that is restored from a copy starts another one, in which revisions and
// lease numbers are given out again. 0: unknown.
using store_generation = std::uint64_t;

// A key with its value.
struct store_entry
{
    std::string key_;
    std::string value_;
    revision modified_revision_ = 0; // store revision of the last change
    // Why the value can't be used, from the code that reads it; empty if it
    // can.
    std::string fault_ = {};
    // Version of a value that can't be used; 0: unknown.
    template_version fault_version_ = 0;
};

// Size of a response and the time from its first part to its last.
struct response_transfer
{
    std::size_t bytes_ = 0;
    duration time_{};
};

// Result of a call of the store; error_ is empty on success. A write that
// failed with outcome_unknown may have been applied.
struct store_answer
{
    std::optional<error_kind> error_;
    std::string detail_;
    revision revision_ = 0;  // store revision at the time of the answer
    bool succeeded_ = false; // for swap(): all comparisons were true
    // For range(): the entries found. For swap(), if a comparison was false:
    // the current entries of the compared keys.
    std::vector<store_entry> entries_;
    store_generation generation_ = 0;
    response_transfer transfer_; // empty if the store doesn't measure it
    // Of a watch: an answer is still arriving, and all other members are empty.
    bool is_partial_ = false;
};

// One comparison of swap(): true if the key was last modified at this revision,
// or doesn't exist in case of revision 0.
struct store_comparison
{
    std::string key_;
    revision modified_revision_ = 0;
};

// One write of swap().
struct store_write
{
    std::string key_;
    std::string value_; // unused if remove_
    bool remove_ = false;
    std::int64_t lease_ = 0; // lease that the key is bound to; 0: none
};

// Removes the entries that a later entry of the same key replaces, and keeps
// the order of the others.
void remove_replaced_entries(std::vector<store_entry>& entries);

using store_handler = std::function<void(store_answer)>;

// Calls return immediately and pass their result to the handler, which is
// called on the thread of the event loop, never from within the call itself.
// Except for watch(), a handler is called once.
class config_store
{
public:
    virtual ~config_store() = default;

    // Reads the entries whose keys start with `prefix`, in order of their keys
    // and at most `limit` of them (0: no limit).
    virtual void range(std::string const& prefix, std::size_t limit,
                       store_handler handler) = 0;

    // The same, but the answer may be some seconds old. A store may answer such
    // calls at a lower price.
    virtual void range_stale(std::string const& prefix, std::size_t limit,
                             store_handler handler)
    {
        range(prefix, limit, std::move(handler));
    }

    // Compare-and-swap: applies all writes in one transaction if all
    // comparisons are true.
    virtual void swap(std::vector<store_comparison> comparisons,
                      std::vector<store_write> writes,
                      store_handler handler) = 0;

    // Creates a lease. The answer holds the lease's identifier in revision_.
    virtual void grant_lease(std::chrono::seconds time_to_live,
                             store_handler handler) = 0;

    // Renews a lease for its full time to live.
    virtual void keep_alive(std::int64_t lease, store_handler handler) = 0;

    // Reports each change under `prefix` from revision `from` on, in batches.
    // An empty batch reports that the watch is alive; a store that supports
    // such notifications sends one at least every `progress_interval`. A
    // partial answer reports that a batch is on its way. When the watch ends,
    // the handler is called a last time, with an error.
    virtual void watch(std::string const& prefix, revision from,
                       std::chrono::milliseconds progress_interval,
                       store_handler handler) = 0;

    // Ends all watches without calling their handlers.
    virtual void cancel_watches() {}
};

} // namespace daisytrail
