// A task that runs at a fixed interval on the event loop.
#pragma once

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace daisytrail
{

// The task may stop the timer or destroy its owner. After stop() and after the
// timer's end the task isn't called again, also if an expiry is queued already.
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

    // The first call of the task is one interval later.
    void start();
    void stop();

    // How long after its time the latest call of the task began.
    duration lateness() const;

private:
    struct state;

    static void wait(std::shared_ptr<state> const& running);

    std::shared_ptr<state> state_; // never null
};

} // namespace daisytrail
