// The data path of an agent. Receives tunnelled packets, applies the decisions
// of the flow table and sends the packets of the TCP stack to the fabric.
#pragma once

#include "agent/flow_messages.hpp"
#include "agent/tunnel_port.hpp"
#include "lwip/tcp_stack.hpp"
#include "net/metrics.hpp"
#include "net/periodic_timer.hpp"
#include "rpc/authenticator.hpp"

#include <daisytrail/flows.hpp>
#include <daisytrail/settings.hpp>
#include <daisytrail/view.hpp>

#include <boost/json/object.hpp>

#include <array>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace daisytrail
{

class data_path
{
public:
    using accept_handler = std::function<void(std::shared_ptr<tcp_flow>)>;

    data_path(boost::asio::io_context& io, agent_settings const& settings,
              incarnation start_incarnation, metrics& metrics,
              accept_handler on_accept);

    void start();
    void stop();

    // Sets the VIPs and limits of this agent's service.
    void set_service(service_template const& service);

    // Sets the records of the targets of this agent's service.
    void set_view(std::span<target_record const> records);

    // Raises the highest accepted incarnation. Packets that are addressed to
    // any incarnation since the start of the process are accepted.
    void set_incarnation(incarnation current);

    // Resets all accepted flows.
    void abort_flows();

    std::size_t open_flows() const
    {
        return table_.open_flows();
    }

    // Returns flow counts and the first accepted flows, for the route /flows.
    boost::json::object describe() const;

private:
    using drop_counters =
        std::array<std::uint64_t*,
                   static_cast<std::size_t>(drop_reason::count)>;

    static drop_counters make_drop_counters(metrics& metrics);

    void on_datagram(std::span<std::byte const> datagram);
    void on_flow_message(std::span<std::byte const> datagram);
    drop_reason handle_packet(std::span<std::byte const> datagram);
    drop_reason check_header(tunnel_header const& header) const;
    drop_reason apply_decision(flow_decision const& decision,
                               packet_info const& info,
                               std::span<std::byte const> packet);
    void deliver(packet_info const& info, std::span<std::byte const> packet);
    void forward_packet(flow_decision const& decision,
                        std::span<std::byte const> packet);
    void send_to_fabric(std::span<std::byte const> packet);
    void send_message(endpoint const& to, flow_message const& message);
    void send_sealed(endpoint const& to, std::span<std::byte const> sealed);
    void on_accepted(std::shared_ptr<tcp_flow> flow);
    void on_tick(time_point now);
    void remove_ended_flows(time_point now);
    void evict(evicted_flow const& flow);

    agent_settings settings_;
    service_id service_;
    incarnation start_incarnation_;   // when the process started
    incarnation current_incarnation_; // at least start_incarnation_
    flow_table table_;
    authenticator authenticator_;
    tunnel_port port_;
    tcp_stack stack_;
    accept_handler on_accept_;
    periodic_timer timer_;
    std::unordered_set<endpoint, endpoint_hash> vips_;
    // Accepted flows whose end hasn't been reported to table_ yet.
    std::vector<std::shared_ptr<tcp_flow>> accepted_flows_;
    std::size_t next_fabric_endpoint_ = 0;
    std::size_t tick_count_ = 0;

    drop_counters drop_counters_;
    std::uint64_t& delivered_packets_;
    std::uint64_t& forwarded_packets_;
    std::uint64_t& sent_resets_;
    std::uint64_t& probed_flows_;
    std::uint64_t& sent_packets_;
    std::uint64_t& message_bytes_;
    std::uint64_t& refused_messages_;
};

} // namespace daisytrail
