// A UDP socket on the event loop that hands over datagrams in batches and
// sends in batches.
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
    // Takes one datagram; it may be changed in place and stays valid until the
    // batch has been handled.
    using handler =
        std::function<void(std::span<std::byte> datagram, endpoint const&)>;

    // Binds at once; throws error(unavailable) if the address is taken.
    datagram_port(boost::asio::io_context& io, endpoint const& local);

    // `after_batch` is called once the datagrams of a batch were handled.
    void start(handler on_datagram, std::function<void()> after_batch);

    // Shows what the kernel dropped before it was read, under the port's name.
    void add_drop_gauge(metrics& counters, std::string const& port);
    void stop();

    // Reads and handles what has come.
    void read();

    // All that had come by then was read and handled.
    time_point drained_at() const
    {
        return drained_at_;
    }

    // Room for the head of the next datagram.
    std::span<std::byte> next_head();

    // Queues a datagram; the payload must stay until flush().
    void add(endpoint const& to, std::size_t head_bytes,
             std::span<std::byte const> payload);

    // Sends what is queued and returns how many datagrams the kernel refused.
    std::size_t flush();

private:
    void wait();

    boost::asio::ip::udp::socket socket_;
    udp_receiver receiver_;
    udp_sender sender_;
    handler on_datagram_;
    std::function<void()> after_batch_;
    time_point drained_at_{};
    std::size_t refused_ = 0; // of batches that were sent before flush()
};

} // namespace daisytrail
