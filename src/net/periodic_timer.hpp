// Timer that runs a task periodically on the event loop.
#pragma once

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace daisytrail
{

// The task may stop the timer or destroy its owner. After stop() or the
// timer's destruction the task isn't called again, even if an expiry is already
// queued.
//   periodic_timer timer(io, std::chrono::milliseconds(100), [] { tick(); });
//   timer.start();
class periodic_timer
{
public:
    periodic_timer(boost::asio::io_context& io,
                   std::chrono::milliseconds interval,
                   std::function<void()> task);
    ~periodic_timer();
    periodic_timer(periodic_timer const&) = delete;
    periodic_timer& operator=(periodic_timer const&) = delete;

    // Starts the timer. The task is first called after one interval.
    void start();
    void stop();

    // Returns the delay between the scheduled and the actual start of the last
    // call of the task.
    duration lateness() const;

private:
    struct state;

    static void wait(std::shared_ptr<state> const& running);

    std::shared_ptr<state> state_; // never null
};

} // namespace daisytrail
