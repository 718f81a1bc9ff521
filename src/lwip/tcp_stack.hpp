// TCP in user space on lwIP's raw API, driven by an Asio event loop. lwIP's
// state is global, so a process has at most one stack.
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

// Handlers of one flow; an empty one is ignored. After on_closed_ nothing more
// is called.
struct tcp_handlers
{
    // Bytes arrived. The receive window opens only by tcp_flow::consume().
    std::function<void(std::span<std::byte const>)> on_data_;
    // The peer has sent its FIN; on_data_ isn't called again.
    std::function<void()> on_end_;
    // Bytes were acknowledged, so write() may take more.
    std::function<void()> on_writable_;
    // The flow is gone; `reset` tells an abort from an orderly close.
    std::function<void(bool reset)> on_closed_;
    // Only for connect(): the handshake has ended well.
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

    // Queues bytes that fit the send buffer and returns how many were taken.
    std::size_t write(std::span<std::byte const> bytes);

    // Opens the receive window again for bytes given to on_data_.
    void consume(std::size_t bytes);

    // Sends a FIN after the queued bytes.
    void shutdown();

    // Sends a RST.
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
    std::shared_ptr<tcp_flow> self_; // set while lwIP refers to this flow
};

class tcp_stack
{
public:
    using packet_sender = std::function<void(std::span<std::byte const>)>;
    using accept_handler = std::function<void(std::shared_ptr<tcp_flow>)>;

    // `send` gets each outgoing IPv4 packet; `mtu` bounds its bytes.
    tcp_stack(boost::asio::io_context& io, std::size_t mtu, packet_sender send);
    ~tcp_stack();
    tcp_stack(tcp_stack const&) = delete;
    tcp_stack& operator=(tcp_stack const&) = delete;

    // Handles one incoming IPv4 packet.
    void input(std::span<std::byte const> packet);

    // Accepts flows to a VIP and port; accepts nothing after unlisten().
    void listen(endpoint const& vip, accept_handler on_accept);
    void unlisten(endpoint const& vip);

    // Opens a flow from the caller's address and port; addresses that are
    // opened from are added as needed.
    std::shared_ptr<tcp_flow> connect(flow_key const& key,
                                      tcp_handlers handlers);

    // Frees the state of a flow in TIME-WAIT, so that the caller may use its
    // port again at once.
    void release_time_wait(flow_key const& key);

    // Frees all but the newest flows in TIME-WAIT.
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
