// UDP socket on the event loop that receives and sends datagrams in batches.
#pragma once

#include "net/metrics.hpp"
#include "net/udp_batch.hpp"

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <string>

namespace daisytrail
{

class datagram_port
{
public:
    // Handles one received datagram, which may be changed in place and stays
    // valid until its batch has been handled.
    using handler =
        std::function<void(std::span<std::byte> datagram, endpoint const&)>;

    // Binds the socket; throws error(unavailable) if the address is in use.
    datagram_port(boost::asio::io_context& io, endpoint const& local);

    // Calls `after_batch` after all datagrams of a batch were handled.
    void start(handler on_datagram, std::function<void()> after_batch);

    // Registers a gauge, labelled with `port`, of the datagrams that the kernel
    // dropped from the receive queue.
    void add_drop_gauge(metrics& counters, std::string const& port);
    void stop();

    // Reads and handles one batch of waiting datagrams.
    void read();

    // Every datagram that arrived before this time was read and handled.
    time_point drained_at() const
    {
        return drained_at_;
    }

    // Buffer for the head of the next datagram; sends the batch first if it is
    // full.
    std::span<std::byte> next_head();

    // Queues a datagram of next_head() and the payload, which must stay valid
    // until flush().
    void add(endpoint const& to, std::size_t head_bytes,
             std::span<std::byte const> payload);

    // Sends the queued datagrams. Returns the number of datagrams that the
    // kernel refused since the last call.
    std::size_t flush();

private:
    void wait();

    boost::asio::ip::udp::socket socket_;
    udp_receiver receiver_;
    udp_sender sender_;
    handler on_datagram_;
    std::function<void()> after_batch_;
    time_point drained_at_{};
    std::size_t refused_ = 0; // in batches sent by next_head() since flush()
};

} // namespace daisytrail
