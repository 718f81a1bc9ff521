// Queue and pipe between the event loops.
#include "agent/peer_bridge.hpp"

#include <daisytrail/error.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace daisytrail
{

peer_rpc_bridge::peer_rpc_bridge(boost::asio::io_context& io,
                                 peer_events& events, metrics& numbers)
    : events_(&events), metrics_(&numbers), io_(io)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    {
        throw error(error_kind::unavailable, "can't open a pipe");
    }
    wake_read_ = ends[0];
    wake_write_ = ends[1];
}

peer_rpc_bridge::~peer_rpc_bridge()
{
    ::close(wake_write_);
}

void peer_rpc_bridge::to_kj(std::function<void()> task)
{
    bool first = false;
    {
        std::lock_guard const lock(mutex_);
        first = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    // One byte wakes the thread for all tasks queued until it takes them.
    char const byte = 0;
    if (first && ::write(wake_write_, &byte, 1) < 0)
    {
        // The pipe is full, so that the thread is to wake anyway.
        return;
    }
}

void peer_rpc_bridge::to_asio(std::function<void()> task)
{
    boost::asio::post(io_,
                      [self = shared_from_this(), task = std::move(task)]
                      {
                          if (self->events_ != nullptr)
                          {
                              task();
                          }
                      });
}

std::deque<std::function<void()>> peer_rpc_bridge::take()
{
    std::lock_guard const lock(mutex_);
    return std::exchange(tasks_, {});
}

} // namespace daisytrail
