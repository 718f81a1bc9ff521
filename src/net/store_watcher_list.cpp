// The stored list of targets in store_watcher.
#include "net/log.hpp"
#include "net/store_watcher.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds write_interval{2'000};
// The balancer that writes the list checks it this often: another one may write
// it, too, while the fleet is split.
constexpr milliseconds check_interval{5'000};

} // namespace

// The list is written under a condition on the revision that was last read or
// written. A write that is executed late then fails instead of replacing a
// newer one.
void store_watcher::maintain_list()
{
    if (is_list_call_pending_)
    {
        return;
    }
    if (!duties_.target_list_)
    {
        // Another balancer writes it from now on.
        list_.revision_.reset();
    }
    if (must_read_list())
    {
        if (try_start_call(list_backoff_))
        {
            read_list();
        }
    }
    else if (must_write_list() && try_start_call(list_backoff_))
    {
        write_list();
    }
}

bool store_watcher::must_read_list() const
{
    if (!has_read_list_)
    {
        return true;
    }
    bool const is_known =
        list_.revision_ && list_.generation_ == call_log_.generation();
    return duties_.target_list_ &&
           (!is_known ||
            steady_clock::now() >= list_.seen_at_ + check_interval);
}

// The own list is outdated until the targets of the list that was read have
// joined it.
bool store_watcher::must_write_list() const
{
    return duties_.target_list_ && !is_own_list_outdated_ &&
           *duties_.target_list_ != list_.value_;
}

void store_watcher::read_list()
{
    is_list_call_pending_ = true;
    store_->range(std::string(target_list_key), 1,
                  track_call(store_call::read_list,
                             [this](store_answer const& answer)
                             { on_list_read(answer); }));
}

void store_watcher::on_list_read(store_answer const& answer)
{
    is_list_call_pending_ = false;
    if (answer.error_)
    {
        record_failure(list_backoff_);
        return;
    }
    // After the start, the other balancers are learned before one of them
    // writes.
    record_success(list_backoff_,
                   has_read_list_ ? milliseconds(0) : write_interval);
    see_list(answer);
}

// Takes the list that an answer holds. Its targets are passed on if another
// balancer has written it.
void store_watcher::see_list(store_answer const& answer)
{
    // Other keys may begin with this key.
    bool const is_found = !answer.entries_.empty() &&
                          answer.entries_.front().key_ == target_list_key;
    auto const entry = is_found ? answer.entries_.front() : store_entry{};
    bool const is_news =
        !std::exchange(has_read_list_, true) || entry.value_ != list_.value_;
    list_ = {entry.value_, entry.modified_revision_, answer.generation_,
             steady_clock::now()};
    if (is_news)
    {
        is_own_list_outdated_ = true;
        on_list_(entry.value_);
    }
}

void store_watcher::write_list()
{
    is_list_call_pending_ = true;
    auto const value = *duties_.target_list_;
    store_->swap({{std::string(target_list_key), *list_.revision_}},
                 {{std::string(target_list_key), value}},
                 track_call(store_call::write_list,
                            [this, value](store_answer const& answer)
                            { on_list_written(value, answer); }));
}

// A write without an answer may be executed later. The next one has the same
// condition, so that only one of them takes effect.
void store_watcher::on_list_written(std::string const& value,
                                    store_answer const& answer)
{
    is_list_call_pending_ = false;
    if (answer.error_)
    {
        record_failure(list_backoff_);
        return;
    }
    if (!answer.succeeded_)
    {
        auto const expected = list_.revision_.value_or(0);
        see_list(answer);
        log_event(log_level::info, "target_list_conflict",
                  {{"expected", expected}, {"found", *list_.revision_}});
        record_success(list_backoff_, write_interval);
        return;
    }
    list_ = {value, answer.revision_, answer.generation_, steady_clock::now()};
    log_event(log_level::info, "target_list_written",
              {{"bytes", value.size()}, {"revision", answer.revision_}});
    record_success(list_backoff_, write_interval);
}

} // namespace daisytrail
