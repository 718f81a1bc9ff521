// The platform's configuration store: keys with revisions, compare-and-swap,
// leases and watches. src/store implements it over the etcd v3 JSON gateway;
// tests put a fake in its place.
#pragma once

#include <daisytrail/error.hpp>
#include <daisytrail/types.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Key of an organisation's template; its value is a stored_template as JSON.
inline constexpr std::string_view template_prefix = "daisytrail/templates/";

// Keys of the audit trail: audit_prefix + organisation + "/" + the change's
// number in the organisation, zero-padded to ten digits.
inline constexpr std::string_view audit_prefix = "daisytrail/audit/";

// Keys of balancers that may be asked first, held under a lease:
// contact_prefix + failure domain + "/" + slot number; value is an endpoint.
inline constexpr std::string_view contact_prefix = "daisytrail/contacts/";

// Key of the list of targets that may own flows, as one balancer last saw it:
// their identifiers in hex, separated by spaces. A balancer that starts knows
// from it which targets it hasn't met yet.
inline constexpr std::string_view target_list_key = "daisytrail/targets";

struct store_entry
{
    std::string key_;
    std::string value_;
    revision modified_revision_ = 0; // store revision of the last change
};

// Result of a call: error_ is empty on success. A write that failed with
// outcome_unknown may have taken effect.
struct store_answer
{
    std::optional<error_kind> error_;
    std::string detail_;
    revision revision_ = 0;            // of the store at the answer
    bool succeeded_ = false;           // swap(): every comparison held
    std::vector<store_entry> entries_; // range(): the entries found;
                                       // swap(): the current ones on a failure
};

// One comparison of a swap: the key was last modified at this revision; 0
// means that it doesn't exist.
struct store_comparison
{
    std::string key_;
    revision modified_revision_ = 0;
};

struct store_write
{
    std::string key_;
    std::string value_; // ignored by a removal
    bool remove_ = false;
    std::int64_t lease_ = 0; // 0: no lease
};

using store_handler = std::function<void(store_answer)>;

// Handlers are called on the event loop's thread, once a call, never from
// within the call itself.
class config_store
{
public:
    virtual ~config_store() = default;

    // Entries whose key starts with `prefix`, in key order, at most `limit`
    // (0: no limit).
    virtual void range(std::string const& prefix, std::size_t limit,
                       store_handler handler) = 0;

    // Applies all writes in one transaction if every comparison holds.
    virtual void swap(std::vector<store_comparison> comparisons,
                      std::vector<store_write> writes,
                      store_handler handler) = 0;

    // Grants a lease; the answer's revision_ is the lease's number.
    virtual void grant_lease(std::chrono::seconds time_to_live,
                             store_handler handler) = 0;

    virtual void keep_alive(std::int64_t lease, store_handler handler) = 0;

    // Reports each change under `prefix` from revision `from` on, in batches.
    // A batch without entries is a sign of life, which a store that can send
    // it does at least each `progress_interval`. The handler is called once
    // with an error when the watch ends.
    virtual void watch(std::string const& prefix, revision from,
                       std::chrono::milliseconds progress_interval,
                       store_handler handler) = 0;

    // Ends every watch without a call of its handler.
    virtual void cancel_watches() {}
};

} // namespace daisytrail
