// The data path of a balancer. Receives bare IPv4 packets from the fabric and
// sends them to agents as tunnel datagrams. Forwarding a packet allocates no
// memory.
#pragma once

#include "net/metrics.hpp"
#include "net/udp_batch.hpp"

#include <daisytrail/dispatch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <random>

namespace daisytrail
{

class forwarder
{
public:
    // Binds a socket to `local`. `view` is read only on the thread of the event
    // loop.
    forwarder(boost::asio::io_context& io, endpoint const& local,
              fleet_view const& view, metrics& counters);
    forwarder(forwarder const&) = delete;
    forwarder& operator=(forwarder const&) = delete;

    // Forwards packets until stop() is called.
    void start();
    void stop();

private:
    void wait_for_packets();
    void forward_queued_packets();
    void forward_batch(std::size_t count);
    void look_up_batch(std::size_t count);
    void forward(std::size_t index, double queue_fill);
    void drop(drop_reason reason);

    fleet_view const& view_;
    boost::asio::ip::udp::socket socket_;
    udp_receiver receiver_;
    udp_sender sender_;
    std::array<looked_up_packet, batch_size> packets_; // current batch
    std::minstd_rand random_; // for admission control, not target selection
    std::uint64_t& received_packets_;
    std::uint64_t& forwarded_packets_;
    std::uint64_t& forwarded_bytes_;
    std::uint64_t& unsent_packets_; // refused by the kernel
    std::array<std::uint64_t*, static_cast<std::size_t>(drop_reason::count)>
        drop_counters_{};
};

} // namespace daisytrail
