// The copies of templates in store_watcher.
#include "net/log.hpp"
#include "net/store_watcher.hpp"
#include "net/template_copy.hpp"

#include <utility>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

// Between two writes, so that a storm of changes costs few of them.
constexpr milliseconds copy_interval{2'000};

std::string copy_key(std::string const& organisation)
{
    return std::string(template_copy_prefix) + organisation;
}

// A copy that can't be read is older than any version.
template_version version_of_copy(store_entry const& entry)
{
    try
    {
        return parse_copied_version(entry.value_);
    }
    catch (error const& failure)
    {
        log_event(log_level::warning, "bad_template_copy",
                  {{"key", entry.key_}, {"detail", failure.what()}});
        return 0;
    }
}

} // namespace

bool store_watcher::is_copied(std::string const& organisation,
                              template_version version) const
{
    auto const known = copies_.find(organisation);
    return known != copies_.end() && known->second.version_ >= version &&
           known->second.generation_ == call_log_.generation();
}

void store_watcher::request_copy(std::string const& organisation)
{
    wanted_copies_.insert(organisation);
}

void store_watcher::maintain_copies()
{
    if (is_copy_call_pending_)
    {
        return;
    }
    auto const& due = duties_.template_copy_;
    if (!wanted_copies_.empty() && try_start_call(copy_backoff_))
    {
        read_copy(*wanted_copies_.begin());
    }
    else if (due && !is_copied(due->organisation_, due->version_) &&
             try_start_call(copy_backoff_))
    {
        write_copy();
    }
}

void store_watcher::read_copy(std::string const& organisation)
{
    is_copy_call_pending_ = true;
    store_->range(copy_key(organisation), 1,
                  track_call(store_call::read_copy,
                             [this, organisation](store_answer const& answer)
                             { on_copy_read(organisation, answer); }));
}

void store_watcher::on_copy_read(std::string const& organisation,
                                 store_answer const& answer)
{
    is_copy_call_pending_ = false;
    if (answer.error_)
    {
        record_failure(copy_backoff_);
        return;
    }
    record_success(copy_backoff_, milliseconds(0));
    wanted_copies_.erase(organisation);
    // Other keys may begin with this key.
    bool const is_found =
        !answer.entries_.empty() &&
        answer.entries_.front().key_ == copy_key(organisation);
    log_event(log_level::info, "template_copy_read",
              {{"organisation", organisation}, {"found", is_found}});
    if (is_found)
    {
        on_copy_(organisation, answer.entries_.front().value_);
    }
}

// Replaces the copy if it is the one that was last written or read. Another
// balancer may have had the duty meanwhile and hold a newer version.
void store_watcher::write_copy()
{
    is_copy_call_pending_ = true;
    auto const due = *duties_.template_copy_;
    auto const key = copy_key(due.organisation_);
    auto const known = copies_.find(due.organisation_);
    auto const expected = known == copies_.end() ? 0 : known->second.revision_;
    auto value = format_template_copy({due.version_, due.value_});
    auto const bytes = value.size();
    store_->swap(
        {{key, expected}}, {{key, std::move(value)}},
        track_call(store_call::write_copy,
                   [this, organisation = due.organisation_,
                    version = due.version_, bytes](store_answer const& answer)
                   { on_copy_written(organisation, version, bytes, answer); }));
}

void store_watcher::on_copy_written(std::string const& organisation,
                                    template_version version, std::size_t bytes,
                                    store_answer const& answer)
{
    is_copy_call_pending_ = false;
    auto& copy = copies_[organisation];
    if (answer.error_)
    {
        record_failure(copy_backoff_);
        return;
    }
    copy.generation_ = answer.generation_;
    if (answer.succeeded_)
    {
        copy.version_ = version;
        copy.revision_ = answer.revision_;
        log_event(log_level::info, "template_copied",
                  {{"organisation", organisation},
                   {"version", version},
                   {"bytes", bytes}});
        record_success(copy_backoff_, copy_interval);
        return;
    }
    copy.version_ = 0;
    copy.revision_ = 0;
    if (!answer.entries_.empty())
    {
        copy.version_ = version_of_copy(answer.entries_.front());
        copy.revision_ = answer.entries_.front().modified_revision_;
    }
    record_success(copy_backoff_, milliseconds(0));
}

} // namespace daisytrail
