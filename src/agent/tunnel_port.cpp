// Reading and writing of the tunnel socket.
#include "agent/tunnel_port.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// Batches read before other events of the loop get a turn.
constexpr int max_batches_a_turn = 8;

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
    wait();
}

void tunnel_port::stop()
{
    flush();
    socket_.cancel();
}

void tunnel_port::wait()
{
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code code)
                       {
                           if (!code)
                           {
                               read_batches();
                               wait();
                           }
                       });
}

void tunnel_port::read_batches()
{
    for (int turn = 0; turn < max_batches_a_turn; ++turn)
    {
        auto const count = receiver_.receive();
        for (std::size_t i = 0; i < count; ++i)
        {
            if (receiver_.is_truncated(i))
            {
                ++lost_;
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
        ++lost_;
        return;
    }
    if (sender_.is_full())
    {
        flush();
    }
    std::ranges::copy(header, sender_.header().begin());
    auto const place = std::span(payloads_).subspan(
        queued_ * max_datagram_bytes, payload.size());
    std::ranges::copy(payload, place.begin());
    sender_.add(to, header.size(), place);
    ++queued_;
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
    if (queued_ > 0)
    {
        lost_ += sender_.flush();
        queued_ = 0;
    }
}

} // namespace daisytrail
