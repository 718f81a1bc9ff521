// Sends and receives control datagrams.
#include "net/control_link.hpp"

#include "net/log.hpp"
#include "rpc/control_messages.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <utility>

namespace daisytrail
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

// Size of the IPv4 and UDP headers, which count against the byte budget.
constexpr std::size_t ip_udp_header_bytes = 28;

// Minimum time between two log lines on dropped or refused datagrams.
constexpr std::chrono::seconds drop_report_interval{1};

// Maximum number of batches read before other events of the loop run. A process
// that has fallen behind may read a backlog of this size while packets wait.
constexpr int batches_per_turn = 4;

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

control_link::control_link(asio::io_context& io,
                           common_settings const& settings,
                           std::uint64_t session, metrics& counters)
    : socket_(io, udp::v4(), open_udp_socket(settings.control_)),
      receiver_(socket_.native_handle()),
      authenticator_(settings.keys_, hash_name(settings.name_), session,
                     datagram_channel::control),
      budget_(settings.control_bytes_per_second_),
      malformed_(counters.counter("daisytrail_control_malformed_total")),
      sent_bytes_(counters.counter("daisytrail_control_sent_bytes_total")),
      received_bytes_(
          counters.counter("daisytrail_control_received_bytes_total")),
      over_budget_(counters.counter("daisytrail_control_over_budget_total")),
      send_errors_(counters.counter("daisytrail_control_send_errors_total"))
{
    for (std::size_t i = 0; i < verdict_counters_.size(); ++i)
    {
        verdict_counters_[i] =
            &counters.counter("daisytrail_control_datagrams_total{verdict=\"" +
                              std::string(open_verdict_names[i]) + "\"}");
    }
    socket_.non_blocking(true);
    counters.gauge("daisytrail_receive_drops{port=\"control\"}",
                   [this] { return receive_drops(socket_.native_handle()); });
}

void control_link::start(message_handler handler)
{
    handler_ = std::move(handler);
    wait_readable();
}

void control_link::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void control_link::send(endpoint const& to, control_message const& message)
{
    send_datagram(to, authenticator_.seal(encode_control(message)),
                  send_class_of(message));
}

void control_link::send_datagram(endpoint const& to,
                                 std::span<std::byte const> datagram,
                                 send_class kind)
{
    auto const bytes = datagram.size() + ip_udp_header_bytes;
    if (!budget_.consume(bytes, kind, now()))
    {
        record_over_budget_drop(now());
        return;
    }
    boost::system::error_code code;
    socket_.send_to(asio::buffer(datagram.data(), datagram.size()),
                    udp::endpoint(asio::ip::address_v4(to.address_), to.port_),
                    0, code);
    sent_bytes_ += bytes;
    send_errors_ += code ? 1 : 0;
}

// A refused session is logged once per interval, since every datagram of it is
// refused until the session is admitted.
void control_link::log_session(opened_datagram const& opened,
                               endpoint const& from)
{
    auto const at = now();
    bool const is_refused = opened.verdict_ == open_verdict::unproven_session;
    refused_since_report_ += is_refused ? 1 : 0;
    if (is_refused && at >= refusals_reported_at_ + drop_report_interval)
    {
        refusals_reported_at_ = at;
        log_event(log_level::info, "session_challenged",
                  {{"sender", opened.sender_},
                   {"session", opened.session_},
                   {"from", to_string(from)},
                   {"refused", std::exchange(refused_since_report_, 0)}});
    }
    if (opened.admits_session_)
    {
        log_event(log_level::info, "session_admitted",
                  {{"sender", opened.sender_},
                   {"session", opened.session_},
                   {"from", to_string(from)}});
    }
}

void control_link::record_over_budget_drop(time_point at)
{
    ++over_budget_;
    ++dropped_since_report_;
    if (at >= drops_reported_at_ + drop_report_interval)
    {
        drops_reported_at_ = at;
        log_event(log_level::warning, "control_over_budget",
                  {{"dropped", std::exchange(dropped_since_report_, 0)}});
    }
}

void control_link::wait_readable()
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
                               wait_readable();
                           }
                       });
}

void control_link::read()
{
    for (int turn = 0; turn < batches_per_turn; ++turn)
    {
        auto const count = receiver_.receive();
        for (std::size_t i = 0; i < count && socket_.is_open(); ++i)
        {
            handle_datagram(receiver_.datagram(i), receiver_.sender(i));
        }
        if (count < batch_size || !socket_.is_open())
        {
            return;
        }
    }
}

void control_link::handle_datagram(std::span<std::byte const> datagram,
                                   endpoint const& from)
{
    received_bytes_ += datagram.size() + ip_udp_header_bytes;
    auto const opened = authenticator_.open(datagram, now());
    ++*verdict_counters_[static_cast<std::size_t>(opened.verdict_)];
    if (!opened.reply_.empty())
    {
        send_datagram(from, opened.reply_, send_class::urgent);
    }
    log_session(opened, from);
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
    handler_(from, opened.sender_, *message);
}

} // namespace daisytrail
