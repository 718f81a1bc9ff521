// Templates in force at one process. A template is replaced only by a newer
// version, and each adoption or refusal is recorded in a bounded log.
#pragma once

#include <daisytrail/item_tree.hpp>
#include <daisytrail/template_transfer.hpp>
#include <daisytrail/types.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytrail
{

// Source of templates that were read from the store.
inline constexpr std::string_view store_source = "store";

// Result of offering a template to a process.
enum class adoption : std::uint8_t
{
    adopted,
    already_held,     // same version and value as the one in force
    refused_older,    // older version than the one in force
    refused_conflict, // same version as the one in force, different value
    refused_invalid,  // failed validation; the template in force stays
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(adoption::count)>
    adoption_names{"adopted", "already_held", "refused_older",
                   "refused_conflict", "refused_invalid"};

// Entry of the adoption log.
struct adoption_record
{
    std::string organisation_;
    template_version version_ = 0;
    adoption outcome_ = adoption::adopted;
    std::string source_; // "store" or the control endpoint of the peer
    time_point at_;
    std::string detail_; // reason of a refusal
};

// Maximum number of entries in the adoption log; the oldest are dropped.
inline constexpr std::size_t max_adoption_records = 256;

// Validates a stored value: returns a description of the error, or nothing if
// the value is valid.
using template_check =
    std::function<std::optional<std::string>(std::string_view value)>;

// A version that this process refused as invalid and that is newer than the one
// in force, which therefore stays.
struct refused_template
{
    std::string organisation_;
    template_version version_ = 0;
    std::string reason_;
};

// A template in force.
struct held_template
{
    std::string organisation_;
    template_version version_ = 0;
    std::string value_; // as in the store
};

class template_versions
{
public:
    // Called after an organisation's template changed, with its item before and
    // after the change; either may be empty.
    using change_callback = std::function<void(
        std::optional<item> const& before, std::optional<item> const& after)>;

    explicit template_versions(template_check check,
                               change_callback on_change = {});

    // Ignores offers from peers for the templates of all other organisations.
    void restrict_to(std::uint64_t organisation)
    {
        only_organisation_ = organisation;
    }

    // Adopts a complete value from the store or a peer if it is newer than the
    // template in force and valid. Logs adoptions and refusals; the refusal of
    // an invalid version is reported once.
    adoption try_adopt(std::string const& organisation,
                       template_version version, std::string value,
                       std::string const& source, time_point now,
                       std::vector<control_action>& out);

    // Records that a version newer than the one in force can't be used, and
    // reports it once. 0: unknown, counts as newer.
    void refuse(std::string const& organisation, template_version version,
                std::string const& reason, std::string const& source,
                time_point now, std::vector<control_action>& out);

    // Handles a peer's offer of this version: starts a transfer if the version
    // is newer than the template in force. Returns true if the version wasn't
    // known to this process.
    bool on_offer(item const& offered, endpoint const& from, time_point now,
                  std::vector<control_action>& out);

    // Sends the requested chunks to a peer; ignores a request for a version
    // that isn't in force here yet.
    void answer_request(template_request const& request, endpoint const& from,
                        std::vector<control_action>& out);

    // Appends a chunk to its transfer, and requests the next ones or passes on
    // the completed value, which is to be checked and returned by
    // adopt_received().
    void on_chunk(template_chunk const& chunk, endpoint const& from,
                  time_point now, std::vector<control_action>& out);

    // Adopts a value that on_chunk() passed on, like try_adopt(). A value that
    // became older meanwhile is dropped.
    void adopt_received(template_received_action received, time_point now,
                        std::vector<control_action>& out);

    // Retries unanswered requests at the next peer; ends transfers that have
    // used up their attempts.
    void tick(time_point now, std::vector<control_action>& out);

    // Returns true if peers have offered a newer version for at least
    // `timeout` and its value hasn't arrived. This happens when all balancers
    // of a large fleet fetch a large template at once and their peers' byte
    // budgets are too small to transfer it in time.
    bool is_overdue(duration timeout, time_point now) const;

    // Returns the newest known versions of the most recently changed
    // organisations, whether in force here or still pending.
    std::vector<item> latest_versions() const;

    // Returns the item of the template in force, if there is one.
    std::optional<item> find(std::uint64_t organisation) const;

    // Returns the items below one node of the hash tree.
    std::vector<item> items(tree_node const& node) const;

    std::vector<held_template> held_templates() const;

    // Returns a template in force for which `is_wanted` returns true.
    std::optional<held_template> find_held(
        std::function<bool(std::string const& organisation,
                           template_version version)> const& is_wanted) const;

    // Returns true if a version is refused that is newer than the one in force.
    bool has_refused(std::uint64_t organisation) const;

    // Returns the refused versions that are newer than the versions in force.
    std::vector<refused_template> refused_templates() const;

    std::deque<adoption_record> const& adoption_records() const
    {
        return records_;
    }

private:
    // A version that was offered and whose value hasn't arrived.
    struct pending_version
    {
        template_version version_ = 0; // newest one that was offered
        // First offer that is still pending; newer offers don't reset it.
        time_point first_offered_at_;
        time_point last_offered_at_;
    };

    bool note_pending(std::uint64_t id, template_version version,
                      time_point now);
    void mark_changed(std::uint64_t id);
    static item to_item(std::uint64_t id, template_version version);
    void add_record(adoption_record line);
    adoption evaluate(std::uint64_t id, template_version version,
                      std::string const& value, std::string& detail) const;
    bool record_refusal(std::uint64_t id, refused_template refused);
    void forget_refusals(std::uint64_t id, template_version adopted,
                         std::string const& source);
    bool is_refused(std::uint64_t id, template_version version) const;

    template_check validate_;
    change_callback on_change_;
    std::optional<std::uint64_t> only_organisation_;
    std::map<std::uint64_t, served_template> held_;
    template_fetcher fetcher_;
    std::map<std::uint64_t, pending_version> pending_versions_;
    // Organisations in the order of their last change, newest first.
    std::deque<std::uint64_t> last_changed_;
    // Versions that failed validation and are newer than the one in force, the
    // newest max_refused_versions for each organisation. They aren't fetched
    // again; older versions are, since a valid one may be among them.
    std::map<std::uint64_t, std::map<template_version, refused_template>>
        refused_;
    std::deque<adoption_record> records_;
};

} // namespace daisytrail
