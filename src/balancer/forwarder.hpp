// The data path of a balancer: bare IPv4 packets from the fabric in, tunnel
// datagrams to agents out. Allocates nothing for a forwarded packet.
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
    // Binds `local` at once. `view` is read on the event loop's thread only.
    forwarder(boost::asio::io_context& io, endpoint const& local,
              fleet_view const& view, metrics& counters);
    forwarder(forwarder const&) = delete;
    forwarder& operator=(forwarder const&) = delete;

    // Forwards until stop().
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
    std::array<looked_up_packet, batch_size> packets_; // of the last batch
    std::minstd_rand random_; // for admission only, never for the choice
    std::uint64_t& received_;
    std::uint64_t& forwarded_;
    std::uint64_t& forwarded_bytes_;
    std::uint64_t& unsent_; // datagrams that the kernel didn't take
    std::array<std::uint64_t*, static_cast<std::size_t>(drop_reason::count)>
        drops_{};
};

} // namespace daisytrail
