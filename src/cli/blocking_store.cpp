// Synchronous calls of the configuration store.
#include "cli/blocking_store.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds max_backoff{2'000};

// Calls `read` until it succeeds or the next attempt would miss the deadline.
template <typename Read>
store_answer retry_until(command_environment const& environment,
                         time_point deadline, Read read)
{
    backoff delays;
    while (true)
    {
        auto answer = read();
        auto const delay = delays.next();
        if (!answer.error_ || environment.now_() + delay >= deadline)
        {
            return answer;
        }
        environment.pause_(delay);
    }
}

} // namespace

std::chrono::milliseconds backoff::next()
{
    auto const now = delay_;
    delay_ = std::min(delay_ * 2, max_backoff);
    return now;
}

store_answer blocking_store::range(std::string const& prefix, std::size_t limit)
{
    auto const answer_slot = std::make_shared<std::optional<store_answer>>();
    store_.range(prefix, limit,
                 [answer_slot](store_answer answer)
                 { *answer_slot = std::move(answer); });
    return wait(*answer_slot);
}

store_answer blocking_store::get(std::string const& key)
{
    // The exact key sorts before every longer key with this prefix.
    auto answer = range(key, 1);
    if (!answer.entries_.empty() && answer.entries_.front().key_ != key)
    {
        answer.entries_.clear();
    }
    return answer;
}

store_answer blocking_store::swap(std::vector<store_comparison> comparisons,
                                  std::vector<store_write> writes)
{
    auto const answer_slot = std::make_shared<std::optional<store_answer>>();
    store_.swap(std::move(comparisons), std::move(writes),
                [answer_slot](store_answer answer)
                { *answer_slot = std::move(answer); });
    return wait(*answer_slot);
}

store_answer blocking_store::get_until(std::string const& key,
                                       time_point deadline)
{
    return retry_until(environment_, deadline, [&] { return get(key); });
}

store_answer blocking_store::range_until(std::string const& prefix,
                                         std::size_t limit, time_point deadline)
{
    return retry_until(environment_, deadline,
                       [&] { return range(prefix, limit); });
}

store_answer blocking_store::wait(std::optional<store_answer> const& answer)
{
    while (!answer)
    {
        environment_.run_one_();
    }
    return *answer;
}

} // namespace daisytrail
