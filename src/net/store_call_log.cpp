// Counters, durations and log lines of calls at the store.
#include "net/store_call_log.hpp"

#include "net/log.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

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
    : seconds_(counters.latency("daisytrail_store_call_seconds"))
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
    return [this, call, alive = std::move(alive), begun = steady_clock::now(),
            handler = std::move(handler)](store_answer const& answer)
    {
        if (!alive.expired())
        {
            ended(call, begun, answer);
            handler(answer);
        }
    };
}

void store_call_log::ended(store_call call, time_point begun,
                           store_answer const& answer)
{
    auto& held = states_[static_cast<std::size_t>(call)];
    auto const took = steady_clock::now() - begun;
    if (call != store_call::watch_templates)
    {
        seconds_.add(std::chrono::duration<double>(took).count());
    }
    if (answer.error_)
    {
        on_failure(call, held, took, answer);
        return;
    }
    healthy_ = 1;
    if (auto const failures = std::exchange(held.failed_in_a_row_, 0))
    {
        log_event(log_level::info, "store_answers_again",
                  {{"call", store_call_names[static_cast<std::size_t>(call)]},
                   {"failures", failures},
                   {"failed_for_ms",
                    to_ms(steady_clock::now() - held.failing_since_)},
                   {"took_ms", to_ms(took)}});
    }
}

void store_call_log::on_failure(store_call call, state& held, duration took,
                                store_answer const& answer)
{
    ++*held.failures_;
    healthy_ = 0;
    if (++held.failed_in_a_row_ > 1)
    {
        return;
    }
    held.failing_since_ = steady_clock::now();
    log_event(log_level::warning, "store_failed",
              {{"call", store_call_names[static_cast<std::size_t>(call)]},
               {"kind", response_for(*answer.error_).name_},
               {"detail", answer.detail_},
               {"took_ms", to_ms(took)}});
}

} // namespace daisytrail
