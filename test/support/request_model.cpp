// Event queue, agents and backend servers of the simulation.
#include "support/request_model.hpp"

#include <algorithm>
#include <cmath>

namespace daisytrail::model
{

namespace
{

constexpr time_point start_time{std::chrono::hours(1)};
constexpr std::uint32_t queue_limit = 64;
constexpr std::chrono::milliseconds offer_interval{20};
constexpr std::chrono::milliseconds min_offered_wait{2};
constexpr std::uint32_t max_offer_rounds = 2;
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

// A scheduled action. Events at the same time run in the order of sequence_.
struct event
{
    time_point at_{};
    std::uint64_t sequence_ = 0;
    std::function<void()> action_;

    bool operator<(event const& other) const
    {
        return at_ != other.at_ ? at_ > other.at_ : sequence_ > other.sequence_;
    }
};

struct agent
{
    std::unique_ptr<scheduler> scheduler_;
    peer_choice peers_;
    double speed_ = 1.0;
    time_point process_at_{}; // next scheduled call of process_queue()
};

// State of a request at its home agent, the agent that received it.
struct active_request
{
    std::size_t record_ = 0; // index in result::requests_
    std::size_t home_ = 0;   // index of the home agent
    duration work_{};        // run time at speed 1
    time_point received_{};
    time_point deadline_{};
    bool is_waiting_ = true; // neither started nor refused
    bool asked_peers_first_ = false;
    bool is_waiting_for_peers_ = false;
    std::uint32_t rounds_ = 0;     // rounds of offers to peers
    std::set<std::size_t> offers_; // peers with an unanswered offer
};

class simulation
{
public:
    simulation(scenario const& scenario_config, strategy selected_strategy,
               std::uint64_t seed)
        : scenario_(scenario_config), strategy_(selected_strategy),
          arrivals_(seed), choices_(seed + 1)
    {
        auto const& rules =
            selected_strategy == strategy::product ? product_rules : fifo_rules;
        std::vector<scheduler_class> classes;
        for (auto const& kind : scenario_config.classes_)
        {
            classes.push_back(kind.config_);
        }
        agents_.resize(scenario_config.targets_);
        for (std::size_t i = 0; i < agents_.size(); ++i)
        {
            agents_[i].scheduler_ = std::make_unique<scheduler>(
                classes, scheduler_limits{slots_per_target, queue_limit},
                rules);
            if (!scenario_config.speeds_.empty())
            {
                agents_[i].speed_ =
                    scenario_config.speeds_[i % scenario_config.speeds_.size()];
            }
            for (std::size_t j = 0; j < agents_.size(); ++j)
            {
                if (j != i)
                {
                    agents_[i].peers_.add(j, slots_per_target,
                                          start_time - std::chrono::minutes(1));
                }
            }
        }
        result_.busy_s_.resize(agents_.size());
    }

    result run()
    {
        schedule_arrival(start_time);
        if (strategy_ == strategy::product)
        {
            tick();
        }
        while (!events_.empty())
        {
            auto next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.action_();
        }
        if (!result_.requests_.empty())
        {
            result_.decision_ns_ =
                decision_ns_ / static_cast<double>(result_.requests_.size());
        }
        return std::move(result_);
    }

private:
    void schedule(time_point when, std::function<void()> action)
    {
        events_.push({when, next_sequence_++, std::move(action)});
    }

    // Runs a decision of the product's code and adds its duration to
    // decision_ns_.
    template <typename Decision>
    auto time_decision(Decision decision)
    {
        struct stopwatch
        {
            double& total_ns_;
            std::chrono::steady_clock::time_point start_ =
                std::chrono::steady_clock::now();

            ~stopwatch()
            {
                total_ns_ += std::chrono::duration<double, std::nano>(
                                 std::chrono::steady_clock::now() - start_)
                                 .count();
            }
        };
        stopwatch const timing{decision_ns_};
        return decision();
    }

    double elapsed_s() const
    {
        return seconds(now_ - start_time);
    }

    double load_at(double second) const
    {
        auto const& points = scenario_.load_;
        for (std::size_t i = 1; i < points.size(); ++i)
        {
            if (second < points[i].first)
            {
                auto const fraction = (second - points[i - 1].first) /
                                      (points[i].first - points[i - 1].first);
                return points[i - 1].second +
                       fraction * (points[i].second - points[i - 1].second);
            }
        }
        return points.back().second;
    }

    double arrival_rate(double second) const
    {
        double capacity = 0.0;
        for (auto const& target_agent : agents_)
        {
            capacity += target_agent.speed_ * slots_per_target;
        }
        double mean_work = 0.0;
        for (auto const& kind : scenario_.classes_)
        {
            mean_work += kind.share_ * seconds(kind.work_);
        }
        return load_at(second) * capacity / mean_work;
    }

    void schedule_arrival(time_point from)
    {
        std::exponential_distribution<double> interarrival(
            arrival_rate(seconds(from - start_time)));
        auto const next = from + from_seconds(interarrival(arrivals_));
        if (seconds(next - start_time) < scenario_.seconds_)
        {
            schedule(next,
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
        auto const class_draw = unit(arrivals_);
        auto const size = 0.5 + unit(arrivals_);
        auto const home = static_cast<std::size_t>(
            unit(arrivals_) * static_cast<double>(agents_.size()));
        double sum = 0.0;
        std::size_t index = 0;
        for (; index + 1 < scenario_.classes_.size(); ++index)
        {
            sum += scenario_.classes_[index].share_;
            if (class_draw < sum)
            {
                break;
            }
        }
        auto const& kind = scenario_.classes_[index];
        auto const id = next_id_++;
        active_request request;
        request.record_ = result_.requests_.size();
        request.home_ = strategy_ == strategy::least_connections
                            ? least_connections()
                            : home;
        request.work_ = from_seconds(seconds(kind.work_) * size);
        request.received_ = now_;
        request.deadline_ = now_ + kind.deadline_;
        request_record record;
        record.class_ = index;
        record.arrived_s_ = elapsed_s();
        result_.requests_.push_back(record);
        active_requests_.emplace(id, request);
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

    std::size_t class_of(active_request const& request) const
    {
        return result_.requests_[request.record_].class_;
    }

    void place(request_id id)
    {
        auto& request = active_requests_.at(id);
        auto& home = agents_[request.home_];
        if (strategy_ == strategy::product && !request.asked_peers_first_ &&
            time_decision(
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
        place_at_home(id);
    }

    void place_at_home(request_id id)
    {
        auto& request = active_requests_.at(id);
        auto& home = agents_[request.home_];
        auto const admitted = time_decision(
            [&]
            {
                return home.scheduler_->try_enqueue({id, class_of(request),
                                                     request.received_,
                                                     request.deadline_, false},
                                                    now_);
            });
        if (admitted.victim_)
        {
            drop_queued(request.home_, *admitted.victim_);
        }
        if (admitted.refused_)
        {
            if (strategy_ == strategy::product && !request.asked_peers_first_)
            {
                ask_peers_first(id);
                return;
            }
            refuse(id);
            return;
        }
        process_queue(request.home_);
        auto const remaining = active_requests_.find(id);
        if (strategy_ == strategy::product &&
            remaining != active_requests_.end() &&
            remaining->second.is_waiting_)
        {
            offer(id, false);
        }
    }

    // Handles a request or reservation that was removed from the queue without
    // being started.
    void drop_queued(std::size_t target, request_id id)
    {
        auto const found_reservation = request_of_reservation_.find(id);
        if (found_reservation != request_of_reservation_.end())
        {
            reply(target, found_reservation->second, false, id);
            request_of_reservation_.erase(found_reservation);
            return;
        }
        refuse(id);
    }

    void refuse(request_id id)
    {
        auto& request = active_requests_.at(id);
        auto& record = result_.requests_[request.record_];
        record.refused_ = true;
        record.ended_s_ = elapsed_s();
        withdraw_offers(id);
        active_requests_.erase(id);
    }

    void ask_peers_first(request_id id)
    {
        auto& request = active_requests_.at(id);
        request.asked_peers_first_ = true;
        request.is_waiting_for_peers_ = true;
        if (!offer(id, true))
        {
            request.is_waiting_for_peers_ = false;
            place_at_home(id);
        }
    }

    bool offer(request_id id, bool immediate)
    {
        auto& request = active_requests_.at(id);
        auto& home = agents_[request.home_];
        auto const wait = time_decision(
            [&] {
                return home.scheduler_->expected_wait(class_of(request), now_);
            });
        if (!immediate && wait < min_offered_wait)
        {
            return false;
        }
        auto const chosen =
            time_decision([&] { return home.peers_.choose(choices_(), now_); });
        ++request.rounds_;
        for (std::size_t i = 0; i < chosen.count_; ++i)
        {
            auto const peer = static_cast<std::size_t>(chosen.peers_[i]);
            request.offers_.insert(peer);
            home.peers_.on_offer_sent(peer);
            ++result_.messages_;
            schedule(now_ + network_delay, [this, id, peer, wait, immediate]
                     { receive_offer(id, peer, wait, immediate); });
        }
        return chosen.count_ > 0;
    }

    void receive_offer(request_id id, std::size_t peer, duration home_wait,
                       bool immediate)
    {
        auto const found = active_requests_.find(id);
        if (found == active_requests_.end() || !found->second.is_waiting_)
        {
            return; // the request was started or refused meanwhile
        }
        auto const& request = found->second;
        auto& peer_scheduler = *agents_[peer].scheduler_;
        auto const index = class_of(request);
        bool const busy = time_decision(
            [&]
            {
                return peer_scheduler.is_suspect() ||
                       (immediate ? !peer_scheduler.has_free_slot(index, now_)
                                  : peer_scheduler.expected_wait(index, now_) >=
                                        home_wait);
            });
        if (busy || peer_scheduler.queued() >= queue_limit)
        {
            reply(peer, id, false, 0);
            return;
        }
        auto const reservation = next_id_++;
        request_of_reservation_[reservation] = id;
        pending_reservations_[{id, peer}] = reservation;
        time_decision(
            [&]
            {
                return peer_scheduler.try_enqueue({reservation, index,
                                                   request.received_,
                                                   request.deadline_, true},
                                                  now_);
            });
        process_queue(peer);
    }

    void reply(std::size_t peer, request_id id, bool granted,
               request_id reservation)
    {
        ++result_.messages_;
        pending_reservations_.erase({id, peer});
        auto const report = agents_[peer].scheduler_->report(now_);
        schedule(now_ + network_delay,
                 [this, peer, id, granted, reservation, report]
                 { receive_reply(peer, id, granted, reservation, report); });
    }

    void receive_reply(std::size_t peer, request_id id, bool granted,
                       request_id reservation, load_report const& report)
    {
        auto const found = active_requests_.find(id);
        if (found == active_requests_.end() || !found->second.is_waiting_)
        {
            if (granted)
            {
                ++result_.messages_;
                schedule(now_ + network_delay, [this, peer, reservation]
                         { release_reservation(peer, reservation); });
            }
            return;
        }
        auto& request = found->second;
        auto& home = agents_[request.home_];
        time_decision([&] { home.peers_.on_reply(peer, report, now_); });
        request.offers_.erase(peer);
        if (granted)
        {
            home.scheduler_->remove(id, now_, true);
            request.is_waiting_ = false;
            withdraw_offers(id);
            ++result_.messages_;
            schedule(now_ + network_delay, [this, peer, id, reservation]
                     { execute(peer, id, reservation); });
        }
        else if (request.offers_.empty() && request.is_waiting_for_peers_)
        {
            request.is_waiting_for_peers_ = false;
            place_at_home(id);
        }
    }

    void release_reservation(std::size_t peer, request_id reservation)
    {
        auto& peer_scheduler = *agents_[peer].scheduler_;
        peer_scheduler.remove(reservation, now_, false);
        peer_scheduler.finish(reservation, completion::abandoned, now_);
        request_of_reservation_.erase(reservation);
        process_queue(peer);
    }

    void withdraw_offers(request_id id)
    {
        for (auto const peer : active_requests_.at(id).offers_)
        {
            ++result_.messages_;
            schedule(now_ + network_delay,
                     [this, id, peer]
                     {
                         auto const found_reservation =
                             pending_reservations_.find({id, peer});
                         if (found_reservation != pending_reservations_.end())
                         {
                             auto const reservation = found_reservation->second;
                             pending_reservations_.erase(found_reservation);
                             release_reservation(peer, reservation);
                         }
                     });
        }
        active_requests_.at(id).offers_.clear();
    }

    void process_queue(std::size_t target)
    {
        auto& local_agent = agents_[target];
        if (local_agent.peers_.has_average())
        {
            local_agent.scheduler_->set_peer_average(
                local_agent.peers_.average_report());
        }
        auto const expired =
            time_decision([&] { return local_agent.scheduler_->expire(now_); });
        for (auto const id : expired)
        {
            drop_queued(target, id);
        }
        while (auto const id = time_decision(
                   [&] { return local_agent.scheduler_->next(now_); }))
        {
            auto const found_reservation = request_of_reservation_.find(*id);
            if (found_reservation != request_of_reservation_.end())
            {
                reply(target, found_reservation->second, true, *id);
                request_of_reservation_.erase(found_reservation);
                continue;
            }
            active_requests_.at(*id).is_waiting_ = false;
            withdraw_offers(*id);
            execute(target, *id, *id);
        }
        auto const next = local_agent.scheduler_->next_event(now_);
        if (next && (local_agent.process_at_ <= now_ ||
                     *next < local_agent.process_at_))
        {
            local_agent.process_at_ = std::max(*next, now_ + duration(1'000));
            schedule(local_agent.process_at_,
                     [this, target] { process_queue(target); });
        }
    }

    void execute(std::size_t target, request_id id, request_id slot)
    {
        auto const& request = active_requests_.at(id);
        auto& record = result_.requests_[request.record_];
        record.target_ = target;
        record.started_s_ = elapsed_s();
        bool const faulty = target == 0 && elapsed_s() >= scenario_.fault_at_s_;
        bool const fails = faulty && scenario_.fault_ == fault::fails_fast;
        auto speed = agents_[target].speed_;
        if (faulty && scenario_.fault_ == fault::slow)
        {
            speed /= slow_factor;
        }
        auto const time = fails ? duration(failure_time)
                                : from_seconds(seconds(request.work_) / speed);
        record.service_s_ = seconds(time);
        record.failed_ = fails;
        result_.busy_s_[target] += seconds(time);
        // An answer of another agent's backend server travels back to the home
        // agent.
        auto const return_delay =
            target == request.home_ ? duration{} : network_delay;
        auto const index = request.record_;
        schedule(now_ + time,
                 [this, target, id, slot, fails, index, return_delay]
                 {
                     result_.requests_[index].ended_s_ =
                         elapsed_s() + seconds(return_delay);
                     time_decision(
                         [&]
                         {
                             agents_[target].scheduler_->finish(
                                 slot,
                                 fails ? completion::failed
                                       : completion::answered,
                                 now_);
                         });
                     active_requests_.erase(id);
                     process_queue(target);
                 });
    }

    // Periodically offers waiting requests to peers again: for up to
    // max_offer_rounds rounds, or without a limit while the home agent is
    // suspect.
    void tick()
    {
        std::vector<request_id> requests_to_offer;
        for (auto const& [id, request] : active_requests_)
        {
            if (request.is_waiting_ && request.offers_.empty() &&
                (request.rounds_ < max_offer_rounds ||
                 agents_[request.home_].scheduler_->is_suspect()) &&
                agents_[request.home_].scheduler_->is_queued(id))
            {
                requests_to_offer.push_back(id);
            }
        }
        std::sort(requests_to_offer.begin(), requests_to_offer.end());
        for (auto const id : requests_to_offer)
        {
            offer(id, false);
        }
        if (elapsed_s() < scenario_.seconds_ || !active_requests_.empty())
        {
            schedule(now_ + offer_interval, [this] { tick(); });
        }
    }

    scenario const& scenario_;
    strategy strategy_;
    // Separate generators, so that the arrivals are the same under all
    // strategies.
    std::mt19937_64 arrivals_;
    std::mt19937_64 choices_;
    time_point now_ = start_time;
    std::priority_queue<event> events_;
    std::uint64_t next_sequence_ = 0;
    request_id next_id_ = 1;
    std::vector<agent> agents_;
    std::unordered_map<request_id, active_request> active_requests_;
    // Requests by the identifiers of their reservations.
    std::unordered_map<request_id, request_id> request_of_reservation_;
    // Reservations that wait for a slot, by request and peer.
    std::map<std::pair<request_id, std::size_t>, request_id>
        pending_reservations_;
    double decision_ns_ = 0.0;
    result result_;
};

} // namespace

result run(scenario const& scenario_config, strategy selected_strategy,
           std::uint64_t seed)
{
    return simulation(scenario_config, selected_strategy, seed).run();
}

} // namespace daisytrail::model
