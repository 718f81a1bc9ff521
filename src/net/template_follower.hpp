// Reads and watches templates at the store, as template_feed decides.
#pragma once

#include "net/confirmation_log.hpp"
#include "net/store_call_log.hpp"

#include <daisytrail/store.hpp>
#include <daisytrail/template_feed.hpp>

#include <functional>
#include <memory>
#include <random>

namespace daisytrail
{

class template_follower
{
public:
    // Takes a template as the store holds it.
    using handler = std::function<void(store_entry const&)>;

    // `store` and `calls` must outlive the follower. `apply_within` is the time
    // within which an acknowledged change has to be in force.
    template_follower(config_store& store, store_call_log& call_log,
                      metrics& counters, std::chrono::milliseconds apply_within,
                      handler on_template);

    // Begins or ends to follow the templates.
    void set_active(bool active);

    // Reads the templates soon, also if they aren't followed.
    void schedule_read();

    // To be called a few times a second.
    void tick();

    // From now on the store isn't used any more.
    void stop();

private:
    void read();
    void on_read(store_answer const& answer);
    void watch();
    void on_watch(store_answer const& answer);
    void apply(store_answer const& answer);
    double jitter();

    config_store& store_;
    store_call_log& call_log_;
    handler on_template_;
    template_feed feed_;
    std::chrono::milliseconds progress_interval_; // of a watch that lives
    confirmation_log confirmations_;
    std::mt19937 random_;
    revision next_revision_ = 0; // from which a watch goes on
    // Answers of calls that were given up are ignored: each read and each watch
    // raises it.
    std::uint64_t epoch_ = 0;
    std::shared_ptr<bool> alive_; // expires before the members do
};

} // namespace daisytrail
