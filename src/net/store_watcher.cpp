// Performs a balancer's duties at the configuration store.
#include "net/store_watcher.hpp"

#include "net/log.hpp"

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{100};
constexpr milliseconds first_backoff{200};
constexpr milliseconds max_backoff{2'000};
constexpr milliseconds contacts_interval{2'000};
// The same for a balancer that reads them by duty. Bounds the time in which the
// parts of a fleet that was split find each other.
constexpr milliseconds contacts_check_interval{5'000};
constexpr milliseconds renew_interval{20'000};
// A store that loses answers seems to return again and again.
constexpr milliseconds min_renew_interval{1'000};
constexpr milliseconds list_interval{2'000}; // between writes
constexpr std::chrono::seconds lease_ttl{60};
// Average rate of calls to the store, except calls for templates. Short bursts
// may exceed it.
constexpr std::uint32_t max_calls_per_second = 1;
constexpr std::size_t max_contacts = 64;

} // namespace

store_watcher::store_watcher(boost::asio::io_context& io,
                             std::unique_ptr<config_store> store,
                             balancer_settings const& settings,
                             metrics& counters,
                             template_follower::handler on_template)
    : store_(std::move(store)), contact_(settings.common_.control_), timer_(io),
      call_budget_(max_calls_per_second), random_(std::random_device{}()),
      alive_(std::make_shared<bool>(true)), call_log_(counters),
      templates_(*store_, call_log_, counters, settings.apply_within_,
                 std::move(on_template)),
      refused_calls_(
          counters.counter("daisytrail_store_calls_over_budget_total")),
      refused_contact_count_(counters.counter(
          "daisytrail_store_entries_refused_total{entry=\"contact\"}"))
{
}

store_watcher::~store_watcher() = default;

void store_watcher::start(contacts_handler on_contacts, list_handler on_list,
                          copy_handler on_copy)
{
    on_contacts_ = std::move(on_contacts);
    on_list_ = std::move(on_list);
    on_copy_ = std::move(on_copy);
    tick();
    schedule();
}

void store_watcher::stop()
{
    is_stopped_ = true;
    alive_.reset();
    templates_.stop();
    timer_.cancel();
    store_.reset();
}

void store_watcher::set_duties(store_duties duties)
{
    templates_.set_active(duties.watches_templates_);
    duties_ = std::move(duties);
}

void store_watcher::schedule()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code && !is_stopped_)
            {
                tick();
                schedule();
            }
        });
}

void store_watcher::tick()
{
    templates_.tick();
    notice_restoration();
    notice_recovery();
    if (must_read_contacts() && !is_contacts_call_pending_ &&
        try_start_call(contacts_backoff_))
    {
        read_contacts();
    }
    if (on_list_ && !is_list_call_pending_ && try_start_call(list_backoff_))
    {
        read_list();
    }
    if (!on_list_ && must_write_list() && !is_list_call_pending_ &&
        try_start_call(list_backoff_))
    {
        write_list();
    }
    if (!is_lease_call_pending_ && (duties_.contact_key_ || lease_id_ != 0) &&
        try_start_call(lease_backoff_))
    {
        maintain_contact();
    }
    maintain_copies();
}

// Writes again what a restored store has lost, without waiting for the next
// renewal.
void store_watcher::notice_restoration()
{
    auto const current = call_log_.generation();
    auto const previous = std::exchange(noticed_generation_, current);
    if (previous != 0 && previous != current)
    {
        lease_backoff_ = {};
        list_backoff_ = {};
    }
}

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

bool store_watcher::must_read_contacts() const
{
    auto const interval =
        duties_.needs_contacts_ ? contacts_interval : contacts_check_interval;
    return (duties_.needs_contacts_ || duties_.checks_contacts_) &&
           steady_clock::now() >= contacts_read_at_ + interval;
}

bool store_watcher::must_write_list() const
{
    if (!duties_.target_list_)
    {
        return false;
    }
    bool const is_lost =
        !written_list_.empty() && written_generation_ != call_log_.generation();
    return is_lost || *duties_.target_list_ != written_list_;
}

bool store_watcher::try_start_call(backoff const& state)
{
    auto const now = steady_clock::now();
    if (now < state.next_call_at_)
    {
        return false;
    }
    if (!call_budget_.consume(1, send_class::urgent, now))
    {
        ++refused_calls_;
        return false;
    }
    return true;
}

void store_watcher::record_success(backoff& state, milliseconds delay)
{
    state.delay_ = milliseconds(0);
    state.next_call_at_ = steady_clock::now() + delay;
}

// Doubles the backoff up to its maximum. Half of it is random, so that the
// balancers don't retry at the same time.
void store_watcher::record_failure(backoff& state)
{
    state.delay_ = std::clamp(2 * state.delay_, first_backoff, max_backoff);
    std::uniform_int_distribution<milliseconds::rep> jitter(
        state.delay_.count() / 2, state.delay_.count());
    state.next_call_at_ = steady_clock::now() + milliseconds(jitter(random_));
}

store_handler
store_watcher::track_call(store_call call,
                          std::function<void(store_answer const&)> handler)
{
    return call_log_.track(call, alive_, std::move(handler));
}

void store_watcher::maintain_contact()
{
    bool const is_lost = lease_generation_ != call_log_.generation();
    if (!duties_.contact_key_ || leased_key_ != *duties_.contact_key_ ||
        is_lost)
    {
        // The store expires a lease that isn't renewed.
        lease_id_ = 0;
        leased_key_.clear();
    }
    if (!duties_.contact_key_)
    {
        return;
    }
    is_lease_call_pending_ = true;
    if (lease_id_ == 0)
    {
        register_contact();
        return;
    }
    store_->keep_alive(lease_id_, track_call(store_call::renew_lease,
                                             [this](store_answer const& answer)
                                             { on_contact_renewed(answer); }));
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
    }
    if (answer.error_ || has_ended)
    {
        record_failure(lease_backoff_);
        return;
    }
    contact_renewed_at_ = steady_clock::now();
    record_success(lease_backoff_, renew_interval);
}

void store_watcher::register_contact()
{
    auto const put = [this](store_answer const& granted)
    {
        is_lease_call_pending_ = false;
        if (granted.error_ || !duties_.contact_key_)
        {
            record_failure(lease_backoff_);
            return;
        }
        is_lease_call_pending_ = true;
        auto const lease = static_cast<std::int64_t>(granted.revision_);
        auto const generation = granted.generation_;
        auto const key = *duties_.contact_key_;
        auto const on_written =
            [this, lease, generation, key](store_answer const& answer)
        {
            is_lease_call_pending_ = false;
            // The lease may have been granted before the store was restored.
            if (answer.error_ || answer.generation_ != generation)
            {
                record_failure(lease_backoff_);
                return;
            }
            lease_id_ = lease;
            lease_generation_ = generation;
            leased_key_ = key;
            contact_renewed_at_ = steady_clock::now();
            record_success(lease_backoff_, renew_interval);
        };
        store_->swap({}, {{key, to_string(contact_), false, lease}},
                     track_call(store_call::write_contact, on_written));
    };
    store_->grant_lease(lease_ttl, track_call(store_call::grant_lease, put));
}

void store_watcher::read_list()
{
    is_list_call_pending_ = true;
    store_->range(std::string(target_list_key), 1,
                  track_call(store_call::read_list,
                             [this](store_answer const& answer)
                             {
                                 is_list_call_pending_ = false;
                                 if (answer.error_)
                                 {
                                     record_failure(list_backoff_);
                                     return;
                                 }
                                 record_success(list_backoff_, list_interval);
                                 auto const handler =
                                     std::exchange(on_list_, nullptr);
                                 handler(answer.entries_.empty()
                                             ? std::string()
                                             : answer.entries_.front().value_);
                             }));
}

// Two balancers may briefly both have the duty to write the list. The later
// write wins, and both lists are nearly equal.
void store_watcher::write_list()
{
    is_list_call_pending_ = true;
    auto const value = *duties_.target_list_;
    store_->swap({}, {{std::string(target_list_key), value}},
                 track_call(store_call::write_list,
                            [this, value](store_answer const& answer)
                            {
                                is_list_call_pending_ = false;
                                if (answer.error_)
                                {
                                    record_failure(list_backoff_);
                                    return;
                                }
                                written_list_ = value;
                                written_generation_ = answer.generation_;
                                record_success(list_backoff_, list_interval);
                            }));
}

void store_watcher::read_contacts()
{
    is_contacts_call_pending_ = true;
    store_->range_stale(
        std::string(contact_prefix), max_contacts,
        track_call(store_call::read_contacts,
                   [this](store_answer const& answer)
                   {
                       is_contacts_call_pending_ = false;
                       if (answer.error_)
                       {
                           record_failure(contacts_backoff_);
                           return;
                       }
                       record_success(contacts_backoff_, milliseconds(0));
                       contacts_read_at_ = steady_clock::now();
                       on_contacts_(parse_contacts(answer.entries_));
                   }));
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
