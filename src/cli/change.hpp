// Sending one change of a template to the store, at most once.
#pragma once

#include "cli/blocking_store.hpp"
#include "cli/stored_change.hpp"
#include "cli/template_diff.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

struct change_request
{
    std::string text_;            // the operator's template
    organisation_template value_; // the same, parsed without a fault
    std::string change_id_;       // unique in the organisation
    std::string who_;
    std::string when_;
    revision base_ = 0; // revision that the operator has seen; 0: none
    bool allow_breaking_ = false;
    time_point deadline_;
};

enum class change_result : std::uint8_t
{
    accepted, // the swap took effect
    refused,  // it did not, and never will
    unknown,  // it may have taken effect, or may still do so
    count
};

inline constexpr std::array<std::string_view, 3> change_result_names{
    "accepted", "refused", "unknown"};

struct change_outcome
{
    change_result result_ = change_result::unknown;
    error_kind kind_ = error_kind::internal; // valid unless accepted
    std::string detail_;
    revision revision_ = 0;    // in force: ours if accepted
    std::uint64_t number_ = 0; // of the accepted change
    bool repeated_ = false;    // this change id was accepted before
    bool unchanged_ = false;   // accepted without a write: nothing differs
    std::vector<difference> differences_; // of a conflict: ours to theirs
};

// Applies the change. An attempt whose answer was lost is settled by reading
// back its change id; the same swap is tried again only while the template is
// still at the base revision, so that at most one attempt ever succeeds.
change_outcome apply_change(blocking_store& store,
                            change_request const& request);

} // namespace daisytrail
