// Task queues between the two event loops of peer_rpc: from the Asio loop to
// the KJ thread and back. Tasks own copies of their values, so the threads
// share no other state.
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

    // Queues a task for the KJ thread. May be called on any thread.
    void post_to_kj(std::function<void()> task);

    // Queues a task for the Asio loop. It is dropped if peer_rpc is destroyed
    // before it runs. May be called on any thread.
    void post_to_asio(std::function<void()> task);

    // Removes and returns the tasks queued for the KJ thread.
    std::deque<std::function<void()>> take_tasks();

    // Used on the Asio loop only. Null after peer_rpc was destroyed.
    peer_events* events_;
    metrics* metrics_;

    boost::asio::io_context& io_;
    std::mutex mutex_;
    std::deque<std::function<void()>> tasks_; // guarded by mutex_
    int wake_read_fd_ = -1;                   // owned by the KJ thread
    int wake_write_fd_ = -1;
};

} // namespace daisytrail
