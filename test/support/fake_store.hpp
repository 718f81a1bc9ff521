// In-memory configuration store for tests, with fault injection.
#pragma once

#include <daisytrail/store.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace daisytrail
{

class fake_store : public config_store
{
public:
    // Fault of a swap.
    enum class swap_fault
    {
        none,
        lost_answer,  // is applied, fails with outcome_unknown
        lost_request, // isn't applied, fails with outcome_unknown
        unavailable,  // isn't applied, fails with unavailable
        // Fails with outcome_unknown; release_delayed() applies it.
        delayed
    };

    std::map<std::string, store_entry> entries_;
    revision revision_ = 0;
    std::deque<swap_fault> swap_faults_; // of the next swaps, in order
    bool is_down_ = false;               // ranges and swaps are unavailable
    std::function<void()> before_swap_;  // called once, before the next swap
    std::size_t applied_swaps_ = 0;      // swaps that took effect
    store_handler watch_handler_;        // of the last watch
    revision watch_from_ = 0;            // of the last watch
    std::size_t watches_ = 0;            // that were started
    store_generation generation_ = 1;
    std::set<std::int64_t> leases_;
    std::int64_t last_lease_ = 0;

    void range(std::string const& prefix, std::size_t limit,
               store_handler handler) override
    {
        store_answer answer;
        answer.revision_ = revision_;
        answer.error_ =
            is_down_ ? std::optional(error_kind::unavailable) : std::nullopt;
        for (auto at = entries_.lower_bound(prefix);
             !is_down_ && at != entries_.end() && at->first.starts_with(prefix);
             ++at)
        {
            if (limit != 0 && answer.entries_.size() == limit)
            {
                break;
            }
            answer.entries_.push_back(at->second);
        }
        post(std::move(handler), std::move(answer));
    }

    void swap(std::vector<store_comparison> comparisons,
              std::vector<store_write> writes, store_handler handler) override
    {
        if (auto const hook = std::exchange(before_swap_, nullptr))
        {
            hook();
        }
        auto fault = is_down_ ? swap_fault::unavailable : swap_fault::none;
        if (!is_down_ && !swap_faults_.empty())
        {
            fault = swap_faults_.front();
            swap_faults_.pop_front();
        }
        store_answer answer;
        if (fault == swap_fault::delayed)
        {
            delayed_ = [this, comparisons, writes]
            {
                return apply(comparisons, writes);
            };
        }
        if (fault == swap_fault::none || fault == swap_fault::lost_answer)
        {
            answer.succeeded_ = apply(comparisons, writes);
        }
        if (fault != swap_fault::none)
        {
            answer.succeeded_ = false;
            answer.error_ = fault == swap_fault::unavailable
                                ? error_kind::unavailable
                                : error_kind::outcome_unknown;
        }
        answer.revision_ = revision_;
        if (!answer.error_ && !answer.succeeded_)
        {
            answer.entries_ = current_entries(comparisons);
        }
        post(std::move(handler), std::move(answer));
    }

    bool release_delayed()
    {
        return delayed_();
    }

    void grant_lease(std::chrono::seconds, store_handler handler) override
    {
        leases_.insert(++last_lease_);
        store_answer answer;
        answer.revision_ = static_cast<revision>(last_lease_);
        post(std::move(handler), std::move(answer));
    }

    void keep_alive(std::int64_t lease, store_handler handler) override
    {
        store_answer answer;
        if (!leases_.contains(lease))
        {
            answer.error_ = error_kind::not_found;
        }
        post(std::move(handler), std::move(answer));
    }

    // Goes back to the given entries, which a copy held: revisions and lease
    // numbers are given out again.
    void restore(std::map<std::string, store_entry> entries)
    {
        entries_ = std::move(entries);
        revision_ = 1;
        last_lease_ = 0;
        leases_.clear();
        ++generation_;
    }

    void watch(std::string const&, revision from, std::chrono::milliseconds,
               store_handler handler) override
    {
        ++watches_;
        watch_from_ = from;
        watch_handler_ = std::move(handler);
    }

    void run_one()
    {
        auto const event = std::move(events_.front());
        events_.pop_front();
        event();
    }

    // Delivers all answers, including those of calls made meanwhile.
    void run()
    {
        while (!events_.empty())
        {
            run_one();
        }
    }

    void cancel_watches() override {}

private:
    void post(store_handler handler, store_answer answer)
    {
        answer.generation_ = generation_;
        events_.push_back([handler = std::move(handler),
                           answer = std::move(answer)] { handler(answer); });
    }

    std::vector<store_entry>
    current_entries(std::vector<store_comparison> const& comparisons) const
    {
        std::vector<store_entry> result;
        for (auto const& comparison : comparisons)
        {
            auto const found = entries_.find(comparison.key_);
            if (found != entries_.end())
            {
                result.push_back(found->second);
            }
        }
        return result;
    }

    revision modified(std::string const& key) const
    {
        auto const found = entries_.find(key);
        return found == entries_.end() ? 0 : found->second.modified_revision_;
    }

    bool apply(std::vector<store_comparison> const& comparisons,
               std::vector<store_write> const& writes)
    {
        bool const holds =
            std::all_of(comparisons.begin(), comparisons.end(),
                        [this](store_comparison const& comparison) {
                            return modified(comparison.key_) ==
                                   comparison.modified_revision_;
                        });
        if (!holds)
        {
            return false;
        }
        ++revision_;
        ++applied_swaps_;
        for (auto const& write : writes)
        {
            entries_.erase(write.key_);
            if (!write.remove_)
            {
                entries_[write.key_] = {write.key_, write.value_, revision_};
            }
        }
        return true;
    }

    std::deque<std::function<void()>> events_;
    std::function<bool()> delayed_;
};

} // namespace daisytrail
