// Event queue, agents and backend servers of the model.
#include "support/request_model.hpp"

#include <algorithm>
#include <cmath>

namespace daisytrail::model
{

namespace
{

constexpr time_point begin{std::chrono::hours(1)};
constexpr std::uint32_t queue_limit = 64;
constexpr std::chrono::milliseconds offer_interval{20};
constexpr std::chrono::milliseconds shortest_offered_wait{2};
constexpr std::uint32_t most_rounds = 2;
constexpr double slow_factor = 10.0;
constexpr std::chrono::milliseconds failure_time{1};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return duration(static_cast<std::int64_t>(value * 1e9));
}

struct event
{
    time_point at_{};
    std::uint64_t order_ = 0;
    std::function<void()> act_;

    bool operator<(event const& other) const
    {
        return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
    }
};

struct agent
{
    std::unique_ptr<scheduler> scheduler_;
    peer_choice peers_;
    double speed_ = 1.0;
    time_point pump_at_{};
};

// A request as its home agent sees it.
struct live_request
{
    std::size_t record_ = 0;
    std::size_t home_ = 0;
    duration work_{};
    time_point received_{};
    time_point deadline_{};
    bool waiting_ = true; // not started and not refused
    bool asked_peers_first_ = false;
    bool waits_for_peers_ = false;
    std::uint32_t rounds_ = 0;
    std::set<std::size_t> offers_;
};

class world
{
public:
    world(scenario const& what, strategy how, std::uint64_t seed)
        : what_(what), how_(how), arrivals_(seed), choices_(seed + 1)
    {
        auto const& rules =
            how == strategy::product ? product_rules : fifo_rules;
        std::vector<scheduler_class> classes;
        for (auto const& kind : what.classes_)
        {
            classes.push_back(kind.config_);
        }
        agents_.resize(what.targets_);
        for (std::size_t i = 0; i < agents_.size(); ++i)
        {
            agents_[i].scheduler_ = std::make_unique<scheduler>(
                classes, scheduler_limits{slots_per_target, queue_limit},
                rules);
            if (!what.speeds_.empty())
            {
                agents_[i].speed_ = what.speeds_[i % what.speeds_.size()];
            }
            for (std::size_t j = 0; j < agents_.size(); ++j)
            {
                if (j != i)
                {
                    agents_[i].peers_.add(j, slots_per_target,
                                          begin - std::chrono::minutes(1));
                }
            }
        }
        out_.busy_s_.resize(agents_.size());
    }

    result run()
    {
        schedule_arrival(begin);
        if (how_ == strategy::product)
        {
            tick();
        }
        while (!events_.empty())
        {
            auto next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.act_();
        }
        if (!out_.requests_.empty())
        {
            out_.decision_ns_ =
                decision_ns_ / static_cast<double>(out_.requests_.size());
        }
        return std::move(out_);
    }

private:
    void at(time_point when, std::function<void()> act)
    {
        events_.push({when, next_order_++, std::move(act)});
    }

    // Runs a decision of the core and adds its processor time.
    template <typename Decision>
    auto decide(Decision decision)
    {
        struct stopwatch
        {
            double& sum_;
            std::chrono::steady_clock::time_point start_ =
                std::chrono::steady_clock::now();

            ~stopwatch()
            {
                sum_ += std::chrono::duration<double, std::nano>(
                            std::chrono::steady_clock::now() - start_)
                            .count();
            }
        };
        stopwatch const timing{decision_ns_};
        return decision();
    }

    double elapsed() const
    {
        return seconds(now_ - begin);
    }

    double load_at(double second) const
    {
        auto const& points = what_.load_;
        for (std::size_t i = 1; i < points.size(); ++i)
        {
            if (second < points[i].first)
            {
                auto const part = (second - points[i - 1].first) /
                                  (points[i].first - points[i - 1].first);
                return points[i - 1].second +
                       part * (points[i].second - points[i - 1].second);
            }
        }
        return points.back().second;
    }

    double rate(double second) const
    {
        double capacity = 0.0;
        for (auto const& one : agents_)
        {
            capacity += one.speed_ * slots_per_target;
        }
        double mean_work = 0.0;
        for (auto const& kind : what_.classes_)
        {
            mean_work += kind.share_ * seconds(kind.work_);
        }
        return load_at(second) * capacity / mean_work;
    }

    void schedule_arrival(time_point from)
    {
        std::exponential_distribution<double> gap(rate(seconds(from - begin)));
        auto const next = from + from_seconds(gap(arrivals_));
        if (seconds(next - begin) < what_.seconds_)
        {
            at(next,
               [this, next]
               {
                   arrive();
                   schedule_arrival(next);
               });
        }
    }

    void arrive()
    {
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        auto const draw = unit(arrivals_);
        auto const size = 0.5 + unit(arrivals_);
        auto const home = static_cast<std::size_t>(
            unit(arrivals_) * static_cast<double>(agents_.size()));
        double sum = 0.0;
        std::size_t index = 0;
        for (; index + 1 < what_.classes_.size(); ++index)
        {
            sum += what_.classes_[index].share_;
            if (draw < sum)
            {
                break;
            }
        }
        auto const& kind = what_.classes_[index];
        auto const id = next_id_++;
        live_request request;
        request.record_ = out_.requests_.size();
        request.home_ =
            how_ == strategy::least_connections ? least_connections() : home;
        request.work_ = from_seconds(seconds(kind.work_) * size);
        request.received_ = now_;
        request.deadline_ = now_ + kind.deadline_;
        request_record record;
        record.class_ = index;
        record.arrived_s_ = elapsed();
        out_.requests_.push_back(record);
        live_.emplace(id, request);
        place(id);
    }

    std::size_t least_connections()
    {
        std::size_t best = 0;
        auto fewest = ~std::size_t{0};
        auto const first = choices_() % agents_.size();
        for (std::size_t i = 0; i < agents_.size(); ++i)
        {
            auto const candidate = (first + i) % agents_.size();
            auto const& state = *agents_[candidate].scheduler_;
            auto const open = state.queued() + state.running();
            if (open < fewest)
            {
                fewest = open;
                best = candidate;
            }
        }
        return best;
    }

    std::size_t class_of(live_request const& request) const
    {
        return out_.requests_[request.record_].class_;
    }

    void place(request_id id)
    {
        auto& request = live_.at(id);
        auto& home = agents_[request.home_];
        if (how_ == strategy::product && !request.asked_peers_first_ &&
            decide(
                [&]
                {
                    return home.scheduler_->has_free_slot(class_of(request),
                                                          now_) &&
                           home.peers_.should_offer_to_peers(
                               home.scheduler_->report(now_).utilisation_,
                               choices_());
                }))
        {
            ask_peers_first(id);
            return;
        }
        place_here(id);
    }

    void place_here(request_id id)
    {
        auto& request = live_.at(id);
        auto& home = agents_[request.home_];
        auto const admitted = decide(
            [&]
            {
                return home.scheduler_->offer({id, class_of(request),
                                               request.received_,
                                               request.deadline_, false},
                                              now_);
            });
        if (admitted.victim_)
        {
            drop(request.home_, *admitted.victim_);
        }
        if (admitted.refused_)
        {
            if (how_ == strategy::product && !request.asked_peers_first_)
            {
                ask_peers_first(id);
                return;
            }
            refuse(id);
            return;
        }
        pump(request.home_);
        auto const still = live_.find(id);
        if (how_ == strategy::product && still != live_.end() &&
            still->second.waiting_)
        {
            offer(id, false);
        }
    }

    // A request or a reservation left the queue without a start.
    void drop(std::size_t target, request_id id)
    {
        auto const held = reservations_.find(id);
        if (held != reservations_.end())
        {
            reply(target, held->second, false, id);
            reservations_.erase(held);
            return;
        }
        refuse(id);
    }

    void refuse(request_id id)
    {
        auto& request = live_.at(id);
        auto& record = out_.requests_[request.record_];
        record.refused_ = true;
        record.ended_s_ = elapsed();
        withdraw(id);
        live_.erase(id);
    }

    void ask_peers_first(request_id id)
    {
        auto& request = live_.at(id);
        request.asked_peers_first_ = true;
        request.waits_for_peers_ = true;
        if (!offer(id, true))
        {
            request.waits_for_peers_ = false;
            place_here(id);
        }
    }

    bool offer(request_id id, bool immediate)
    {
        auto& request = live_.at(id);
        auto& home = agents_[request.home_];
        auto const wait = decide(
            [&] {
                return home.scheduler_->expected_wait(class_of(request), now_);
            });
        if (!immediate && wait < shortest_offered_wait)
        {
            return false;
        }
        auto const chosen =
            decide([&] { return home.peers_.choose(choices_(), now_); });
        ++request.rounds_;
        for (std::size_t i = 0; i < chosen.count_; ++i)
        {
            auto const peer = static_cast<std::size_t>(chosen.peers_[i]);
            request.offers_.insert(peer);
            home.peers_.on_offer_sent(peer);
            ++out_.messages_;
            at(now_ + hop, [this, id, peer, wait, immediate]
               { take_offer(id, peer, wait, immediate); });
        }
        return chosen.count_ > 0;
    }

    void take_offer(request_id id, std::size_t peer, duration home_wait,
                    bool immediate)
    {
        auto const found = live_.find(id);
        if (found == live_.end() || !found->second.waiting_)
        {
            return; // released meanwhile
        }
        auto const& request = found->second;
        auto& own = *agents_[peer].scheduler_;
        auto const index = class_of(request);
        bool const busy = decide(
            [&]
            {
                return own.is_suspect() ||
                       (immediate
                            ? !own.has_free_slot(index, now_)
                            : own.expected_wait(index, now_) >= home_wait);
            });
        if (busy || own.queued() >= queue_limit)
        {
            reply(peer, id, false, 0);
            return;
        }
        auto const reservation = next_id_++;
        reservations_[reservation] = id;
        placed_[{id, peer}] = reservation;
        decide(
            [&]
            {
                return own.offer({reservation, index, request.received_,
                                  request.deadline_, true},
                                 now_);
            });
        pump(peer);
    }

    void reply(std::size_t peer, request_id id, bool granted,
               request_id reservation)
    {
        ++out_.messages_;
        placed_.erase({id, peer});
        auto const report = agents_[peer].scheduler_->report(now_);
        at(now_ + hop, [this, peer, id, granted, reservation, report]
           { take_reply(peer, id, granted, reservation, report); });
    }

    void take_reply(std::size_t peer, request_id id, bool granted,
                    request_id reservation, load_report const& report)
    {
        auto const found = live_.find(id);
        if (found == live_.end() || !found->second.waiting_)
        {
            if (granted)
            {
                ++out_.messages_;
                at(now_ + hop,
                   [this, peer, reservation] { vacate(peer, reservation); });
            }
            return;
        }
        auto& request = found->second;
        auto& home = agents_[request.home_];
        decide([&] { home.peers_.on_reply(peer, report, now_); });
        request.offers_.erase(peer);
        if (granted)
        {
            home.scheduler_->remove(id, now_, true);
            request.waiting_ = false;
            withdraw(id);
            ++out_.messages_;
            at(now_ + hop, [this, peer, id, reservation]
               { execute(peer, id, reservation); });
        }
        else if (request.offers_.empty() && request.waits_for_peers_)
        {
            request.waits_for_peers_ = false;
            place_here(id);
        }
    }

    void vacate(std::size_t peer, request_id reservation)
    {
        auto& own = *agents_[peer].scheduler_;
        own.remove(reservation, now_, false);
        own.finish(reservation, completion::vacated, now_);
        reservations_.erase(reservation);
        pump(peer);
    }

    void withdraw(request_id id)
    {
        for (auto const peer : live_.at(id).offers_)
        {
            ++out_.messages_;
            at(now_ + hop,
               [this, id, peer]
               {
                   auto const held = placed_.find({id, peer});
                   if (held != placed_.end())
                   {
                       auto const reservation = held->second;
                       placed_.erase(held);
                       vacate(peer, reservation);
                   }
               });
        }
        live_.at(id).offers_.clear();
    }

    void pump(std::size_t target)
    {
        auto& own = agents_[target];
        if (own.peers_.has_average())
        {
            own.scheduler_->set_peer_average(own.peers_.average_report());
        }
        auto const expired =
            decide([&] { return own.scheduler_->expire(now_); });
        for (auto const id : expired)
        {
            drop(target, id);
        }
        while (auto const id =
                   decide([&] { return own.scheduler_->next(now_); }))
        {
            auto const held = reservations_.find(*id);
            if (held != reservations_.end())
            {
                reply(target, held->second, true, *id);
                reservations_.erase(held);
                continue;
            }
            live_.at(*id).waiting_ = false;
            withdraw(*id);
            execute(target, *id, *id);
        }
        auto const next = own.scheduler_->next_event(now_);
        if (next && (own.pump_at_ <= now_ || *next < own.pump_at_))
        {
            own.pump_at_ = std::max(*next, now_ + duration(1'000));
            at(own.pump_at_, [this, target] { pump(target); });
        }
    }

    void execute(std::size_t target, request_id id, request_id slot)
    {
        auto const& request = live_.at(id);
        auto& record = out_.requests_[request.record_];
        record.target_ = target;
        record.started_s_ = elapsed();
        bool const faulty = target == 0 && elapsed() >= what_.fault_at_s_;
        bool const fails = faulty && what_.fault_ == fault::fails_fast;
        auto speed = agents_[target].speed_;
        if (faulty && what_.fault_ == fault::slow)
        {
            speed /= slow_factor;
        }
        auto const time = fails ? duration(failure_time)
                                : from_seconds(seconds(request.work_) / speed);
        record.service_s_ = seconds(time);
        record.failed_ = fails;
        out_.busy_s_[target] += seconds(time);
        // The answer of another agent's backend server takes a hop home.
        auto const back = target == request.home_ ? duration{} : hop;
        auto const index = request.record_;
        at(now_ + time,
           [this, target, id, slot, fails, index, back]
           {
               out_.requests_[index].ended_s_ = elapsed() + seconds(back);
               decide(
                   [&]
                   {
                       agents_[target].scheduler_->finish(
                           slot,
                           fails ? completion::failed : completion::answered,
                           now_);
                   });
               live_.erase(id);
               pump(target);
           });
    }

    // Offers waiting requests again for a bounded number of rounds.
    void tick()
    {
        std::vector<request_id> again;
        for (auto const& [id, request] : live_)
        {
            if (request.waiting_ && request.offers_.empty() &&
                (request.rounds_ < most_rounds ||
                 agents_[request.home_].scheduler_->is_suspect()) &&
                agents_[request.home_].scheduler_->is_queued(id))
            {
                again.push_back(id);
            }
        }
        std::sort(again.begin(), again.end());
        for (auto const id : again)
        {
            offer(id, false);
        }
        if (elapsed() < what_.seconds_ || !live_.empty())
        {
            at(now_ + offer_interval, [this] { tick(); });
        }
    }

    scenario const& what_;
    strategy how_;
    std::mt19937_64 arrivals_; // the same draws for every strategy
    std::mt19937_64 choices_;
    time_point now_ = begin;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    request_id next_id_ = 1;
    std::vector<agent> agents_;
    std::unordered_map<request_id, live_request> live_;
    std::unordered_map<request_id, request_id> reservations_; // to request
    // (request, peer) to the reservation there, while it waits for a slot.
    std::map<std::pair<request_id, std::size_t>, request_id> placed_;
    double decision_ns_ = 0.0;
    result out_;
};

} // namespace

result run(scenario const& what, strategy how, std::uint64_t seed)
{
    return world(what, how, seed).run();
}

} // namespace daisytrail::model
