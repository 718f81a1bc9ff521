// Sender, relay and sink threads of the hop benchmark.
#include "support/relay_bench.hpp"

#include "balancer/forwarder.hpp"
#include "support/allocation_count.hpp"
#include "support/choice_digest.hpp"

#include <daisytrail/packet.hpp>

#include <atomic>
#include <chrono>
#include <poll.h>
#include <thread>
#include <time.h>
#include <unistd.h>
#include <vector>

namespace daisytrail
{

namespace
{

constexpr ipv4 loopback = 0x7F000001;
constexpr endpoint vip{0xC0000201, 80};
constexpr std::size_t flow_count = 4'096;
constexpr std::size_t target_count = 7;
constexpr int poll_milliseconds = 10;
constexpr std::chrono::milliseconds warm_up{200};

struct open_socket
{
    explicit open_socket(endpoint const& local) : fd_(open_udp_socket(local)) {}
    ~open_socket()
    {
        ::close(fd_);
    }
    open_socket(open_socket const&) = delete;
    open_socket& operator=(open_socket const&) = delete;

    int fd_;
};

double thread_cpu_seconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

// Makes an ACK segment of `bytes` in total, with the length and the header
// checksum adjusted.
std::vector<std::byte> make_packet(std::size_t flow, std::size_t bytes)
{
    std::vector<std::byte> packet(bytes);
    endpoint const caller{0x0A000000 + static_cast<ipv4>(flow), 40'000};
    write_segment(packet, {vip, caller}, 1, 1, tcp_flags::ack);
    auto const old_length = (std::to_integer<unsigned>(packet[2]) << 8U) |
                            std::to_integer<unsigned>(packet[3]);
    auto const old_sum = (std::to_integer<unsigned>(packet[10]) << 8U) |
                         std::to_integer<unsigned>(packet[11]);
    // Incremental update of the checksum for one changed word (RFC 1624).
    unsigned sum = (~old_sum & 0xFFFFU) + (~old_length & 0xFFFFU) +
                   static_cast<unsigned>(bytes);
    sum = (sum & 0xFFFFU) + (sum >> 16U);
    sum = ~((sum & 0xFFFFU) + (sum >> 16U));
    packet[2] = static_cast<std::byte>(bytes >> 8U);
    packet[3] = static_cast<std::byte>(bytes);
    packet[10] = static_cast<std::byte>(sum >> 8U);
    packet[11] = static_cast<std::byte>(sum);
    return packet;
}

void send_packets(endpoint const& to, std::size_t bytes,
                  std::atomic<bool> const& running)
{
    std::vector<std::vector<std::byte>> packets;
    for (std::size_t flow = 0; flow < flow_count; ++flow)
    {
        packets.push_back(make_packet(flow, bytes));
    }
    open_socket const socket({loopback, 0});
    udp_sender sender(socket.fd_);
    for (std::size_t next = 0; running; next = (next + 1) % flow_count)
    {
        sender.add(to, 0, packets[next]);
        if (sender.is_full())
        {
            sender.flush();
        }
    }
}

void discard_packets(open_socket const& socket,
                     std::atomic<bool> const& running)
{
    udp_receiver receiver(socket.fd_);
    while (running)
    {
        pollfd waiting{socket.fd_, POLLIN, 0};
        ::poll(&waiting, 1, poll_milliseconds);
        receiver.receive();
    }
}

// Counters of the relay's thread, read by the main thread.
struct progress
{
    std::atomic<std::uint64_t> packets_ = 0;
    std::atomic<std::uint64_t> allocations_ = 0;
    std::atomic<double> cpu_seconds_ = 0.0;
};

void run_bare(endpoint const& local, endpoint const& sink,
              std::atomic<bool> const& running, progress& done)
{
    open_socket const socket(local);
    udp_receiver receiver(socket.fd_);
    udp_sender sender(socket.fd_);
    while (running)
    {
        pollfd waiting{socket.fd_, POLLIN, 0};
        ::poll(&waiting, 1, poll_milliseconds);
        std::size_t const count = receiver.receive();
        for (std::size_t i = 0; i < count; ++i)
        {
            sender.add(sink, 0, receiver.datagram(i));
        }
        sender.flush();
        done.packets_ += count;
        done.allocations_ = thread_allocations();
        done.cpu_seconds_ = thread_cpu_seconds();
    }
}

void add_targets(fleet_view& view, endpoint const& sink)
{
    service_template service;
    service.name_ = "measured";
    service.id_ = 1;
    service.vips_ = {vip};
    view.apply(organisation_template{"org", {service}});
    for (auto const& member : make_members(target_count, {1, 4}))
    {
        target_record record;
        record.target_ = member.candidate_.target_;
        record.service_ = service.id_;
        record.version_ = {1, 1};
        record.tunnel_ = sink;
        record.weight_ = member.weight_;
        record.state_ = member_state::ready;
        view.apply(record);
    }
}

void run_forwarder(endpoint const& local, endpoint const& sink,
                   std::atomic<bool> const& running, progress& done)
{
    boost::asio::io_context io;
    metrics counters;
    fleet_view view;
    add_targets(view, sink);
    forwarder path(io, local, view, counters);
    auto const& forwarded =
        counters.counter("daisytrail_packets_forwarded_total");
    path.start();
    while (running)
    {
        io.run_one_for(std::chrono::milliseconds(poll_milliseconds));
        done.packets_ = forwarded;
        done.allocations_ = thread_allocations();
        done.cpu_seconds_ = thread_cpu_seconds();
    }
    path.stop();
}

} // namespace

relay_result run_relay(hop_kind kind, relay_setup const& setup)
{
    endpoint const local{loopback, setup.first_port_};
    endpoint const sink{loopback,
                        static_cast<std::uint16_t>(setup.first_port_ + 1)};
    auto const run = kind == hop_kind::bare ? run_bare : run_forwarder;
    std::atomic<bool> running = true;
    progress done;
    open_socket const sink_socket(sink);
    std::thread discarding([&] { discard_packets(sink_socket, running); });
    std::thread relaying([&] { run(local, sink, running, done); });
    std::thread sending([&]
                        { send_packets(local, setup.packet_bytes_, running); });
    std::this_thread::sleep_for(warm_up);
    auto const begin = std::chrono::steady_clock::now();
    auto const packets = done.packets_.load();
    auto const allocations = done.allocations_.load();
    auto const cpu = done.cpu_seconds_.load();
    std::this_thread::sleep_for(std::chrono::duration<double>(setup.seconds_));
    relay_result result;
    std::chrono::duration<double> const elapsed =
        std::chrono::steady_clock::now() - begin;
    result.packets_ = done.packets_ - packets;
    result.allocations_ = done.allocations_ - allocations;
    result.packets_per_second_ =
        static_cast<double>(result.packets_) / elapsed.count();
    result.cpu_seconds_per_packet_ =
        (done.cpu_seconds_ - cpu) / static_cast<double>(result.packets_);
    running = false;
    sending.join();
    relaying.join();
    discarding.join();
    return result;
}

} // namespace daisytrail
