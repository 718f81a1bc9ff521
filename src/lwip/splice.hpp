// Copies bytes in both directions between a TCP flow in user space and a kernel
// socket. Propagates backpressure, half-close and reset.
#pragma once

#include "lwip/tcp_stack.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace daisytrail
{

// The way in which a splice ended.
enum class splice_outcome
{
    complete,     // both directions have ended with a FIN
    flow_reset,   // the flow was reset or lost
    socket_reset, // the socket was reset or lost
    aborted       // abort() was called
};

// Byte counts of one splice.
struct splice_bytes
{
    std::uint64_t from_flow_ = 0;
    std::uint64_t from_socket_ = 0;
};

// Both the flow and the socket must be connected. The splice keeps itself alive
// until it has ended:
//   auto copy = std::make_shared<splice>(flow, std::move(socket), on_end);
//   copy->start();
class splice : public std::enable_shared_from_this<splice>
{
public:
    using end_handler =
        std::function<void(splice_outcome, splice_bytes const&)>;

    splice(std::shared_ptr<tcp_flow> flow, boost::asio::ip::tcp::socket socket,
           end_handler on_end);

    // `early_data` are bytes of the flow that arrived before the splice started
    // and have not been consumed yet. `flow_ended` is true if the FIN of the
    // flow has arrived as well.
    void start(std::span<std::byte const> early_data = {},
               bool flow_ended = false);

    // Resets the flow and the socket.
    void abort();

    std::shared_ptr<tcp_flow> const& flow() const
    {
        return flow_;
    }

private:
    static constexpr std::size_t read_bytes = 32'768;

    void on_flow_data(std::span<std::byte const> bytes);
    void write_socket();
    void read_socket();
    void write_flow();
    void finish_if_complete();
    void finish(splice_outcome outcome);

    std::shared_ptr<tcp_flow> flow_;
    boost::asio::ip::tcp::socket socket_;
    end_handler on_end_; // empty once called
    splice_bytes bytes_;

    // Flow to socket: queued_ collects bytes while write_buffer_ is written.
    std::vector<std::byte> queued_;
    std::vector<std::byte> write_buffer_;
    bool is_writing_ = false;
    bool flow_ended_ = false;       // the flow's FIN has arrived
    bool socket_shut_down_ = false; // a FIN was sent on the socket

    // Socket to flow: pending_ is the part of buffer_ that the flow hasn't
    // accepted yet.
    std::array<std::byte, read_bytes> buffer_{};
    std::span<std::byte const> pending_;
    bool socket_ended_ = false; // end of file was read; the flow is shut down
};

} // namespace daisytrail
