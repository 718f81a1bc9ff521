// Sending and receiving of control datagrams.
#include "net/control_link.hpp"

#include "net/log.hpp"
#include "rpc/control_messages.hpp"

#include <daisytrail/error.hpp>

#include <boost/asio/ip/address_v4.hpp>

#include <utility>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

// IPv4 and UDP headers count against the budget too.
constexpr std::size_t header_bytes = 28;

constexpr std::chrono::seconds report_interval{1}; // of dropped datagrams

// Datagrams read before other events of the loop get a turn.
constexpr int datagrams_per_turn = 64;

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

control_link::control_link(asio::io_context& io,
                           common_settings const& settings,
                           std::uint64_t session, metrics& counters)
    : socket_(io), authenticator_(settings.keys_, hash_name(settings.name_),
                                  session, datagram_channel::control),
      budget_(settings.control_bytes_per_second_),
      malformed_(counters.counter("daisytrail_control_malformed_total")),
      sent_bytes_(counters.counter("daisytrail_control_sent_bytes_total")),
      received_bytes_(
          counters.counter("daisytrail_control_received_bytes_total")),
      over_budget_(counters.counter("daisytrail_control_over_budget_total")),
      send_errors_(counters.counter("daisytrail_control_send_errors_total"))
{
    for (std::size_t i = 0; i < verdicts_.size(); ++i)
    {
        verdicts_[i] =
            &counters.counter("daisytrail_control_datagrams_total{verdict=\"" +
                              std::string(open_verdict_names[i]) + "\"}");
    }
    udp::endpoint const local(asio::ip::address_v4(settings.control_.address_),
                              settings.control_.port_);
    boost::system::error_code code;
    socket_.open(udp::v4());
    socket_.bind(local, code);
    if (code)
    {
        throw error(error_kind::unavailable,
                    "can't take control datagrams on " +
                        to_string(settings.control_) + ": " + code.message());
    }
    socket_.non_blocking(true);
}

void control_link::start(receiver handler)
{
    handler_ = std::move(handler);
    wait();
}

void control_link::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void control_link::send(endpoint const& to, control_message const& message)
{
    auto const datagram = authenticator_.seal(encode_control(message));
    auto const bytes = datagram.size() + header_bytes;
    if (!budget_.take(bytes, class_of(message), now()))
    {
        drop_over_budget(now());
        return;
    }
    boost::system::error_code code;
    socket_.send_to(asio::buffer(datagram),
                    udp::endpoint(asio::ip::address_v4(to.address_), to.port_),
                    0, code);
    sent_bytes_ += bytes;
    send_errors_ += code ? 1 : 0;
}

void control_link::drop_over_budget(time_point at)
{
    ++over_budget_;
    ++dropped_;
    if (at >= drops_reported_ + report_interval)
    {
        drops_reported_ = at;
        log_event(log_level::warning, "control_over_budget",
                  {{"dropped", std::exchange(dropped_, 0)}});
    }
}

void control_link::wait()
{
    socket_.async_wait(udp::socket::wait_read,
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

// Load pattern: packets take up to 512 datagrams of each data socket in one
// turn of the loop, so news must not take one turn each.
void control_link::read()
{
    for (int i = 0; i < datagrams_per_turn && socket_.is_open(); ++i)
    {
        boost::system::error_code code;
        auto const bytes =
            socket_.receive_from(asio::buffer(buffer_), from_, 0, code);
        if (code == asio::error::would_block)
        {
            return;
        }
        // A refused datagram of an earlier send is reported here.
        if (!code)
        {
            take(bytes);
        }
    }
}

void control_link::take(std::size_t bytes)
{
    received_bytes_ += bytes + header_bytes;
    auto const opened =
        authenticator_.open(std::span(buffer_).first(bytes), now());
    ++*verdicts_[static_cast<std::size_t>(opened.verdict_)];
    if (opened.verdict_ != open_verdict::accepted)
    {
        return;
    }
    auto const message = decode_control(opened.payload_);
    if (!message)
    {
        ++malformed_;
        return;
    }
    handler_({from_.address().to_v4().to_uint(), from_.port()}, opened.sender_,
             *message);
}

} // namespace daisytrail
