// User-space TCP on the raw API of lwIP, driven by an Asio event loop. The
// state of lwIP is global, so a process has at most one stack.
#pragma once

#include "net/periodic_timer.hpp"

#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <span>

struct netif;
struct tcp_pcb;
struct pbuf;

namespace daisytrail
{

// Event handlers of one flow. An empty handler is skipped. No handler is called
// after on_closed_.
struct tcp_handlers
{
    // Bytes have arrived. The receive window reopens only when
    // tcp_flow::consume() is called for the bytes.
    std::function<void(std::span<std::byte const>)> on_data_;
    // The FIN of the peer has arrived; on_data_ isn't called again.
    std::function<void()> on_end_;
    // The peer acknowledged bytes, so write() may accept more.
    std::function<void()> on_writable_;
    // The flow is closed. `reset` is true unless both directions ended with a
    // FIN.
    std::function<void(bool reset)> on_closed_;
    // The handshake of a flow opened by tcp_stack::connect() has succeeded.
    std::function<void()> on_connected_;
};

// One TCP flow. Operations on a closed flow do nothing.
class tcp_flow : public std::enable_shared_from_this<tcp_flow>
{
public:
    explicit tcp_flow(flow_key const& key);
    ~tcp_flow();
    tcp_flow(tcp_flow const&) = delete;
    tcp_flow& operator=(tcp_flow const&) = delete;

    void set_handlers(tcp_handlers handlers);

    // Queues as many bytes as the send buffer can hold. Returns their number.
    std::size_t write(std::span<std::byte const> bytes);

    // Reopens the receive window by this number of bytes, which must have been
    // passed to on_data_.
    void consume(std::size_t bytes);

    // Sends a FIN after the queued bytes.
    void shutdown();

    // Closes the flow with a RST.
    void abort();

    bool is_open() const
    {
        return pcb_ != nullptr;
    }

    flow_key const& key() const
    {
        return key_;
    }

private:
    friend class tcp_stack;
    friend struct tcp_callbacks;

    void attach(tcp_pcb* pcb);
    void detach();
    void close_if_done();
    void handle_closed(bool reset);

    flow_key key_;
    std::shared_ptr<tcp_handlers> handlers_; // never null
    tcp_pcb* pcb_ = nullptr;                 // null once the flow is closed
    bool sent_fin_ = false;
    bool received_fin_ = false;
    bool aborted_ = false;
    std::shared_ptr<tcp_flow> self_; // set while lwIP points to this flow
};

class tcp_stack
{
public:
    using packet_sender = std::function<void(std::span<std::byte const>)>;
    using accept_handler = std::function<void(std::shared_ptr<tcp_flow>)>;

    // `send` is called with each outgoing IPv4 packet, which has at most `mtu`
    // bytes.
    tcp_stack(boost::asio::io_context& io, std::size_t mtu, packet_sender send);
    ~tcp_stack();
    tcp_stack(tcp_stack const&) = delete;
    tcp_stack& operator=(tcp_stack const&) = delete;

    // Processes one incoming IPv4 packet.
    void input(std::span<std::byte const> packet);

    // Accepts flows to a VIP (address and port) until unlisten() is called.
    void listen(endpoint const& vip, accept_handler on_accept);
    void unlisten(endpoint const& vip);

    // Opens a flow from the address and port of the caller. Adds the address to
    // the stack if it is new. Throws error(limit_exceeded) or
    // error(unavailable).
    std::shared_ptr<tcp_flow> connect(flow_key const& key,
                                      tcp_handlers handlers);

    // Frees the state of a flow in TIME-WAIT, so that the caller can reuse its
    // port immediately.
    void release_time_wait(flow_key const& key);

    // Frees the state of all flows in TIME-WAIT except the newest `limit`.
    void trim_time_wait(std::size_t limit);

    void stop();

private:
    struct interface;
    struct listener;

    interface& add_address(ipv4 address);

    periodic_timer timer_;
    std::size_t mtu_;
    packet_sender send_;
    std::map<ipv4, std::unique_ptr<interface>> interfaces_;
    std::map<endpoint, std::unique_ptr<listener>> listeners_;
};

} // namespace daisytrail
