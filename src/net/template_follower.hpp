// Reads and watches the templates in the store; template_feed schedules the
// calls.
#pragma once

#include "net/store_call_log.hpp"
#include "net/template_confirmation_log.hpp"

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
    // Receives a template as stored.
    using handler = std::function<void(store_entry const&)>;

    // `store` and `call_log` must outlive the follower. `apply_within` is the
    // time within which an acknowledged change must be in force.
    template_follower(config_store& store, store_call_log& call_log,
                      metrics& counters, std::chrono::milliseconds apply_within,
                      handler on_template);

    // Starts or stops following the templates.
    void set_active(bool active);

    // Schedules a read of the templates, whether or not they are followed.
    void schedule_read();

    // Starts the next call if it is due. To be called several times a second.
    void tick();

    // Stops for good. The store isn't used afterwards.
    void stop();

private:
    void read();
    void on_read(store_answer const& answer);
    void watch();
    void on_watch(store_answer const& answer);
    bool is_of_other_generation(store_answer const& answer) const;
    void apply(store_answer const& answer);
    double jitter();

    config_store& store_;
    store_call_log& call_log_;
    handler on_template_;
    template_feed feed_;
    std::chrono::milliseconds progress_interval_; // requested from the store
    template_confirmation_log template_confirmations_;
    std::mt19937 random_;
    revision next_revision_ = 0;      // first revision that a new watch reports
    store_generation generation_ = 0; // that next_revision_ belongs to
    // Incremented by each read and each watch, so that responses to abandoned
    // calls are recognised and ignored.
    std::uint64_t epoch_ = 0;
    std::shared_ptr<bool> alive_; // its expiry disables pending handlers
};

} // namespace daisytrail
