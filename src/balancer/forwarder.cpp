// Receives, dispatches and sends packets in batches.
#include "balancer/forwarder.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <string>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;

// Maximum number of batches that are forwarded before the event loop handles
// other events.
constexpr int max_batches_per_wakeup = 8;

asio::ip::udp::socket open_socket(asio::io_context& io, endpoint const& local)
{
    return {io, asio::ip::udp::v4(), open_udp_socket(local)};
}

} // namespace

forwarder::forwarder(asio::io_context& io, endpoint const& local,
                     fleet_view const& view, metrics& counters)
    : view_(view), socket_(open_socket(io, local)),
      receiver_(socket_.native_handle()), sender_(socket_.native_handle()),
      random_(std::random_device{}()),
      received_packets_(counters.counter("daisytrail_packets_received_total")),
      forwarded_packets_(
          counters.counter("daisytrail_packets_forwarded_total")),
      forwarded_bytes_(counters.counter("daisytrail_bytes_forwarded_total")),
      unsent_packets_(counters.counter("daisytrail_packets_refused_total"))
{
    for (std::size_t i = 1; i < drop_counters_.size(); ++i)
    {
        drop_counters_[i] =
            &counters.counter("daisytrail_drops_total{kind=\"" +
                              std::string(drop_reason_names[i]) + "\"}");
    }
}

void forwarder::start()
{
    wait_for_packets();
}

void forwarder::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void forwarder::wait_for_packets()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code code)
                       {
                           if (!code)
                           {
                               forward_queued_packets();
                               wait_for_packets();
                           }
                       });
}

void forwarder::forward_queued_packets()
{
    for (int batch = 0; batch < max_batches_per_wakeup; ++batch)
    {
        std::size_t const count = receiver_.receive();
        forward_batch(count);
        if (count < batch_size)
        {
            return;
        }
    }
}

void forwarder::forward_batch(std::size_t count)
{
    // A batch that isn't full has emptied the receive queue.
    double const queue_fill =
        count < batch_size ? 0.0 : receive_queue_fill(socket_.native_handle());
    received_packets_ += count;
    look_up_batch(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        forward(i, queue_fill);
    }
    unsent_packets_ += sender_.flush();
}

void forwarder::look_up_batch(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        packets_[i] = receiver_.is_truncated(i)
                          ? looked_up_packet{drop_reason::bad_length, {}, {}}
                          : look_up_packet(view_, receiver_.datagram(i));
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        prefetch(packets_[i]);
    }
}

void forwarder::forward(std::size_t index, double queue_fill)
{
    auto const random = static_cast<std::uint32_t>(random_()) << 1U;
    auto const action = dispatch_packet(packets_[index], {queue_fill, random});
    if (action.drop_ != drop_reason::none)
    {
        drop(action.drop_);
        return;
    }
    auto const packet = receiver_.datagram(index);
    std::size_t const header_bytes =
        encode_tunnel_header(action.header_, sender_.header());
    sender_.add(action.to_, header_bytes, packet);
    ++forwarded_packets_;
    forwarded_bytes_ += packet.size();
}

void forwarder::drop(drop_reason reason)
{
    ++*drop_counters_[static_cast<std::size_t>(reason)];
}

} // namespace daisytrail
