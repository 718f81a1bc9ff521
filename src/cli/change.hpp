// Applies a change of a template to the store at most once.
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
    organisation_template value_; // parsed from text_ without errors
    std::string change_id_;       // unique in the organisation
    std::string who_;
    std::string when_;
    std::uint64_t unix_ms_ = 0; // time of the change
    // Version that the change builds on; 0: no template yet.
    template_version base_ = 0;
    bool allow_breaking_ = false;
    time_point deadline_;
};

enum class change_result : std::uint8_t
{
    accepted, // the swap took effect
    refused,  // the swap had no effect and never will
    unknown,  // the swap may have taken effect or may still do
    count
};

inline constexpr std::array<std::string_view, 3> change_result_names{
    "accepted", "refused", "unknown"};

struct change_outcome
{
    change_result result_ = change_result::unknown;
    error_kind kind_ = error_kind::internal; // valid unless accepted
    std::string detail_;
    revision revision_ = 0;    // in force; of this change if accepted
    std::uint64_t number_ = 0; // of this change, if accepted
    // If accepted: of this change, or of the newer one that is stored by now.
    template_version version_ = 0;
    bool repeated_ = false;  // this change id was accepted before
    bool unchanged_ = false; // accepted without a write: no difference
    std::vector<difference> differences_; // if refused: stored to requested
};

// Applies the change. If the answer to an attempt is lost, the change id is
// read back to find the outcome. The same swap is retried only while the
// template is at the base version, so that at most one attempt succeeds.
change_outcome apply_change(blocking_store& store,
                            change_request const& request);

} // namespace daisytrail
