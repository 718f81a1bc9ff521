// Batched UDP receive and send on the event loop.
#include "forward/datagram_port.hpp"

#include <utility>

namespace daisytrail
{

namespace asio = boost::asio;

datagram_port::datagram_port(asio::io_context& io, endpoint const& local)
    : socket_(io, asio::ip::udp::v4(), open_udp_socket(local)),
      receiver_(socket_.native_handle()), sender_(socket_.native_handle())
{
}

void datagram_port::start(handler on_datagram,
                          std::function<void()> after_batch)
{
    on_datagram_ = std::move(on_datagram);
    after_batch_ = std::move(after_batch);
    wait();
}

void datagram_port::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void datagram_port::wait()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code code)
                       {
                           if (code || !socket_.is_open())
                           {
                               return;
                           }
                           read();
                           if (socket_.is_open())
                           {
                               wait();
                           }
                       });
}

// Reads one batch per turn of the event loop, so that a packet burst doesn't
// delay timers and control messages.
void datagram_port::read()
{
    auto const started_at = std::chrono::steady_clock::now();
    auto const count = receiver_.receive();
    for (std::size_t i = 0; i < count; ++i)
    {
        if (!receiver_.is_truncated(i))
        {
            on_datagram_(receiver_.datagram(i), receiver_.sender(i));
        }
    }
    if (count < batch_size)
    {
        drained_at_ = started_at;
    }
    after_batch_();
}

void datagram_port::add_drop_gauge(metrics& counters, std::string const& port)
{
    counters.gauge("daisytrail_receive_drops{port=\"" + port + "\"}",
                   [this] { return receive_drops(socket_.native_handle()); });
}

std::span<std::byte> datagram_port::next_head()
{
    if (sender_.is_full())
    {
        refused_ += sender_.flush();
    }
    return sender_.header();
}

void datagram_port::add(endpoint const& to, std::size_t head_bytes,
                        std::span<std::byte const> payload)
{
    sender_.add(to, head_bytes, payload);
}

std::size_t datagram_port::flush()
{
    return std::exchange(refused_, 0) + sender_.flush();
}

} // namespace daisytrail
