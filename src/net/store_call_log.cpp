// Counters, durations and log lines of calls to the store.
#include "net/store_call_log.hpp"

#include "net/log.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A response whose parts arrive over a longer time is logged.
constexpr milliseconds slow_transfer_time{250};

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

std::string labelled(std::string const& name, std::string_view call)
{
    return name + "{call=\"" + std::string(call) + "\"}";
}

} // namespace

store_call_log::store_call_log(metrics& counters)
    : call_seconds_(counters.latency("daisytrail_store_call_seconds")),
      transfer_seconds_(counters.latency("daisytrail_store_transfer_seconds")),
      restorations_(counters.counter("daisytrail_store_restorations_total"))
{
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        states_[i].calls_ = &counters.counter(
            labelled("daisytrail_store_calls_total", store_call_names[i]));
        states_[i].failures_ = &counters.counter(
            labelled("daisytrail_store_failures_total", store_call_names[i]));
    }
    counters.gauge("daisytrail_store_healthy", [this] { return healthy_; });
}

store_handler
store_call_log::track(store_call call, std::weak_ptr<bool> alive,
                      std::function<void(store_answer const&)> handler)
{
    ++*states_[static_cast<std::size_t>(call)].calls_;
    return
        [this, call, alive = std::move(alive), started_at = steady_clock::now(),
         handler = std::move(handler)](store_answer const& answer)
    {
        if (alive.expired())
        {
            return;
        }
        if (!answer.is_partial_)
        {
            on_ended(call, started_at, answer);
        }
        handler(answer);
    };
}

void store_call_log::on_ended(store_call call, time_point started_at,
                              store_answer const& answer)
{
    observe_generation(call, started_at, answer.generation_);
    auto& status = states_[static_cast<std::size_t>(call)];
    auto const elapsed = steady_clock::now() - started_at;
    if (call != store_call::watch_templates)
    {
        call_seconds_.add(std::chrono::duration<double>(elapsed).count());
    }
    if (answer.error_)
    {
        on_failure(call, status, elapsed, answer);
        return;
    }
    healthy_ = 1;
    transfer_seconds_.add(
        std::chrono::duration<double>(answer.transfer_.time_).count());
    if (answer.transfer_.time_ > slow_transfer_time)
    {
        log_event(log_level::warning, "store_answer_slow",
                  {{"call", store_call_names[static_cast<std::size_t>(call)]},
                   {"bytes", answer.transfer_.bytes_},
                   {"transfer_ms", to_ms(answer.transfer_.time_)},
                   {"took_ms", to_ms(elapsed)}});
    }
    if (auto const failures = std::exchange(status.consecutive_failures_, 0))
    {
        ++recoveries_;
        log_event(log_level::info, "store_answers_again",
                  {{"call", store_call_names[static_cast<std::size_t>(call)]},
                   {"failures", failures},
                   {"failed_for_ms",
                    to_ms(steady_clock::now() - status.failing_since_)},
                   {"took_ms", to_ms(elapsed)}});
    }
}

void store_call_log::observe_generation(store_call call, time_point started_at,
                                        store_generation seen)
{
    if (seen == 0 || seen == generation_ || started_at < generation_changed_at_)
    {
        return;
    }
    auto const previous = std::exchange(generation_, seen);
    if (previous == 0)
    {
        return;
    }
    generation_changed_at_ = steady_clock::now();
    ++restorations_;
    log_event(log_level::warning, "store_restored",
              {{"call", store_call_names[static_cast<std::size_t>(call)]},
               {"generation", seen},
               {"previous_generation", previous},
               {"effect", "leases and later writes are lost"}});
}

void store_call_log::on_failure(store_call call, state& status,
                                duration elapsed, store_answer const& answer)
{
    ++*status.failures_;
    healthy_ = 0;
    if (++status.consecutive_failures_ > 1)
    {
        return;
    }
    status.failing_since_ = steady_clock::now();
    log_event(log_level::warning, "store_failed",
              {{"call", store_call_names[static_cast<std::size_t>(call)]},
               {"kind", response_for(*answer.error_).name_},
               {"detail", answer.detail_},
               {"took_ms", to_ms(elapsed)}});
}

} // namespace daisytrail
