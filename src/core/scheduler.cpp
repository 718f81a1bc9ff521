// Queue order, admission and load estimates of one agent.
#include <daisytrail/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace daisytrail
{

namespace
{

// A request waits behind younger ones that are this many times its run time
// shorter, and behind those of a better priority that came this much later.
constexpr std::int64_t aging_factor = 4;
constexpr std::chrono::seconds priority_step{1};

// A run this many times its estimate counts as long.
constexpr double outrun_factor = 4.0;

constexpr double estimate_gain = 0.1;
constexpr double usual_gain = 0.005;
constexpr double failure_gain = 0.1;
constexpr double slowdown_gain = 0.2;
// A single straggler must not make its target suspect.
constexpr double largest_slowdown = 4.0;
constexpr double load_time_constant_s = 1.0;
constexpr double least_share_left = 0.01;

constexpr double suspect_failures = 0.3; // above the peers' share
constexpr double suspect_slowdown = 3.0; // times the peers' slowdown
constexpr std::chrono::milliseconds probe_interval{200};

constexpr std::chrono::milliseconds first_pause{50};
constexpr std::chrono::seconds longest_pause{2};
constexpr std::chrono::milliseconds shortest_retry_after{200};

std::int64_t count(time_point value)
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
        auto const guess = static_cast<double>(classes[i].expected_.count());
        class_state state{classes[i], guess, guess};
        if (i < classes_.size() &&
            classes_[i].config_.expected_ == classes[i].expected_)
        {
            state.estimate_ns_ = classes_[i].estimate_ns_;
            state.usual_ns_ = classes_[i].usual_ns_;
        }
        states.push_back(state);
    }
    classes_ = std::move(states);
}

scheduler::class_state const& scheduler::at(std::size_t class_index) const
{
    return classes_[std::min(class_index, classes_.size() - 1)];
}

duration scheduler::estimate(std::size_t class_index) const
{
    return nanoseconds(at(class_index).estimate_ns_);
}

admission scheduler::offer(scheduled_request const& request, time_point now)
{
    count_slots(now);
    auto const run_time = estimate(request.class_);
    auto const& config = at(request.class_).config_;
    if (!request.reservation_)
    {
        inflow_[config.priority_] += static_cast<double>(run_time.count());
    }
    auto const wait = expected_wait(request.class_, now);
    admission result;
    result.retry_after_ = std::max<duration>(wait, shortest_retry_after);
    if (rules_.refuses_early_ && !request.reservation_ &&
        now + wait + run_time > request.deadline_)
    {
        result.refused_ = request_outcome::deadline_unreachable;
        return result;
    }
    if (queue_.size() >= limits_.queue_)
    {
        if (rules_.sheds_lower_)
        {
            result.victim_ = newest_below(config.priority_);
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
    auto const give_up = rules_.refuses_early_ ? request.deadline_ - run_time
                                               : request.deadline_;
    entries_.emplace(request.id_, entry{request, rank, give_up});
    queue_.emplace(rank.count(), request.id_);
    give_ups_.emplace(count(give_up), request.id_);
    return result;
}

std::optional<request_id> scheduler::newest_below(std::uint32_t priority) const
{
    std::optional<request_id> found;
    std::uint32_t lowest = priority;
    time_point newest{};
    for (auto const& [id, waiting] : entries_)
    {
        auto const own = at(waiting.request_.class_).config_.priority_;
        bool const lower = own > lowest;
        bool const newer =
            found && own == lowest && waiting.request_.received_ > newest;
        if (lower || newer)
        {
            found = id;
            lowest = own;
            newest = waiting.request_.received_;
        }
    }
    return found;
}

std::optional<request_id> scheduler::next(time_point now)
{
    count_slots(now);
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
    count_slots(now);
    take_slot(found->second, now);
    return true;
}

void scheduler::take_slot(entry const& taken, time_point now)
{
    auto const request = taken.request_;
    erase(request.id_);
    running_.emplace(
        request.id_,
        run{request, now, at(request.class_).config_.long_running_});
    started_here_ += 1.0;
    probe_at_ = now + probe_interval;
}

void scheduler::erase(request_id id)
{
    auto const found = entries_.find(id);
    queue_.erase({found->second.rank_.count(), id});
    give_ups_.erase({count(found->second.give_up_), id});
    entries_.erase(found);
}

bool scheduler::remove(request_id id, time_point now, bool moved)
{
    if (!is_queued(id))
    {
        return false;
    }
    count_slots(now);
    if (moved && !entries_.at(id).request_.reservation_)
    {
        moved_away_ += 1.0;
    }
    erase(id);
    return true;
}

std::vector<request_id> scheduler::expire(time_point now)
{
    std::vector<request_id> ids;
    while (!give_ups_.empty() && give_ups_.begin()->first <= count(now))
    {
        ids.push_back(give_ups_.begin()->second);
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
    count_slots(now);
    auto const ended = found->second;
    running_.erase(found);
    learn(ended, how, now);
}

void scheduler::learn(run const& ended, completion how, time_point now)
{
    auto& state =
        classes_[std::min(ended.request_.class_, classes_.size() - 1)];
    auto const took = static_cast<double>((now - ended.started_).count());
    if (how == completion::vacated)
    {
        return;
    }
    if (how == completion::refused)
    {
        pause_ = std::clamp<duration>(pause_ * 2, first_pause, longest_pause);
        pause_until_ = now + pause_;
        return;
    }
    bool const failed = how == completion::failed;
    failures_ = smooth(failures_, failed ? 1.0 : 0.0, failure_gain);
    if (failed)
    {
        auto const free_at = ended.started_ + nanoseconds(state.estimate_ns_);
        if (rules_.guards_ && free_at > now)
        {
            cooling_.push_back(free_at);
        }
        return;
    }
    pause_ = duration{};
    slowdown_ =
        smooth(slowdown_, std::min(took / state.usual_ns_, largest_slowdown),
               slowdown_gain);
    state.estimate_ns_ = smooth(state.estimate_ns_, took, estimate_gain);
    // What is usual isn't learnt while this target alone is slow.
    bool const slow_alone =
        has_peers_ && slowdown_ > 2 * std::max(peers_.slowdown_, 1.0);
    if (!slow_alone)
    {
        state.usual_ns_ = smooth(state.usual_ns_, took, usual_gain);
    }
}

bool scheduler::is_long(run const& running, time_point now) const
{
    auto const ran = static_cast<double>((now - running.started_).count());
    return running.long_running_ ||
           ran > outrun_factor * at(running.request_.class_).estimate_ns_;
}

std::size_t scheduler::long_runs(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        running_.begin(), running_.end(),
        [&](auto const& item) { return is_long(item.second, now); }));
}

std::size_t scheduler::cooling(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(cooling_.begin(), cooling_.end(),
                      [&](time_point end) { return end > now; }));
}

bool scheduler::is_held_back(time_point now) const
{
    if (now < pause_until_)
    {
        return true;
    }
    // After a refusal, one request tries the backend server first.
    bool const probing = pause_ > duration{} || is_suspect();
    return probing && (!running_.empty() || now < probe_at_);
}

bool scheduler::may_start(std::size_t class_index, time_point now) const
{
    auto const taken = running_.size() + cooling(now);
    if (taken >= limits_.slots_ || (rules_.guards_ && is_held_back(now)))
    {
        return false;
    }
    if (!rules_.keeps_short_slot_ || limits_.slots_ < 2 ||
        !at(class_index).config_.long_running_)
    {
        return true;
    }
    return long_runs(now) + 1 < limits_.slots_;
}

bool scheduler::has_free_slot(std::size_t class_index, time_point now) const
{
    return queue_.empty() && may_start(class_index, now);
}

duration scheduler::work_before(std::int64_t rank, time_point now) const
{
    double work = 0.0;
    for (auto const& [before, id] : queue_)
    {
        if (before > rank)
        {
            break;
        }
        work += at(entries_.at(id).request_.class_).estimate_ns_;
    }
    for (auto const& [id, running] : running_)
    {
        auto const usual = at(running.request_.class_).estimate_ns_;
        auto const ran = static_cast<double>((now - running.started_).count());
        // The longer a run has outrun its estimate, the longer it will go on.
        work += ran < usual ? usual - ran : ran / 2;
    }
    return nanoseconds(work);
}

duration scheduler::expected_wait(std::size_t class_index, time_point now) const
{
    if (has_free_slot(class_index, now))
    {
        return duration{};
    }
    auto const& state = at(class_index);
    auto const rank = rules_.rank_(
        state.config_, nanoseconds(state.estimate_ns_), now.time_since_epoch());
    auto const work =
        static_cast<double>(work_before(rank.count(), now).count());
    // Peers that take requests away shorten the queue as slots here do.
    auto const help = 1.0 + moved_away_ / std::max(started_here_, 1.0);
    auto held = std::max(duration{}, pause_until_ - now);
    if (is_suspect())
    {
        held += probe_interval * static_cast<std::int64_t>(queue_.size() + 1);
    }
    auto const capacity = std::max(limits_.slots_, 1U) * help;
    auto const left = share_left(state.config_.priority_, capacity);
    return nanoseconds(work / (capacity * left)) + held;
}

// Share of the slots that requests of better priorities leave, if they keep
// coming as they did.
double scheduler::share_left(std::uint32_t priority, double capacity) const
{
    double taken = 0.0;
    for (auto const& [better, work] : inflow_)
    {
        taken += better < priority ? work : 0.0;
    }
    auto const per_second = taken / 1e9 / load_time_constant_s;
    return std::max(1.0 - per_second / capacity, least_share_left);
}

std::optional<time_point> scheduler::next_event(time_point now) const
{
    if (queue_.empty())
    {
        return std::nullopt;
    }
    time_point at_time{duration(give_ups_.begin()->first)};
    for (auto const end : cooling_)
    {
        if (end > now)
        {
            at_time = std::min(at_time, end);
        }
    }
    if (pause_until_ > now)
    {
        at_time = std::min(at_time, pause_until_);
    }
    if (rules_.guards_ && probe_at_ > now && is_held_back(now))
    {
        at_time = std::min(at_time, probe_at_);
    }
    return at_time;
}

// Brings the smoothed load up to now; called before each change of it.
void scheduler::count_slots(time_point now)
{
    auto const decay = [now](time_point since)
    {
        auto const seconds = std::chrono::duration<double>(now - since).count();
        return std::exp(-std::max(seconds, 0.0) / load_time_constant_s);
    };
    auto const busy = static_cast<double>(running_.size()) /
                      static_cast<double>(std::max(limits_.slots_, 1U));
    utilisation_ = smooth(utilisation_, busy, 1.0 - decay(counted_));
    counted_ = now;
    auto const factor = decay(decayed_);
    started_here_ *= factor;
    moved_away_ *= factor;
    for (auto& [priority, work] : inflow_)
    {
        work *= factor;
    }
    decayed_ = now;
    std::erase_if(cooling_, [now](time_point end) { return end <= now; });
}

load_report scheduler::report(time_point now) const
{
    return {expected_wait(0, now), utilisation_, failures_, slowdown_};
}

void scheduler::set_peer_average(load_report const& average)
{
    peers_ = average;
    has_peers_ = true;
}

bool scheduler::is_suspect() const
{
    if (!has_peers_ || !rules_.guards_)
    {
        return false;
    }
    return failures_ > peers_.failures_ + suspect_failures ||
           slowdown_ > suspect_slowdown * std::max(peers_.slowdown_, 1.0);
}

} // namespace daisytrail
