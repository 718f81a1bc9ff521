// Metrics and log lines on calls to the configuration store. For each kind of
// call, one line is logged when it starts to fail, one when it succeeds again,
// and one for each response that arrived slowly; one line tells that the store
// was restored from a copy.
#pragma once

#include "net/metrics.hpp"

#include <daisytrail/store.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string_view>

namespace daisytrail
{

enum class store_call : std::uint8_t
{
    read_templates,
    watch_templates,
    read_contacts,
    grant_lease,
    renew_lease,
    write_contact,
    read_list,
    write_list,
    read_copy,
    write_copy,
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(store_call::count)>
    store_call_names{"read_templates", "watch_templates", "read_contacts",
                     "grant_lease",    "renew_lease",     "write_contact",
                     "read_list",      "write_list",      "read_copy",
                     "write_copy"};

class store_call_log
{
public:
    explicit store_call_log(metrics& counters);

    // The generation that the store's answers show; 0: unknown.
    store_generation generation() const
    {
        return generation_;
    }

    // Number of times that a kind of call has succeeded after failures.
    std::uint64_t recoveries() const
    {
        return recoveries_;
    }

    // Counts a call that starts now. Returns a handler that records the result
    // of the call and passes it to `handler`. Once `alive` has expired, the
    // returned handler does nothing.
    store_handler track(store_call call, std::weak_ptr<bool> alive,
                        std::function<void(store_answer const&)> handler);

private:
    struct state
    {
        std::uint64_t* calls_ = nullptr;
        std::uint64_t* failures_ = nullptr;
        std::uint64_t consecutive_failures_ = 0;
        time_point failing_since_{};
    };

    void on_ended(store_call call, time_point started_at,
                  store_answer const& answer);
    void observe_generation(store_call call, time_point started_at,
                            store_generation seen);
    void on_failure(store_call call, state& status, duration elapsed,
                    store_answer const& answer);

    histogram& call_seconds_;     // durations of all calls except watches
    histogram& transfer_seconds_; // first to last part of a response
    std::array<state, static_cast<std::size_t>(store_call::count)> states_;
    std::uint64_t& restorations_;
    store_generation generation_ = 0;
    // Calls that started earlier may still be answered by the old generation.
    time_point generation_changed_at_{};
    std::uint64_t recoveries_ = 0;
    double healthy_ = 0; // 1 if the last call succeeded, else 0
};

} // namespace daisytrail
