// Runs the agent's announcer on a timer and a control socket.
#include "net/agent_control.hpp"

#include "net/adopted_template.hpp"

#include <random>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{50};
constexpr milliseconds stop_timeout{1'500};

target_record make_record(agent_settings const& settings, incarnation start)
{
    target_record record;
    record.name_ = settings.common_.name_;
    record.target_ = hash_name(record.name_);
    record.version_ = {start, 0};
    record.service_ =
        hash_name(settings.organisation_ + "/" + settings.service_);
    record.failure_domain_ = settings.common_.failure_domain_;
    record.tunnel_ = settings.tunnel_;
    record.control_ = settings.common_.control_;
    record.rpc_ = settings.rpc_;
    record.weight_ = 1;
    return record;
}

} // namespace

agent_control::agent_control(boost::asio::io_context& io,
                             agent_settings const& settings, metrics& counters,
                             control_events& events)
    : link_(io, settings.common_, make_session(), counters),
      runner_(io, link_, events, counters,
              [this](template_received_action received)
              { adopt(std::move(received)); }),
      announcer_(make_record(settings, detail::make_incarnation()),
                 settings.follows_service_ ? settings.organisation_ : "",
                 settings.common_.seeds_, check_adopted_template,
                 std::random_device{}()),
      timer_(io, tick_interval, [this] { tick(); })
{
    counters.gauge(
        "daisytrail_control_observers",
        [this] { return static_cast<double>(announcer_.observer_count()); });
}

void agent_control::start()
{
    link_.start(
        [this](endpoint const& from, std::uint64_t sender,
               control_message const& message)
        {
            runner_.run(
                announcer_.receive(steady_clock::now(), from, sender, message));
        });
    timer_.start();
    tick();
}

void agent_control::set_seeds(std::vector<endpoint> const& seeds)
{
    announcer_.set_seeds(seeds);
}

void agent_control::publish(target_status const& status)
{
    runner_.run(announcer_.publish(status, steady_clock::now()));
}

void agent_control::adopt(template_received_action received)
{
    runner_.run(announcer_.adopt(std::move(received), steady_clock::now()));
}

void agent_control::stop(std::function<void()> done)
{
    auto const& self = announcer_.self();
    done_ = std::move(done);
    stop_deadline_ = steady_clock::now() + stop_timeout;
    publish({self.slots_, self.connections_, self.weight_, member_state::left});
}

void agent_control::halt()
{
    timer_.stop();
    link_.stop();
}

boost::json::value agent_control::adopted() const
{
    return detail::to_json(announcer_.templates(), announcer_.self().name_);
}

void agent_control::tick()
{
    auto const now = steady_clock::now();
    if (done_ && (announcer_.is_acknowledged() || now >= stop_deadline_))
    {
        finish();
        return;
    }
    runner_.run(announcer_.tick(now));
}

void agent_control::finish()
{
    halt();
    std::exchange(done_, nullptr)();
}

} // namespace daisytrail
