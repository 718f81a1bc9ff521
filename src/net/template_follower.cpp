// Executes the calls that the template feed schedules.
#include "net/template_follower.hpp"

#include "net/log.hpp"

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Returns the interval at which the store is to send progress notifications.
// It is shorter than the watch timeout, so that a notification has time to
// arrive before the silent watch is abandoned.
milliseconds progress_interval(milliseconds apply_within)
{
    auto const timing = feed_timing(apply_within);
    auto const transit_time = apply_within / 10;
    return std::chrono::duration_cast<milliseconds>(timing.watch_timeout_) -
           transit_time;
}

} // namespace

template_follower::template_follower(config_store& store,
                                     store_call_log& call_log,
                                     metrics& counters,
                                     milliseconds apply_within,
                                     handler on_template)
    : store_(store), call_log_(call_log), on_template_(std::move(on_template)),
      feed_(feed_timing(apply_within)),
      progress_interval_(progress_interval(apply_within)),
      template_confirmations_(counters, apply_within),
      random_(std::random_device{}()), alive_(std::make_shared<bool>(true))
{
}

void template_follower::set_active(bool active)
{
    if (active == feed_.is_active())
    {
        return;
    }
    log_event(log_level::info, "store_duty", {{"watches", active}});
    ++epoch_;
    if (active)
    {
        feed_.start();
        template_confirmations_.start(steady_clock::now());
        // Read the templates now rather than at the next tick.
        tick();
        return;
    }
    feed_.stop();
    template_confirmations_.stop();
    store_.cancel_watches();
}

void template_follower::stop()
{
    alive_.reset();
    feed_.stop();
}

void template_follower::schedule_read()
{
    feed_.request_read(steady_clock::now());
}

void template_follower::tick()
{
    auto const now = steady_clock::now();
    template_confirmations_.tick(now);
    switch (feed_.next(now))
    {
    case template_feed::step::read:
        read();
        break;
    case template_feed::step::watch:
        watch();
        break;
    case template_feed::step::none:
        break;
    }
}

void template_follower::read()
{
    feed_.on_read_started(steady_clock::now());
    store_.cancel_watches();
    store_.range(
        std::string(template_prefix), 0,
        call_log_.track(store_call::read_templates, alive_,
                        [this, epoch = ++epoch_](store_answer const& answer)
                        {
                            if (epoch == epoch_)
                            {
                                on_read(answer);
                            }
                        }));
}

void template_follower::on_read(store_answer const& answer)
{
    if (answer.error_)
    {
        feed_.on_read_failed(steady_clock::now(), jitter());
        return;
    }
    feed_.on_read_succeeded();
    generation_ = answer.generation_;
    apply(answer);
    // Start the watch now rather than at the next tick.
    tick();
}

void template_follower::watch()
{
    feed_.on_watch_started(steady_clock::now());
    store_.watch(
        std::string(template_prefix), next_revision_, progress_interval_,
        call_log_.track(store_call::watch_templates, alive_,
                        [this, epoch = ++epoch_](store_answer const& answer)
                        {
                            if (epoch == epoch_)
                            {
                                on_watch(answer);
                            }
                        }));
}

void template_follower::on_watch(store_answer const& answer)
{
    if (answer.is_partial_)
    {
        feed_.on_watch_progress(steady_clock::now());
        return;
    }
    if (answer.error_ || is_of_other_generation(answer))
    {
        store_.cancel_watches();
        feed_.on_watch_failed(steady_clock::now(), jitter());
        return;
    }
    feed_.on_watch_progress(steady_clock::now());
    apply(answer);
}

// The watch continues from a revision of another history, so that changes whose
// revisions were given out again would be missed.
bool template_follower::is_of_other_generation(store_answer const& answer) const
{
    return answer.generation_ != 0 && generation_ != 0 &&
           answer.generation_ != generation_;
}

void template_follower::apply(store_answer const& answer)
{
    template_confirmations_.record_confirmation(answer.revision_,
                                                steady_clock::now());
    next_revision_ = answer.revision_ + 1;
    auto entries = answer.entries_;
    remove_replaced_entries(entries);
    for (auto const& entry : entries)
    {
        on_template_(entry);
    }
}

double template_follower::jitter()
{
    return std::uniform_real_distribution<>(0, 1)(random_);
}

} // namespace daisytrail
