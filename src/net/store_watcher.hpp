// A balancer's use of the configuration store. The balancer follows the
// templates and, within a call budget, maintains its contact key, reads the
// contacts of other balancers, and writes the list of targets and the copies of
// templates.
#pragma once

#include "net/metrics.hpp"
#include "net/store_call_log.hpp"
#include "net/template_follower.hpp"

#include <daisytrail/byte_budget.hpp>
#include <daisytrail/settings.hpp>
#include <daisytrail/store.hpp>
#include <daisytrail/template_versions.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisytrail
{

// A balancer's current duties at the store.
struct store_duties
{
    bool watches_templates_ = false;
    std::optional<std::string> contact_key_; // key to hold under a lease
    bool needs_contacts_ = false;  // balancers may run that aren't known
    bool checks_contacts_ = false; // reads the contacts for its peers, too
    // Current list of targets, set on the balancer that writes it to the store.
    std::optional<std::string> target_list_;
    // Template whose copy this balancer is to write next.
    std::optional<held_template> template_copy_;
};

class store_watcher
{
public:
    using contacts_handler = std::function<void(std::vector<endpoint> const&)>;

    store_watcher(boost::asio::io_context& io,
                  std::unique_ptr<config_store> store,
                  balancer_settings const& settings, metrics& counters,
                  template_follower::handler on_template);
    ~store_watcher();

    // Receives the value of target_list_key after the start, and whenever
    // another balancer has written it while this one has the duty to write it.
    // The value is empty if the key doesn't exist.
    using list_handler = std::function<void(std::string const&)>;

    // Receives the copy of a template that was requested, if there is one.
    using copy_handler = std::function<void(std::string const& organisation,
                                            std::string const& copy)>;

    void start(contacts_handler on_contacts, list_handler on_list,
               copy_handler on_copy);
    void stop();
    void set_duties(store_duties duties);

    // Schedules a read of the templates, whether or not this balancer watches
    // them.
    void request_templates()
    {
        templates_.schedule_read();
    }

    // Schedules a read of the copy of an organisation's template.
    void request_copy(std::string const& organisation);

    // Returns true if the store is known to hold a copy of this version or of a
    // newer one.
    bool is_copied(std::string const& organisation,
                   template_version version) const;

private:
    // Delay between calls of one kind. It grows with each failure.
    struct backoff
    {
        std::chrono::milliseconds delay_{0};
        time_point next_call_at_;
    };

    // The list of targets in the store, as it was last written or read.
    struct seen_list
    {
        std::string value_;
        std::optional<revision> revision_; // 0: the key doesn't exist
        store_generation generation_ = 0;
        time_point seen_at_{};
    };

    // The copy of a template in the store, as it was last written or read.
    struct stored_copy
    {
        template_version version_ = 0; // 0: unknown
        revision revision_ = 0;        // 0: the key doesn't exist
        store_generation generation_ = 0;
    };

    void schedule();
    void tick();
    bool try_start_call(backoff const& state);
    void record_success(backoff& state, std::chrono::milliseconds delay);
    void record_failure(backoff& state);
    void notice_restoration();
    void notice_recovery();
    void maintain_contact();
    void on_contact_renewed(store_answer const& answer);
    void grant_lease();
    void write_contact();
    void on_contact_written(std::string const& key, store_answer const& answer);
    void on_contact_conflict(std::string const& key,
                             store_answer const& answer);
    bool must_read_contacts() const;
    void read_contacts();
    void on_contacts_read(store_answer const& answer);
    std::vector<endpoint>
    parse_contacts(std::vector<store_entry> const& entries);
    void maintain_list();
    bool must_read_list() const;
    bool must_write_list() const;
    void read_list();
    void on_list_read(store_answer const& answer);
    void see_list(store_answer const& answer);
    void write_list();
    void on_list_written(std::string const& value, store_answer const& answer);
    void maintain_copies();
    void read_copy(std::string const& organisation);
    void on_copy_read(std::string const& organisation,
                      store_answer const& answer);
    void write_copy();
    void on_copy_written(std::string const& organisation,
                         template_version version, std::size_t bytes,
                         store_answer const& answer);
    store_handler track_call(store_call call,
                             std::function<void(store_answer const&)> handler);

    std::unique_ptr<config_store> store_;
    endpoint contact_;
    boost::asio::steady_timer timer_;
    byte_budget call_budget_; // one unit per call, except calls for templates
    std::mt19937 random_;
    contacts_handler on_contacts_;
    list_handler on_list_;
    copy_handler on_copy_;
    store_duties duties_;
    backoff contacts_backoff_;
    backoff lease_backoff_;
    backoff list_backoff_;
    bool is_contacts_call_pending_ = false;
    bool is_lease_call_pending_ = false;
    bool is_list_call_pending_ = false;
    backoff copy_backoff_;
    bool is_copy_call_pending_ = false;
    std::set<std::string> wanted_copies_;       // organisations
    std::map<std::string, stored_copy> copies_; // by organisation
    bool has_read_list_ = false;
    // Without a revision if another balancer may have written it meanwhile.
    seen_list list_;
    bool is_own_list_outdated_ = false; // until the next set_duties()
    std::int64_t lease_id_ = 0;         // 0: none
    store_generation lease_generation_ = 0;
    std::string leased_key_; // bound to the lease; empty if not written yet
    // Of the contact keys, by key, as they were last read or written.
    std::map<std::string, revision> contact_revisions_;
    store_generation noticed_generation_ = 0;
    std::uint64_t noticed_recoveries_ = 0;
    time_point contact_renewed_at_{};
    time_point contacts_read_at_{};
    bool must_read_once_ = false; // a contact was found that may be unknown
    bool is_stopped_ = false;
    std::shared_ptr<bool> alive_;
    store_call_log call_log_;
    template_follower templates_;
    std::uint64_t& refused_calls_;
    std::uint64_t& refused_contact_count_;
    // Values of the last read by key; at most max_contacts.
    std::map<std::string, std::string> refused_contacts_;
};

} // namespace daisytrail
