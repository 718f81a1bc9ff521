// Callbacks, flows and network interfaces on the raw API of lwIP.
#include "lwip/tcp_stack.hpp"

#include <daisytrail/error.hpp>

#include <lwip/init.h>
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/timeouts.h>

#include <algorithm>
#include <array>
#include <limits>
#include <random>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds timer_interval{20};
constexpr std::size_t max_write_bytes =
    std::numeric_limits<std::uint16_t>::max();
constexpr std::uint8_t listen_backlog = 255;

// Initial retransmission timeout of RFC 6298 (1 s), in ticks of the slow timer
// of lwIP. The default of lwIP is 3 s.
constexpr std::int16_t initial_rto_ticks = 1'000 / TCP_SLOW_INTERVAL;

ip4_addr_t to_lwip(ipv4 address)
{
    ip4_addr_t result;
    result.addr = lwip_htonl(address);
    return result;
}

ipv4 from_lwip(ip_addr_t const& address)
{
    return lwip_ntohl(ip_2_ip4(&address)->addr);
}

// Calls lwip_init(), which may run only once in a process. Stacks that are
// created later share its state. tcp_ticks starts at a random value, so that
// the first initial sequence number differs between processes.
void initialise_once()
{
    static bool const done = []
    {
        lwip_init();
        tcp_ticks = std::random_device{}();
        return true;
    }();
    static_cast<void>(done);
}

// Shortens the retransmission timeout of a flow that has sent only its SYN or
// SYN-ACK. The round-trip variance is set as well: lwIP initialises it to 3 s
// and lowers it by only one tick per sample.
void set_initial_timeout(tcp_pcb* pcb)
{
    if (pcb->nrtx == 0)
    {
        pcb->rto = initial_rto_ticks;
        pcb->sv = initial_rto_ticks;
    }
}

} // namespace

// Callbacks that lwIP invokes. ERR_ABRT as a result means that the callback
// aborted the pcb.
struct tcp_callbacks
{
    static tcp_flow& flow(void* argument)
    {
        return *static_cast<tcp_flow*>(argument);
    }

    static err_t callback_result(tcp_flow const& current_flow)
    {
        return current_flow.aborted_ ? ERR_ABRT : ERR_OK;
    }

    static err_t receive(void* argument, tcp_pcb*, pbuf* buffer, err_t)
    {
        auto const self = flow(argument).shared_from_this();
        auto const handlers = self->handlers_;
        if (buffer == nullptr)
        {
            self->received_fin_ = true;
            if (handlers->on_end_)
            {
                handlers->on_end_();
            }
            self->close_if_done();
            return callback_result(*self);
        }
        for (pbuf const* part = buffer; part != nullptr; part = part->next)
        {
            if (handlers->on_data_ && self->is_open())
            {
                handlers->on_data_(
                    {static_cast<std::byte const*>(part->payload), part->len});
            }
        }
        pbuf_free(buffer);
        return callback_result(*self);
    }

    static err_t sent(void* argument, tcp_pcb*, u16_t)
    {
        auto const self = flow(argument).shared_from_this();
        auto const handlers = self->handlers_;
        if (handlers->on_writable_)
        {
            handlers->on_writable_();
        }
        return callback_result(*self);
    }

    static void failed(void* argument, err_t code)
    {
        auto const self = flow(argument).shared_from_this();
        self->pcb_ = nullptr;
        self->handle_closed(code != ERR_CLSD);
    }

    static err_t connected(void* argument, tcp_pcb*, err_t)
    {
        auto const self = flow(argument).shared_from_this();
        auto const handlers = self->handlers_;
        if (handlers->on_connected_)
        {
            handlers->on_connected_();
        }
        return callback_result(*self);
    }

    static err_t accepted(void* argument, tcp_pcb* pcb, err_t code)
    {
        if (code != ERR_OK || pcb == nullptr)
        {
            return ERR_VAL;
        }
        flow_key const key{{from_lwip(pcb->remote_ip), pcb->remote_port},
                           {from_lwip(pcb->local_ip), pcb->local_port}};
        auto const new_flow = std::make_shared<tcp_flow>(key);
        new_flow->attach(pcb);
        (*static_cast<tcp_stack::accept_handler*>(argument))(new_flow);
        return callback_result(*new_flow);
    }
};

tcp_flow::tcp_flow(flow_key const& key)
    : key_(key), handlers_(std::make_shared<tcp_handlers>())
{
}

tcp_flow::~tcp_flow() = default;

void tcp_flow::set_handlers(tcp_handlers handlers)
{
    handlers_ = std::make_shared<tcp_handlers>(std::move(handlers));
}

void tcp_flow::attach(tcp_pcb* pcb)
{
    pcb_ = pcb;
    self_ = shared_from_this();
    tcp_arg(pcb, this);
    tcp_recv(pcb, tcp_callbacks::receive);
    tcp_sent(pcb, tcp_callbacks::sent);
    tcp_err(pcb, tcp_callbacks::failed);
    tcp_nagle_disable(pcb);
}

void tcp_flow::detach()
{
    if (pcb_ != nullptr)
    {
        tcp_arg(pcb_, nullptr);
        tcp_recv(pcb_, nullptr);
        tcp_sent(pcb_, nullptr);
        tcp_err(pcb_, nullptr);
        pcb_ = nullptr;
    }
}

void tcp_flow::handle_closed(bool reset)
{
    auto const self = std::exchange(self_, nullptr);
    detach();
    auto const handlers =
        std::exchange(handlers_, std::make_shared<tcp_handlers>());
    if (handlers->on_closed_)
    {
        handlers->on_closed_(reset);
    }
}

void tcp_flow::close_if_done()
{
    if (pcb_ == nullptr || !sent_fin_ || !received_fin_)
    {
        return;
    }
    // In the state LAST_ACK, lwIP reports the end of the flow to the callback
    // that was set by tcp_err().
    if (pcb_->state == TIME_WAIT || pcb_->state == CLOSING)
    {
        handle_closed(false);
    }
}

std::size_t tcp_flow::write(std::span<std::byte const> bytes)
{
    if (pcb_ == nullptr || sent_fin_)
    {
        return 0;
    }
    std::size_t const capacity =
        std::min<std::size_t>(tcp_sndbuf(pcb_), max_write_bytes);
    auto const count = static_cast<u16_t>(std::min(bytes.size(), capacity));
    if (count == 0 ||
        tcp_write(pcb_, bytes.data(), count, TCP_WRITE_FLAG_COPY) != ERR_OK)
    {
        return 0;
    }
    tcp_output(pcb_);
    return count;
}

void tcp_flow::consume(std::size_t bytes)
{
    while (pcb_ != nullptr && bytes > 0)
    {
        auto const count = static_cast<u16_t>(std::min(bytes, max_write_bytes));
        tcp_recved(pcb_, count);
        bytes -= count;
    }
}

void tcp_flow::shutdown()
{
    if (pcb_ == nullptr || sent_fin_)
    {
        return;
    }
    sent_fin_ = true;
    if (tcp_shutdown(pcb_, 0, 1) != ERR_OK)
    {
        abort();
        return;
    }
    close_if_done();
}

void tcp_flow::abort()
{
    if (pcb_ == nullptr)
    {
        return;
    }
    auto* const pcb = pcb_;
    auto const self = shared_from_this();
    aborted_ = true;
    detach();
    tcp_abort(pcb);
    handle_closed(true);
}

struct tcp_stack::interface
{
    netif netif_{};
};

struct tcp_stack::listener
{
    tcp_pcb* pcb_ = nullptr;
    accept_handler on_accept_;
};

tcp_stack::tcp_stack(boost::asio::io_context& io, std::size_t mtu,
                     packet_sender send)
    : timer_(io, timer_interval, [] { sys_check_timeouts(); }), mtu_(mtu),
      send_(std::move(send))
{
    initialise_once();
    timer_.start();
}

tcp_stack::~tcp_stack()
{
    while (!listeners_.empty())
    {
        unlisten(listeners_.begin()->first);
    }
    for (auto& [address, entry] : interfaces_)
    {
        netif_remove(&entry->netif_);
    }
}

void tcp_stack::release_time_wait(flow_key const& key)
{
    for (auto* pcb = tcp_tw_pcbs; pcb != nullptr; pcb = pcb->next)
    {
        if (pcb->remote_port == key.caller_.port_ &&
            pcb->local_port == key.vip_.port_ &&
            from_lwip(pcb->remote_ip) == key.caller_.address_ &&
            from_lwip(pcb->local_ip) == key.vip_.address_)
        {
            tcp_abort(pcb); // sends no packet in TIME-WAIT
            return;
        }
    }
}

void tcp_stack::trim_time_wait(std::size_t limit)
{
    auto* pcb = tcp_tw_pcbs; // newest first
    for (std::size_t kept_count = 0; pcb != nullptr && kept_count < limit;
         ++kept_count)
    {
        pcb = pcb->next;
    }
    while (pcb != nullptr)
    {
        auto* const next = pcb->next;
        tcp_abort(pcb);
        pcb = next;
    }
}

void tcp_stack::stop()
{
    timer_.stop();
}

tcp_stack::interface& tcp_stack::add_address(ipv4 address)
{
    auto& entry = interfaces_[address];
    if (entry)
    {
        return *entry;
    }
    entry = std::make_unique<interface>();
    auto const ip = to_lwip(address);
    auto const mask = to_lwip(0xFFFFFFFF);
    auto const gateway = to_lwip(0);
    auto const initialise = [](netif* added) -> err_t
    {
        auto const* stack = static_cast<tcp_stack*>(added->state);
        added->mtu = static_cast<u16_t>(stack->mtu_);
        added->name[0] = 'd';
        added->name[1] = 't';
        added->output = [](netif* network_interface, pbuf* buffer,
                           ip4_addr_t const*) -> err_t
        {
            auto const* sender =
                static_cast<tcp_stack*>(network_interface->state);
            // LWIP_NETIF_TX_SINGLE_PBUF is set, so the packet is contiguous.
            sender->send_(
                {static_cast<std::byte const*>(buffer->payload), buffer->len});
            return ERR_OK;
        };
        return ERR_OK;
    };
    netif_add(&entry->netif_, &ip, &mask, &gateway, this, initialise, ip_input);
    netif_set_up(&entry->netif_);
    netif_set_link_up(&entry->netif_);
    // All interfaces send through send_, so any of them can be the default.
    netif_set_default(&entry->netif_);
    return *entry;
}

void tcp_stack::input(std::span<std::byte const> packet)
{
    constexpr std::size_t destination_offset = 16;
    constexpr std::size_t header_bytes = 20;
    if (packet.size() < header_bytes)
    {
        return;
    }
    ipv4 destination = 0;
    for (std::size_t i = 0; i < 4; ++i)
    {
        destination = (destination << 8U) |
                      std::to_integer<ipv4>(packet[destination_offset + i]);
    }
    // Drops packets to unknown addresses, because lwIP would forward them.
    auto const entry = interfaces_.find(destination);
    if (entry == interfaces_.end())
    {
        return;
    }
    auto* const buffer =
        pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
    if (buffer == nullptr)
    {
        return;
    }
    pbuf_take(buffer, packet.data(), static_cast<u16_t>(packet.size()));
    auto& network_interface = entry->second->netif_;
    if (network_interface.input(buffer, &network_interface) != ERR_OK)
    {
        pbuf_free(buffer);
    }
    // lwIP has no callback for a new half-open flow, but inserts the flow at
    // the head of its list.
    if (tcp_active_pcbs != nullptr && tcp_active_pcbs->state == SYN_RCVD)
    {
        set_initial_timeout(tcp_active_pcbs);
    }
}

void tcp_stack::listen(endpoint const& vip, accept_handler on_accept)
{
    auto& entry = listeners_[vip];
    if (entry)
    {
        entry->on_accept_ = std::move(on_accept);
        return;
    }
    add_address(vip.address_);
    entry = std::make_unique<listener>();
    entry->on_accept_ = std::move(on_accept);
    auto* const pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    ip_addr_t address = IPADDR4_INIT(lwip_htonl(vip.address_));
    if (pcb == nullptr || tcp_bind(pcb, &address, vip.port_) != ERR_OK)
    {
        listeners_.erase(vip);
        throw error(error_kind::unavailable,
                    "can't listen on VIP " + to_string(vip));
    }
    entry->pcb_ = tcp_listen_with_backlog(pcb, listen_backlog);
    tcp_arg(entry->pcb_, &entry->on_accept_);
    tcp_accept(entry->pcb_, tcp_callbacks::accepted);
}

void tcp_stack::unlisten(endpoint const& vip)
{
    auto const entry = listeners_.find(vip);
    if (entry != listeners_.end())
    {
        tcp_close(entry->second->pcb_);
        listeners_.erase(entry);
    }
}

std::shared_ptr<tcp_flow> tcp_stack::connect(flow_key const& key,
                                             tcp_handlers handlers)
{
    add_address(key.caller_.address_);
    auto new_flow = std::make_shared<tcp_flow>(key);
    new_flow->set_handlers(std::move(handlers));
    auto* const pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    if (pcb == nullptr)
    {
        throw error(error_kind::limit_exceeded,
                    "lwIP has no memory for another TCP flow");
    }
    new_flow->attach(pcb);
    ip_addr_t local = IPADDR4_INIT(lwip_htonl(key.caller_.address_));
    ip_addr_t remote = IPADDR4_INIT(lwip_htonl(key.vip_.address_));
    if (tcp_bind(pcb, &local, key.caller_.port_) != ERR_OK ||
        tcp_connect(pcb, &remote, key.vip_.port_, tcp_callbacks::connected) !=
            ERR_OK)
    {
        new_flow->abort();
        throw error(error_kind::unavailable, "can't open a TCP flow from " +
                                                 to_string(key.caller_) +
                                                 " to " + to_string(key.vip_));
    }
    set_initial_timeout(pcb);
    return new_flow;
}

} // namespace daisytrail
