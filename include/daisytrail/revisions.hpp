// The templates in force at one process: adopted by revision only, fetched
// from peers in parts, with a bounded record of what was adopted from whom.
#pragma once

#include <daisytrail/item_tree.hpp>
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

enum class adoption : std::uint8_t
{
    adopted,
    already_held,     // this revision with this value
    refused_older,    // an older revision than the one in force
    refused_conflict, // the same revision with another value
    refused_invalid,  // failed the check; the last good one stays
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(adoption::count)>
    adoption_names{"adopted", "already_held", "refused_older",
                   "refused_conflict", "refused_invalid"};

// One line of a process's own record.
struct adoption_record
{
    std::string organisation_;
    revision revision_ = 0;
    adoption outcome_ = adoption::adopted;
    std::string source_; // "store" or the control endpoint of a peer
    time_point at_;
    std::string detail_;
};

// Lines that a process keeps; older ones are dropped.
inline constexpr std::size_t max_adoption_records = 256;

// Largest value of the store.
inline constexpr std::size_t max_template_bytes = 1ULL << 20U;

// Bytes of a template in one datagram.
inline constexpr std::size_t template_chunk_bytes = 1'000;

// Returns what is wrong with a stored value, or nothing.
using template_check =
    std::function<std::optional<std::string>(std::string_view value)>;

// A template in force.
struct held_template
{
    std::string organisation_;
    revision revision_ = 0;
    std::string value_; // as in the store
};

class template_revisions
{
public:
    // Called before an organisation's item changes and after; either may be
    // empty.
    using change_callback = std::function<void(
        std::optional<item> const& before, std::optional<item> const& after)>;

    explicit template_revisions(template_check check,
                                change_callback on_change = {});

    // Keeps only this organisation's template.
    void restrict_to(std::uint64_t organisation)
    {
        only_organisation_ = organisation;
    }

    // Offers a whole value, from the store or from a peer.
    adoption try_adopt(std::string const& organisation, revision at,
                       std::string value, std::string const& source,
                       time_point now, std::vector<control_action>& out);

    // A peer knows of this version: fetches it if it is newer. Returns true if
    // this process didn't know of it yet.
    bool on_offer(item const& theirs, endpoint const& from, time_point now,
                  std::vector<control_action>& out);

    // Answers a peer's request.
    void answer_request(template_request const& request, endpoint const& from,
                        std::vector<control_action>& out) const;

    void on_chunk(template_chunk const& chunk, endpoint const& from,
                  time_point now, std::vector<control_action>& out);

    // Repeats requests that got no answer.
    void tick(time_point now, std::vector<control_action>& out);

    // True if peers offer a newer revision since more than `patience` whose
    // value hasn't come yet. Load pattern: all balancers of a large fleet fetch
    // a large template at once, and the byte budget of their peers can't carry
    // it in time.
    bool is_overdue(duration timeout, time_point now) const;

    // The newest known revisions of the organisations that changed last, held
    // here or not.
    std::vector<item> latest_revisions() const;

    std::optional<item> find(std::uint64_t organisation) const;

    // Items under one node of the hash tree.
    std::vector<item> items(tree_node const& node) const;

    std::vector<held_template> held_templates() const;

    std::deque<adoption_record> const& adoption_records() const
    {
        return records_;
    }

private:
    // An unfinished transfer. The parts of a revision are the same everywhere,
    // so that another peer can go on with it.
    struct transfer
    {
        revision revision_ = 0;
        std::vector<endpoint> peers_; // that offered it; the first is asked
        std::uint32_t next_index_ =
            0; // index of the first part that is missing
        std::string value_;
        time_point requested_at_;
        int attempts_ = 0;
    };

    // A revision that was offered and isn't held yet.
    struct pending_revision
    {
        revision revision_ = 0;
        time_point
            first_offered_at_; // when the first one that isn't held was offered
        time_point last_offered_at_; // when it was offered last
    };

    bool note_pending(std::uint64_t id, revision at, time_point now);
    void mark_changed(std::uint64_t id);
    static item to_item(std::uint64_t id, revision at);
    void add_record(adoption_record line);
    void send_request(std::uint64_t id, transfer& open, time_point now,
                      std::vector<control_action>& out);
    adoption evaluate(std::uint64_t id, revision at, std::string const& value,
                      std::string& detail) const;

    template_check validate_;
    change_callback on_change_;
    std::optional<std::uint64_t> only_organisation_;
    std::map<std::uint64_t, held_template> held_;
    std::map<std::uint64_t, transfer> transfers_;
    std::map<std::uint64_t, pending_revision> pending_revisions_;
    std::deque<std::uint64_t>
        last_changed_; // organisations, the last changed first
    // Newest revision that failed the check; it isn't fetched again.
    std::map<std::uint64_t, revision> invalid_;
    std::deque<adoption_record> records_;
};

} // namespace daisytrail
