// Task queue and wake-up pipe from the Asio loop to the KJ thread.
#include "agent/peer_bridge.hpp"

#include <daisytrail/error.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace daisytrail
{

peer_rpc_bridge::peer_rpc_bridge(boost::asio::io_context& io,
                                 peer_events& events, metrics& registry)
    : events_(&events), metrics_(&registry), io_(io)
{
    std::array<int, 2> fds{};
    if (::pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    {
        throw error(error_kind::unavailable,
                    "can't create the wake-up pipe for RPC");
    }
    wake_read_fd_ = fds[0];
    wake_write_fd_ = fds[1];
}

peer_rpc_bridge::~peer_rpc_bridge()
{
    ::close(wake_write_fd_);
}

void peer_rpc_bridge::post_to_kj(std::function<void()> task)
{
    bool was_empty = false;
    {
        std::lock_guard const lock(mutex_);
        was_empty = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    // One byte wakes the thread for all tasks that are queued until it calls
    // take_tasks().
    char const byte = 0;
    if (was_empty && ::write(wake_write_fd_, &byte, 1) < 0)
    {
        // The pipe is full, so a pending byte will wake the thread.
        return;
    }
}

void peer_rpc_bridge::post_to_asio(std::function<void()> task)
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

std::deque<std::function<void()>> peer_rpc_bridge::take_tasks()
{
    std::lock_guard const lock(mutex_);
    return std::exchange(tasks_, {});
}

} // namespace daisytrail
