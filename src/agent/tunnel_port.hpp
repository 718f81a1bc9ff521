// The agent's UDP socket for tunnelled packets and flow messages. Receives and
// sends datagrams in batches, each with one system call.
#pragma once

#include "net/udp_batch.hpp"

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace daisytrail
{

class tunnel_port
{
public:
    using datagram_handler = std::function<void(std::span<std::byte const>)>;

    // Each datagram that is passed to the handler starts 8-byte aligned.
    tunnel_port(boost::asio::io_context& io, endpoint const& local,
                datagram_handler handler);

    void start();
    void stop();

    // Queues a copy of the datagram. The copy is sent when the current event
    // handler has returned, or earlier if a batch is full.
    void send(endpoint const& to, std::span<std::byte const> header,
              std::span<std::byte const> payload);

    // Number of datagrams lost in either direction because the kernel refused
    // to send them or because they were too long.
    std::uint64_t lost_datagrams() const
    {
        return lost_datagrams_;
    }

private:
    void wait_for_datagrams();
    void read_batches();
    void schedule_flush();
    void flush();

    boost::asio::io_context& io_;
    boost::asio::ip::udp::socket socket_;
    datagram_handler handler_;
    udp_receiver receiver_;
    udp_sender sender_;
    std::vector<std::byte> payloads_; // one slot for each queued datagram
    std::size_t queued_count_ = 0;
    bool flush_scheduled_ = false;
    std::uint64_t lost_datagrams_ = 0;
};

} // namespace daisytrail
