// Event-driven model of callers, balancers, agents and backend servers.
#include "support/recovery_model.hpp"

#include <daisytrail/placement.hpp>
#include <daisytrail/syn_queue.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace daisytrail::test
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds one_way_delay{4}; // between any two processes
constexpr milliseconds attempt_timeout{1'400};
constexpr milliseconds report_interval{100};
constexpr milliseconds refusal_time{40}; // that a full backend server takes
constexpr std::size_t max_attempts = 3;
// Flows in excess of the queue that a backend server keeps before it resets.
constexpr std::uint32_t excess_flows = 29;
constexpr milliseconds normal_window{250};

struct request
{
    time_point asked_at_;
    std::size_t attempts_ = 0;
    std::uint64_t flow_ = 0; // of the current attempt
    bool is_answered_ = false;
    bool has_opened_ = false; // the current attempt
    time_point answered_at_{};
};

struct server
{
    std::uint32_t running_ = 0;
    std::deque<std::size_t> waiting_; // requests in its own queue
    std::uint32_t refusing_ = 0;      // refusals under way
    double speed_ = 1;
    syn_queue syns_;
    std::unordered_map<flow_key, std::size_t, flow_hash> waiting_syns_;

    std::uint32_t in_flight() const
    {
        return running_ + static_cast<std::uint32_t>(waiting_.size()) +
               refusing_;
    }
};

struct balancer
{
    std::vector<std::unique_ptr<forward_target>> targets_;
    forward_directory::target_list members_;
};

class recovery_model
{
public:
    explicit recovery_model(recovery_scenario const& scenario)
        : scenario_(scenario), random_(scenario.seed_),
          power_at_(start_ + scenario.power_off_),
          places_from_(power_at_ + scenario.first_placement_delay_)
    {
        for (auto const speed : scenario.speeds_)
        {
            servers_.emplace_back().speed_ = speed;
            servers_.back().syns_.set_slots(scenario.slots_);
        }
        for (std::size_t i = 0; i < scenario.balancers_; ++i)
        {
            add_balancer();
        }
    }

    recovery_outcome run()
    {
        schedule_arrivals();
        at(power_at_, [this] { report(); });
        while (!events_.empty())
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.action_();
        }
        return outcome();
    }

private:
    struct event
    {
        time_point at_;
        std::uint64_t order_;
        std::function<void()> action_;

        bool operator<(event const& other) const
        {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, ++event_count_, std::move(action)});
    }

    void after(duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    void add_balancer()
    {
        auto& added = balancers_.emplace_back();
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            auto target = std::make_unique<forward_target>();
            target->record_.target_ = i + 1;
            target->record_.slots_ = scenario_.slots_;
            target->record_.state_ = member_state::ready;
            added.members_.push_back(target.get());
            added.targets_.push_back(std::move(target));
        }
    }

    void schedule_arrivals()
    {
        std::exponential_distribution<> gap(scenario_.arrivals_per_second_);
        double seconds = gap(random_);
        while (seconds < std::chrono::duration<double>(scenario_.end_).count())
        {
            auto const asked_at =
                start_ + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(seconds));
            auto const index = requests_.size();
            requests_.push_back({asked_at});
            at(asked_at, [this, index] { begin_attempt(index); });
            seconds += gap(random_);
        }
    }

    bool is_over(request const& value) const
    {
        return value.is_answered_ ||
               now_ >= value.asked_at_ + scenario_.deadline_;
    }

    void begin_attempt(std::size_t index)
    {
        auto& value = requests_[index];
        if (is_over(value) || value.attempts_ == max_attempts)
        {
            return;
        }
        ++value.attempts_;
        value.has_opened_ = false;
        auto const flow = ++flow_count_;
        value.flow_ = flow;
        constexpr std::array<milliseconds, 3> syn_times{
            milliseconds(0), milliseconds(200), milliseconds(600)};
        std::uint8_t next_copy = 0;
        for (auto const delay : syn_times)
        {
            auto const copy = next_copy++;
            after(delay,
                  [this, index, flow, copy]
                  {
                      auto const& current = requests_[index];
                      if (current.flow_ == flow && !current.has_opened_)
                      {
                          send_syn(index, flow, copy);
                      }
                  });
        }
        after(attempt_timeout,
              [this, index, flow]
              {
                  auto const& current = requests_[index];
                  if (current.flow_ == flow && !current.has_opened_)
                  {
                      ++expired_attempts_;
                      begin_attempt(index);
                  }
              });
    }

    // A copy goes to the target of the first SYN, if that got one.
    void send_syn(std::size_t index, std::uint64_t flow, std::uint8_t copy)
    {
        if (now_ < places_from_)
        {
            return;
        }
        auto const found = placed_.find(flow);
        auto const chosen =
            found == placed_.end() ? place(flow) : found->second;
        placed_[flow] = chosen;
        after(one_way_delay, [this, index, flow, copy, chosen]
              { on_syn(index, flow, copy, chosen); });
    }

    std::size_t place(std::uint64_t flow)
    {
        auto& chooser = balancers_[flow % balancers_.size()];
        placement_request request;
        request.flow_hash_ = flow * 0x9e3779b97f4a7c15ULL;
        request.now_ = now_;
        auto* const target = place_flow(chooser.members_, request, {});
        ++target->placed_since_report_;
        return target->record_.target_ - 1;
    }

    static flow_packet make_syn(std::uint64_t flow, std::uint8_t copy)
    {
        flow_packet result;
        result.source_ = {static_cast<std::uint32_t>(flow), 1};
        result.destination_ = {1, 443};
        result.syn_ = true;
        result.syn_attempt_ = copy;
        return result;
    }

    void on_syn(std::size_t index, std::uint64_t flow, std::uint8_t copy,
                std::size_t where)
    {
        auto& to = servers_[where];
        auto const syn = make_syn(flow, copy);
        if (!scenario_.queues_syns_)
        {
            open(index, flow, where);
            return;
        }
        switch (to.syns_.on_syn(syn, to.in_flight(), now_))
        {
        case syn_queue::step::pass:
            open(index, flow, where);
            break;
        case syn_queue::step::wait:
            to.waiting_syns_[syn.flow_from_caller()] = index;
            break;
        case syn_queue::step::refuse:
            break;
        }
    }

    // The caller gets the SYN+ACK and sends the request.
    void open(std::size_t index, std::uint64_t flow, std::size_t where)
    {
        after(2 * one_way_delay,
              [this, index, flow, where]
              {
                  auto& value = requests_[index];
                  servers_[where].syns_.on_handshake_end(
                      make_syn(flow, 0).flow_from_caller());
                  bool const is_wanted = value.flow_ == flow &&
                                         !value.has_opened_ && !is_over(value);
                  if (is_wanted)
                  {
                      value.has_opened_ = true;
                      on_request(index, where);
                  }
                  release(where);
              });
    }

    void on_request(std::size_t index, std::size_t where)
    {
        auto& to = servers_[where];
        auto const capacity = scenario_.slots_ + scenario_.queue_;
        bool const is_full = to.running_ + to.waiting_.size() >= capacity;
        if (!is_full)
        {
            to.waiting_.push_back(index);
            start_waiting(where);
            return;
        }
        ++refusals_;
        bool const is_reset = to.refusing_ >= excess_flows;
        ++to.refusing_;
        after(is_reset ? milliseconds(0) : refusal_time,
              [this, index, where]
              {
                  --servers_[where].refusing_;
                  begin_attempt(index);
                  release(where);
              });
    }

    void start_waiting(std::size_t where)
    {
        auto& to = servers_[where];
        while (to.running_ < scenario_.slots_ && !to.waiting_.empty())
        {
            auto const index = to.waiting_.front();
            to.waiting_.pop_front();
            ++to.running_;
            after(service_time(to),
                  [this, index, where] { on_served(index, where); });
        }
    }

    duration service_time(server const& at)
    {
        bool const is_cold = now_ < power_at_ + scenario_.cold_time_;
        std::gamma_distribution<> spread(4, 0.25); // mean 1
        auto const factor = (is_cold ? scenario_.cold_factor_ : 1) / at.speed_ *
                            spread(random_);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(
                static_cast<double>(scenario_.service_time_.count()) * factor));
    }

    void on_served(std::size_t index, std::size_t where)
    {
        --servers_[where].running_;
        auto& value = requests_[index];
        if (!is_over(value))
        {
            value.is_answered_ = true;
            value.answered_at_ = now_ + one_way_delay;
        }
        start_waiting(where);
        release(where);
    }

    void release(std::size_t where)
    {
        auto& from = servers_[where];
        from.syns_.take_expired(now_);
        for (auto const& flow : from.syns_.take_ready(from.in_flight(), now_))
        {
            open(from.waiting_syns_.at(flow), flow.caller_.address_, where);
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            release(i);
            backend_load load;
            load.accepts_ = true;
            load.in_flight_ =
                servers_[i].in_flight() +
                static_cast<std::uint32_t>(servers_[i].syns_.pending());
            for (auto const& each : balancers_)
            {
                each.members_[i]->load_ = load;
                each.members_[i]->has_report_ = true;
                each.members_[i]->placed_since_report_ = 0;
            }
        }
        if (now_ < start_ + scenario_.end_ + scenario_.deadline_)
        {
            after(report_interval, [this] { report(); });
        }
    }

    recovery_outcome outcome() const
    {
        recovery_outcome result;
        result.asked_ = requests_.size();
        result.refusals_ = refusals_;
        result.expired_attempts_ = expired_attempts_;
        time_point last_disturbed = power_at_;
        for (auto const& each : requests_)
        {
            bool const is_on_time =
                each.is_answered_ &&
                each.answered_at_ <= each.asked_at_ + scenario_.objective_;
            result.on_time_ += is_on_time ? 1 : 0;
            result.late_ += each.is_answered_ && !is_on_time ? 1 : 0;
            result.unserved_ += each.is_answered_ ? 0 : 1;
        }
        for (auto from = power_at_; from < start_ + scenario_.end_;
             from += normal_window)
        {
            if (is_disturbed(from))
            {
                last_disturbed = from + normal_window;
            }
        }
        result.time_to_normal_ = last_disturbed - power_at_;
        return result;
    }

    // True if over a tenth of the requests that arrive in the window aren't
    // served on time.
    bool is_disturbed(time_point from) const
    {
        std::size_t asked = 0;
        std::size_t missed = 0;
        for (auto const& each : requests_)
        {
            if (each.asked_at_ < from || each.asked_at_ >= from + normal_window)
            {
                continue;
            }
            ++asked;
            bool const is_on_time =
                each.is_answered_ &&
                each.answered_at_ <= each.asked_at_ + scenario_.objective_;
            missed += is_on_time ? 0 : 1;
        }
        return 10 * missed > asked;
    }

    recovery_scenario const& scenario_;
    std::mt19937_64 random_;
    time_point const start_{std::chrono::hours(1)};
    time_point const power_at_;
    time_point const places_from_;
    time_point now_ = start_;
    std::vector<server> servers_;
    std::vector<balancer> balancers_;
    std::vector<request> requests_;
    std::unordered_map<std::uint64_t, std::size_t> placed_; // flow to server
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::uint64_t flow_count_ = 0;
    std::size_t refusals_ = 0;
    std::size_t expired_attempts_ = 0;
};

} // namespace

recovery_outcome run_recovery(recovery_scenario const& scenario)
{
    return recovery_model(scenario).run();
}

} // namespace daisytrail::test
