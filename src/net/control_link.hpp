// UDP socket of the control plane. Encodes and authenticates messages and
// limits the bytes sent per second.
#pragma once

#include "net/metrics.hpp"
#include "net/udp_batch.hpp"
#include "rpc/authenticator.hpp"

#include <daisytrail/byte_budget.hpp>
#include <daisytrail/control_messages.hpp>
#include <daisytrail/settings.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <span>

namespace daisytrail
{

class control_link
{
public:
    using message_handler = std::function<void(
        endpoint const& from, std::uint64_t sender, control_message const&)>;

    // Binds the socket. Throws error(unavailable) if the address is in use.
    // `session` identifies this run of the process; see make_session().
    control_link(boost::asio::io_context& io, common_settings const& settings,
                 std::uint64_t session, metrics& counters);

    void start(message_handler handler);
    void stop();

    // Sends a message. Drops and counts it if the byte budget is exhausted.
    void send(endpoint const& to, control_message const& message);

private:
    void wait_readable();
    void read();
    void handle_datagram(std::span<std::byte const> datagram,
                         endpoint const& from);
    void send_datagram(endpoint const& to, std::span<std::byte const> datagram,
                       send_class kind);
    void record_over_budget_drop(time_point at);
    void log_session(opened_datagram const& opened, endpoint const& from);

    boost::asio::ip::udp::socket socket_;
    udp_receiver receiver_;
    authenticator authenticator_;
    byte_budget budget_;
    message_handler handler_;
    std::array<std::uint64_t*, static_cast<std::size_t>(open_verdict::count)>
        verdict_counters_{};
    std::uint64_t& malformed_;
    std::uint64_t& sent_bytes_;
    std::uint64_t& received_bytes_;
    std::uint64_t& over_budget_;
    std::uint64_t& send_errors_;
    std::uint64_t dropped_since_report_ = 0; // datagrams over the budget
    time_point drops_reported_at_{};
    std::uint64_t refused_since_report_ = 0; // datagrams of unproven sessions
    time_point refusals_reported_at_{};
};

} // namespace daisytrail
