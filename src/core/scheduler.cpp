// Ranking of queued requests, admission control, concurrency limits and load
// estimates of one agent.
#include <daisytrail/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace daisytrail
{

namespace
{

// Aging. The rank is the arrival time plus aging_factor times the estimated run
// time plus priority_step times the priority. A later request therefore starts
// first only if it arrived within aging_factor times the difference of the run
// times, or within one priority_step for each level of higher priority.
constexpr std::int64_t aging_factor = 4;
constexpr std::chrono::seconds priority_step{1};

// A request that has run for this multiple of its estimate counts as long.
constexpr double long_run_factor = 4.0;

// Gains of the moving averages: weight of a new sample.
constexpr double estimate_gain = 0.1;
constexpr double baseline_gain = 0.005;
constexpr double failure_gain = 0.1;
constexpr double slowdown_gain = 0.2;
// Limit of a slowdown sample, so that a single straggler can't make its target
// suspect.
constexpr double max_slowdown_sample = 4.0;
// Time constant of the exponential decay of the load averages.
constexpr double load_time_constant_s = 1.0;
constexpr double min_remaining_share = 0.01;

// A target is suspect if its failure rate exceeds the peers' average by this
// margin, or its slowdown is more than this multiple of the peers'.
constexpr double suspect_failure_rate_margin = 0.3;
constexpr double suspect_slowdown_ratio = 3.0;
constexpr std::chrono::milliseconds probe_interval{200};

// Exponential backoff of starts while the backend server sheds requests.
constexpr std::chrono::milliseconds initial_pause{50};
constexpr std::chrono::seconds max_pause{2};
constexpr std::chrono::milliseconds min_retry_after{200};

std::int64_t ticks(time_point value)
{
    return value.time_since_epoch().count();
}

double smooth(double value, double sample, double gain)
{
    return value + gain * (sample - value);
}

duration nanoseconds(double value)
{
    return duration(static_cast<std::int64_t>(value));
}

duration rank_by_work(scheduler_class const& config, duration estimate,
                      duration received)
{
    return received + aging_factor * estimate +
           config.priority_ * duration(priority_step);
}

duration rank_by_arrival(scheduler_class const&, duration, duration received)
{
    return received;
}

} // namespace

scheduler_rules const product_rules{rank_by_work, true, true, true, true};
scheduler_rules const fifo_rules{rank_by_arrival, false, false, false, false};

scheduler::scheduler(std::vector<scheduler_class> classes,
                     scheduler_limits const& limits,
                     scheduler_rules const& rules)
    : rules_(rules)
{
    configure(std::move(classes), limits);
}

void scheduler::configure(std::vector<scheduler_class> classes,
                          scheduler_limits const& limits)
{
    limits_ = limits;
    if (classes.empty())
    {
        classes.emplace_back();
    }
    std::vector<class_state> states;
    for (std::size_t i = 0; i < classes.size(); ++i)
    {
        auto const initial_estimate =
            static_cast<double>(classes[i].expected_.count());
        class_state state{classes[i], initial_estimate, initial_estimate};
        if (i < classes_.size() &&
            classes_[i].config_.expected_ == classes[i].expected_)
        {
            state.estimate_ns_ = classes_[i].estimate_ns_;
            state.baseline_ns_ = classes_[i].baseline_ns_;
        }
        states.push_back(state);
    }
    classes_ = std::move(states);
}

scheduler::class_state const& scheduler::class_at(std::size_t class_index) const
{
    return classes_[std::min(class_index, classes_.size() - 1)];
}

duration scheduler::estimate(std::size_t class_index) const
{
    return nanoseconds(class_at(class_index).estimate_ns_);
}

admission scheduler::try_enqueue(scheduled_request const& request,
                                 time_point now)
{
    update_load_averages(now);
    auto const run_time = estimate(request.class_);
    auto const& config = class_at(request.class_).config_;
    if (!request.is_reservation_)
    {
        arriving_work_ns_[config.priority_] +=
            static_cast<double>(run_time.count());
    }
    auto const wait = expected_wait(request.class_, now);
    admission result;
    result.retry_after_ = std::max<duration>(wait, min_retry_after);
    if (rules_.rejects_unreachable_deadlines_ && !request.is_reservation_ &&
        now + wait + run_time > request.deadline_)
    {
        result.refused_ = request_outcome::deadline_unreachable;
        return result;
    }
    if (queue_.size() >= limits_.queue_)
    {
        if (rules_.sheds_lower_priority_)
        {
            result.victim_ = newest_of_lowest_priority(config.priority_);
        }
        if (!result.victim_)
        {
            result.refused_ = request_outcome::queue_full;
            return result;
        }
        erase(*result.victim_);
    }
    auto const rank =
        rules_.rank_(config, run_time, request.received_.time_since_epoch());
    auto const latest_start = rules_.rejects_unreachable_deadlines_
                                  ? request.deadline_ - run_time
                                  : request.deadline_;
    entries_.emplace(request.id_, entry{request, rank, latest_start});
    queue_.emplace(rank.count(), request.id_);
    by_latest_start_.emplace(ticks(latest_start), request.id_);
    return result;
}

std::optional<request_id>
scheduler::newest_of_lowest_priority(std::uint32_t priority) const
{
    std::optional<request_id> found;
    std::uint32_t lowest = priority;
    time_point newest{};
    for (auto const& [id, waiting] : entries_)
    {
        auto const queued_priority =
            class_at(waiting.request_.class_).config_.priority_;
        bool const lower = queued_priority > lowest;
        bool const newer = found && queued_priority == lowest &&
                           waiting.request_.received_ > newest;
        if (lower || newer)
        {
            found = id;
            lowest = queued_priority;
            newest = waiting.request_.received_;
        }
    }
    return found;
}

std::optional<request_id> scheduler::next(time_point now)
{
    update_load_averages(now);
    for (auto const& [rank, id] : queue_)
    {
        auto const& waiting = entries_.at(id);
        if (may_start(waiting.request_.class_, now))
        {
            auto const taken = id;
            take_slot(waiting, now);
            return taken;
        }
    }
    return std::nullopt;
}

bool scheduler::start(request_id id, time_point now)
{
    auto const found = entries_.find(id);
    if (found == entries_.end() ||
        !may_start(found->second.request_.class_, now))
    {
        return false;
    }
    update_load_averages(now);
    take_slot(found->second, now);
    return true;
}

void scheduler::take_slot(entry const& taken, time_point now)
{
    auto const request = taken.request_;
    erase(request.id_);
    running_.emplace(
        request.id_,
        running_request{request, now,
                        class_at(request.class_).config_.long_running_});
    started_locally_ += 1.0;
    next_probe_at_ = now + probe_interval;
}

void scheduler::erase(request_id id)
{
    auto const found = entries_.find(id);
    queue_.erase({found->second.rank_.count(), id});
    by_latest_start_.erase({ticks(found->second.latest_start_), id});
    entries_.erase(found);
}

bool scheduler::remove(request_id id, time_point now, bool moved)
{
    if (!is_queued(id))
    {
        return false;
    }
    update_load_averages(now);
    if (moved && !entries_.at(id).request_.is_reservation_)
    {
        moved_to_peers_ += 1.0;
    }
    erase(id);
    return true;
}

std::vector<request_id> scheduler::expire(time_point now)
{
    std::vector<request_id> ids;
    while (!by_latest_start_.empty() &&
           by_latest_start_.begin()->first <= ticks(now))
    {
        ids.push_back(by_latest_start_.begin()->second);
        erase(ids.back());
    }
    return ids;
}

void scheduler::finish(request_id id, completion how, time_point now)
{
    auto const found = running_.find(id);
    if (found == running_.end())
    {
        return;
    }
    update_load_averages(now);
    auto const ended = found->second;
    running_.erase(found);
    record_completion(ended, how, now);
}

void scheduler::record_completion(running_request const& ended, completion how,
                                  time_point now)
{
    auto& state =
        classes_[std::min(ended.request_.class_, classes_.size() - 1)];
    auto const run_time_ns =
        static_cast<double>((now - ended.started_).count());
    if (how == completion::abandoned)
    {
        return;
    }
    if (how == completion::refused)
    {
        pause_length_ =
            std::clamp<duration>(pause_length_ * 2, initial_pause, max_pause);
        pause_until_ = now + pause_length_;
        return;
    }
    bool const failed = how == completion::failed;
    failure_rate_ = smooth(failure_rate_, failed ? 1.0 : 0.0, failure_gain);
    if (failed)
    {
        auto const free_at = ended.started_ + nanoseconds(state.estimate_ns_);
        if (rules_.throttles_backend_ && free_at > now)
        {
            cooldown_ends_.push_back(free_at);
        }
        return;
    }
    pause_length_ = duration{};
    slowdown_ =
        smooth(slowdown_,
               std::min(run_time_ns / state.baseline_ns_, max_slowdown_sample),
               slowdown_gain);
    state.estimate_ns_ = smooth(state.estimate_ns_, run_time_ns, estimate_gain);
    // The baseline isn't updated while only this target is slow, so that its
    // slowness doesn't become the baseline.
    bool const is_slower_than_peers =
        has_peer_average_ &&
        slowdown_ > 2 * std::max(peer_average_.slowdown_, 1.0);
    if (!is_slower_than_peers)
    {
        state.baseline_ns_ =
            smooth(state.baseline_ns_, run_time_ns, baseline_gain);
    }
}

bool scheduler::is_long_run(running_request const& running,
                            time_point now) const
{
    auto const elapsed_ns =
        static_cast<double>((now - running.started_).count());
    return running.long_running_ ||
           elapsed_ns >
               long_run_factor * class_at(running.request_.class_).estimate_ns_;
}

std::size_t scheduler::count_long_runs(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        running_.begin(), running_.end(),
        [&](auto const& item) { return is_long_run(item.second, now); }));
}

std::size_t scheduler::count_cooling_slots(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(cooldown_ends_.begin(), cooldown_ends_.end(),
                      [&](time_point end) { return end > now; }));
}

bool scheduler::is_throttled(time_point now) const
{
    if (now < pause_until_)
    {
        return true;
    }
    // After the backend server has shed a request, and while it is suspect,
    // only one request runs at a time, as a probe.
    bool const probing = pause_length_ > duration{} || is_suspect();
    return probing && (!running_.empty() || now < next_probe_at_);
}

bool scheduler::may_start(std::size_t class_index, time_point now) const
{
    auto const taken = running_.size() + count_cooling_slots(now);
    if (taken >= limits_.slots_ ||
        (rules_.throttles_backend_ && is_throttled(now)))
    {
        return false;
    }
    if (!rules_.reserves_short_slot_ || limits_.slots_ < 2 ||
        !class_at(class_index).config_.long_running_)
    {
        return true;
    }
    return count_long_runs(now) + 1 < limits_.slots_;
}

bool scheduler::has_free_slot(std::size_t class_index, time_point now) const
{
    return queue_.empty() && may_start(class_index, now);
}

duration scheduler::work_ahead_of(std::int64_t rank, time_point now) const
{
    double work = 0.0;
    for (auto const& [queued_rank, id] : queue_)
    {
        if (queued_rank > rank)
        {
            break;
        }
        work += class_at(entries_.at(id).request_.class_).estimate_ns_;
    }
    for (auto const& [id, running] : running_)
    {
        auto const estimate_ns = class_at(running.request_.class_).estimate_ns_;
        auto const elapsed_ns =
            static_cast<double>((now - running.started_).count());
        // A request that has outrun its estimate is expected to run for another
        // half of its run time so far.
        work += elapsed_ns < estimate_ns ? estimate_ns - elapsed_ns
                                         : elapsed_ns / 2;
    }
    return nanoseconds(work);
}

duration scheduler::expected_wait(std::size_t class_index, time_point now) const
{
    if (has_free_slot(class_index, now))
    {
        return duration{};
    }
    auto const& state = class_at(class_index);
    auto const rank = rules_.rank_(
        state.config_, nanoseconds(state.estimate_ns_), now.time_since_epoch());
    auto const work =
        static_cast<double>(work_ahead_of(rank.count(), now).count());
    // Peers that take over requests shorten the queue like additional slots.
    auto const peer_help_factor =
        1.0 + moved_to_peers_ / std::max(started_locally_, 1.0);
    auto hold_delay = std::max(duration{}, pause_until_ - now);
    if (is_suspect())
    {
        hold_delay +=
            probe_interval * static_cast<std::int64_t>(queue_.size() + 1);
    }
    auto const capacity = std::max(limits_.slots_, 1U) * peer_help_factor;
    auto const free_share =
        remaining_slot_share(state.config_.priority_, capacity);
    return nanoseconds(work / (capacity * free_share)) + hold_delay;
}

// Share of the slots that requests of higher priorities leave free if they keep
// arriving at the present rate.
double scheduler::remaining_slot_share(std::uint32_t priority,
                                       double capacity) const
{
    double taken = 0.0;
    for (auto const& [better, work] : arriving_work_ns_)
    {
        taken += better < priority ? work : 0.0;
    }
    auto const per_second = taken / 1e9 / load_time_constant_s;
    return std::max(1.0 - per_second / capacity, min_remaining_share);
}

std::optional<time_point> scheduler::next_event(time_point now) const
{
    if (queue_.empty())
    {
        return std::nullopt;
    }
    time_point earliest{duration(by_latest_start_.begin()->first)};
    for (auto const end : cooldown_ends_)
    {
        if (end > now)
        {
            earliest = std::min(earliest, end);
        }
    }
    if (pause_until_ > now)
    {
        earliest = std::min(earliest, pause_until_);
    }
    if (rules_.throttles_backend_ && next_probe_at_ > now && is_throttled(now))
    {
        earliest = std::min(earliest, next_probe_at_);
    }
    return earliest;
}

// Decays the load averages up to `now`. Called before each change of the values
// that they depend on.
void scheduler::update_load_averages(time_point now)
{
    auto const decay = [now](time_point since)
    {
        auto const seconds = std::chrono::duration<double>(now - since).count();
        return std::exp(-std::max(seconds, 0.0) / load_time_constant_s);
    };
    auto const busy = static_cast<double>(running_.size()) /
                      static_cast<double>(std::max(limits_.slots_, 1U));
    utilisation_ =
        smooth(utilisation_, busy, 1.0 - decay(utilisation_updated_at_));
    utilisation_updated_at_ = now;
    auto const factor = decay(decayed_at_);
    started_locally_ *= factor;
    moved_to_peers_ *= factor;
    for (auto& [priority, work] : arriving_work_ns_)
    {
        work *= factor;
    }
    decayed_at_ = now;
    std::erase_if(cooldown_ends_, [now](time_point end) { return end <= now; });
}

load_report scheduler::report(time_point now) const
{
    return {expected_wait(0, now), utilisation_, failure_rate_, slowdown_};
}

void scheduler::set_peer_average(load_report const& average)
{
    peer_average_ = average;
    has_peer_average_ = true;
}

bool scheduler::is_suspect() const
{
    if (!has_peer_average_ || !rules_.throttles_backend_)
    {
        return false;
    }
    return failure_rate_ >
               peer_average_.failure_rate_ + suspect_failure_rate_margin ||
           slowdown_ >
               suspect_slowdown_ratio * std::max(peer_average_.slowdown_, 1.0);
}

} // namespace daisytrail
