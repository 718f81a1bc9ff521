// The two event loops of peer_rpc: tasks passed from the Asio loop to the KJ
// thread and back. Tasks carry values only.
#pragma once

#include "agent/peer_link.hpp"
#include "net/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace daisytrail
{

struct peer_rpc_bridge : std::enable_shared_from_this<peer_rpc_bridge>
{
    peer_rpc_bridge(boost::asio::io_context& io, peer_events& events,
                    metrics& registry);
    ~peer_rpc_bridge();
    peer_rpc_bridge(peer_rpc_bridge const&) = delete;
    peer_rpc_bridge& operator=(peer_rpc_bridge const&) = delete;

    // Runs a task on the KJ thread; called on any thread.
    void post_to_kj(std::function<void()> task);

    // Runs a task on the Asio loop while peer_rpc lives; called on any thread.
    void post_to_asio(std::function<void()> task);

    // All tasks for the KJ thread that have come since the last call.
    std::deque<std::function<void()>> take_tasks();

    // On the Asio loop only; null once peer_rpc is gone.
    peer_events* events_;
    metrics* metrics_;

    boost::asio::io_context& io_;
    std::mutex mutex_;
    std::deque<std::function<void()>> tasks_; // guarded by mutex_
    int wake_read_fd_ = -1;                   // owned by the KJ thread
    int wake_write_fd_ = -1;
};

} // namespace daisytrail
