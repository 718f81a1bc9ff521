// Batched reads and writes on the tunnel socket.
#include "agent/tunnel_port.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// Maximum number of batches that are read before the event loop handles other
// events.
constexpr int max_batches_per_wakeup = 8;

} // namespace

tunnel_port::tunnel_port(boost::asio::io_context& io, endpoint const& local,
                         datagram_handler handler)
    : io_(io), socket_(io, boost::asio::ip::udp::v4(), open_udp_socket(local)),
      handler_(std::move(handler)), receiver_(socket_.native_handle()),
      sender_(socket_.native_handle()),
      payloads_(batch_size * max_datagram_bytes)
{
}

void tunnel_port::start()
{
    wait_for_datagrams();
}

void tunnel_port::stop()
{
    flush();
    socket_.cancel();
}

void tunnel_port::wait_for_datagrams()
{
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code code)
                       {
                           if (!code)
                           {
                               read_batches();
                               wait_for_datagrams();
                           }
                       });
}

void tunnel_port::read_batches()
{
    for (int batch = 0; batch < max_batches_per_wakeup; ++batch)
    {
        auto const count = receiver_.receive();
        for (std::size_t i = 0; i < count; ++i)
        {
            if (receiver_.is_truncated(i))
            {
                ++lost_datagrams_;
                continue;
            }
            handler_(receiver_.datagram(i));
        }
        if (count < batch_size)
        {
            break;
        }
    }
    flush();
}

void tunnel_port::send(endpoint const& to, std::span<std::byte const> header,
                       std::span<std::byte const> payload)
{
    if (header.size() > udp_sender::header_capacity ||
        payload.size() > max_datagram_bytes)
    {
        ++lost_datagrams_;
        return;
    }
    if (sender_.is_full())
    {
        flush();
    }
    std::ranges::copy(header, sender_.header().begin());
    auto const slot = std::span(payloads_).subspan(
        queued_count_ * max_datagram_bytes, payload.size());
    std::ranges::copy(payload, slot.begin());
    sender_.add(to, header.size(), slot);
    ++queued_count_;
    schedule_flush();
}

void tunnel_port::schedule_flush()
{
    if (flush_scheduled_)
    {
        return;
    }
    flush_scheduled_ = true;
    boost::asio::post(io_,
                      [this]
                      {
                          flush_scheduled_ = false;
                          flush();
                      });
}

void tunnel_port::flush()
{
    if (queued_count_ > 0)
    {
        lost_datagrams_ += sender_.flush();
        queued_count_ = 0;
    }
}

} // namespace daisytrail
