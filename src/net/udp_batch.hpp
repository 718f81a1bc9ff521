// Batched UDP input and output: one system call moves up to batch_size
// datagrams. All buffers are allocated at construction.
#pragma once

#include <daisytrail/types.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <sys/uio.h>
#include <vector>

namespace daisytrail
{

inline constexpr std::size_t batch_size = 64;

// Buffer size for one datagram. Longer datagrams arrive truncated, which
// is_truncated() reports.
inline constexpr std::size_t max_datagram_bytes = 2'048;

// Buffer size in bytes that a socket requests from the kernel per direction.
inline constexpr int socket_buffer_bytes = 4 << 20;

// Reads batches of datagrams from a socket without blocking.
class udp_receiver
{
public:
    explicit udp_receiver(int socket);
    udp_receiver(udp_receiver const&) = delete;
    udp_receiver& operator=(udp_receiver const&) = delete;

    // Reads up to batch_size pending datagrams and returns their number.
    // Invalidates the spans of the previous batch.
    std::size_t receive();

    // Returns datagram `index` of the last batch, aligned to 8 bytes.
    std::span<std::byte const> datagram(std::size_t index) const;

    // Returns the same bytes for modification in place.
    std::span<std::byte> datagram(std::size_t index);

    endpoint sender(std::size_t index) const;

    bool is_truncated(std::size_t index) const
    {
        return (messages_[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
    }

private:
    int socket_;
    std::vector<std::uint64_t> storage_; // 64-bit words for alignment
    std::array<iovec, batch_size> buffers_{};
    std::array<sockaddr_in, batch_size> senders_{};
    std::array<mmsghdr, batch_size> messages_{};
};

// Collects datagrams, each of a header and a payload, and sends them in one
// batch. Payloads aren't copied and must stay valid until flush().
class udp_sender
{
public:
    static constexpr std::size_t header_capacity = 1'200;

    explicit udp_sender(int socket);
    udp_sender(udp_sender const&) = delete;
    udp_sender& operator=(udp_sender const&) = delete;

    bool is_full() const
    {
        return size_ == batch_size;
    }

    // Returns the buffer for the header of the next datagram. The batch must
    // not be full.
    std::span<std::byte> header();

    // Adds a datagram whose header was written to header().
    void add(endpoint const& to, std::size_t header_bytes,
             std::span<std::byte const> payload);

    // Sends the batch. Returns the number of datagrams that the kernel refused;
    // these are lost.
    std::size_t flush();

private:
    int socket_;
    std::size_t size_ = 0;
    std::vector<std::byte> headers_;
    std::array<std::array<iovec, 2>, batch_size> parts_{};
    std::array<sockaddr_in, batch_size> addresses_{};
    std::array<mmsghdr, batch_size> messages_{};
};

// Opens a non-blocking UDP socket with large buffers and binds it to `local`.
// Throws error(unavailable) if the address is in use.
int open_udp_socket(endpoint const& local);

// Returns the fraction of the socket's receive buffer in use, from 0 to 1.
double receive_queue_fill(int socket);

// Returns the number of datagrams that the kernel has dropped since the socket
// was opened, mostly because the receive buffer was full.
double receive_drops(int socket);

} // namespace daisytrail
