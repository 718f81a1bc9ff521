// Batched UDP input and output with recvmmsg and sendmmsg on preallocated
// buffers.
#include "net/udp_batch.hpp"

#include <daisytrail/error.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <linux/sock_diag.h>
#include <string>
#include <unistd.h>

// Supported by Linux since 4.11; older C libraries don't define the name.
#ifndef SO_MEMINFO
// NOLINTNEXTLINE(readability-identifier-naming): the kernel's name
#define SO_MEMINFO 55
#endif

namespace daisytrail
{

namespace
{

constexpr std::size_t datagram_words =
    max_datagram_bytes / sizeof(std::uint64_t);

sockaddr_in to_sockaddr(endpoint const& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.address_);
    result.sin_port = htons(address.port_);
    return result;
}

using socket_usage = std::array<std::uint32_t, SK_MEMINFO_VARS>;

// Returns the memory usage of a socket, or zeros if the kernel doesn't report
// it.
socket_usage read_usage(int socket)
{
    socket_usage usage{};
    socklen_t size = sizeof(usage);
    ::getsockopt(socket, SOL_SOCKET, SO_MEMINFO, usage.data(), &size);
    return usage;
}

} // namespace

udp_receiver::udp_receiver(int socket)
    : socket_(socket), storage_(batch_size * datagram_words)
{
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        buffers_[i] = {&storage_[i * datagram_words], max_datagram_bytes};
        messages_[i].msg_hdr.msg_iov = &buffers_[i];
        messages_[i].msg_hdr.msg_iovlen = 1;
        messages_[i].msg_hdr.msg_name = &senders_[i];
    }
}

std::size_t udp_receiver::receive()
{
    for (auto& message : messages_)
    {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    int const count = ::recvmmsg(socket_, messages_.data(), batch_size,
                                 MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::span<std::byte const> udp_receiver::datagram(std::size_t index) const
{
    return {static_cast<std::byte const*>(buffers_[index].iov_base),
            messages_[index].msg_len};
}

std::span<std::byte> udp_receiver::datagram(std::size_t index)
{
    return {static_cast<std::byte*>(buffers_[index].iov_base),
            messages_[index].msg_len};
}

endpoint udp_receiver::sender(std::size_t index) const
{
    auto const& from = senders_[index];
    return {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
}

udp_sender::udp_sender(int socket)
    : socket_(socket), headers_(batch_size * header_capacity)
{
    for (std::size_t i = 0; i < batch_size; ++i)
    {
        parts_[i][0].iov_base = &headers_[i * header_capacity];
        auto& header = messages_[i].msg_hdr;
        header.msg_name = &addresses_[i];
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_iov = parts_[i].data();
        header.msg_iovlen = parts_[i].size();
    }
}

std::span<std::byte> udp_sender::header()
{
    return std::span(headers_).subspan(size_ * header_capacity,
                                       header_capacity);
}

void udp_sender::add(endpoint const& to, std::size_t header_bytes,
                     std::span<std::byte const> payload)
{
    addresses_[size_] = to_sockaddr(to);
    parts_[size_][0].iov_len = header_bytes;
    // iovec is used for input too and so holds a pointer to non-const.
    parts_[size_][1].iov_base = const_cast<std::byte*>(payload.data());
    parts_[size_][1].iov_len = payload.size();
    ++size_;
}

std::size_t udp_sender::flush()
{
    std::size_t refused = 0;
    std::size_t processed = 0;
    while (processed < size_)
    {
        int const sent =
            ::sendmmsg(socket_, &messages_[processed],
                       static_cast<unsigned>(size_ - processed), MSG_DONTWAIT);
        if (sent > 0)
        {
            processed += static_cast<std::size_t>(sent);
        }
        else if (errno != EINTR)
        {
            // The error is that of the first unsent datagram; skip it.
            ++refused;
            ++processed;
        }
    }
    size_ = 0;
    return refused;
}

int open_udp_socket(endpoint const& local)
{
    int const socket =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
    {
        throw error(error_kind::unavailable,
                    std::string("can't create a UDP socket: ") +
                        std::strerror(errno));
    }
    // The kernel caps both sizes at its limits. Smaller buffers aren't an
    // error.
    for (int const option : {SO_RCVBUF, SO_SNDBUF})
    {
        ::setsockopt(socket, SOL_SOCKET, option, &socket_buffer_bytes,
                     sizeof(socket_buffer_bytes));
    }
    auto const address = to_sockaddr(local);
    if (::bind(socket, reinterpret_cast<sockaddr const*>(&address),
               sizeof(address)) != 0)
    {
        int const code = errno;
        ::close(socket);
        throw error(error_kind::unavailable, "can't bind a UDP socket to " +
                                                 to_string(local) + ": " +
                                                 std::strerror(code));
    }
    return socket;
}

double receive_queue_fill(int socket)
{
    auto const usage = read_usage(socket);
    if (usage[SK_MEMINFO_RCVBUF] == 0)
    {
        return 0.0;
    }
    double const fill = static_cast<double>(usage[SK_MEMINFO_RMEM_ALLOC]) /
                        usage[SK_MEMINFO_RCVBUF];
    return std::min(fill, 1.0);
}

double receive_drops(int socket)
{
    return read_usage(socket)[SK_MEMINFO_DROPS];
}

} // namespace daisytrail
