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
// Average rate of calls to the store, except calls for templates. Short bursts
// may exceed it.
constexpr std::uint32_t max_calls_per_second = 1;

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
    is_own_list_outdated_ = false;
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
    maintain_list();
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

} // namespace daisytrail
