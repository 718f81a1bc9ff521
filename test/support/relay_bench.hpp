// Benchmark of the packets per second through one hop over loopback UDP: a bare
// relay or the balancer's forwarder, between the same sender and sink.
#pragma once

#include <cstddef>
#include <cstdint>

namespace daisytrail
{

enum class hop_kind
{
    bare,     // only recvmmsg and sendmmsg
    forwarder // the balancer's data path
};

struct relay_setup
{
    std::uint16_t first_port_ = 0; // of the relay; the sink uses the next port
    std::size_t packet_bytes_ = 0;
    double seconds_ = 0.0;
};

struct relay_result
{
    double packets_per_second_ = 0.0;     // forwarded by the relay
    double cpu_seconds_per_packet_ = 0.0; // of the relay's thread
    std::uint64_t allocations_ = 0;       // by the relay's thread while running
    std::uint64_t packets_ = 0;
};

// Runs one hop with a sender that sends as fast as it can.
relay_result run_relay(hop_kind kind, relay_setup const& setup);

} // namespace daisytrail
