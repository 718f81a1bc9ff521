// Periodic timer on a steady_timer.
#include "net/periodic_timer.hpp"

#include <boost/asio/steady_timer.hpp>

namespace daisytrail
{

// State shared with the pending wait, which may outlive the timer.
struct periodic_timer::state
{
    state(boost::asio::io_context& io, std::chrono::milliseconds interval,
          std::function<void()> task)
        : timer_(io), interval_(interval), task_(std::move(task))
    {
    }

    boost::asio::steady_timer timer_;
    std::chrono::milliseconds interval_;
    std::function<void()> task_;
    duration lateness_{};
    bool is_running_ = false;
};

periodic_timer::periodic_timer(boost::asio::io_context& io,
                               std::chrono::milliseconds interval,
                               std::function<void()> task)
    : state_(std::make_shared<state>(io, interval, std::move(task)))
{
}

periodic_timer::~periodic_timer()
{
    stop();
}

void periodic_timer::start()
{
    if (!state_->is_running_)
    {
        state_->is_running_ = true;
        wait(state_);
    }
}

void periodic_timer::stop()
{
    state_->is_running_ = false;
    state_->timer_.cancel();
}

duration periodic_timer::lateness() const
{
    return state_->lateness_;
}

void periodic_timer::wait(std::shared_ptr<state> const& running)
{
    running->timer_.expires_after(running->interval_);
    running->timer_.async_wait(
        [running](boost::system::error_code code)
        {
            if (code || !running->is_running_)
            {
                return;
            }
            running->lateness_ =
                std::chrono::steady_clock::now() - running->timer_.expiry();
            running->task_();
            if (running->is_running_)
            {
                wait(running);
            }
        });
}

} // namespace daisytrail
