// Calls at the configuration store as metrics and log lines: one line when a
// sort of call begins to fail and one when it works again.
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
    count
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(store_call::count)>
    store_call_names{"read_templates", "watch_templates", "read_contacts",
                     "grant_lease",    "renew_lease",     "write_contact",
                     "read_list",      "write_list"};

class store_call_log
{
public:
    explicit store_call_log(metrics& counters);

    // Counts a call that begins now and returns its handler, which notes how
    // it ended. After `alive` has expired the handler does nothing.
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
    void on_failure(store_call call, state& status, duration elapsed,
                    store_answer const& answer);

    histogram& call_seconds_; // of calls, watches left out
    std::array<state, static_cast<std::size_t>(store_call::count)> states_;
    double healthy_ = 0; // 1 after the last call succeeded
};

} // namespace daisytrail
