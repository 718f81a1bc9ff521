// Data path of a balancer in mode `forward`. Sends packets from callers to
// agents, and packets that an agent returned to the next target.
#pragma once

#include "forward/buffered_packets.hpp"
#include "forward/datagram_port.hpp"
#include "forward/decision_log.hpp"
#include "net/metrics.hpp"

#include <daisytrail/flow_forwarder.hpp>
#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/settings.hpp>

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

class balancer_relay
{
public:
    balancer_relay(boost::asio::io_context& io,
                   forward_balancer_settings const& settings,
                   packet_format const& format, forward_directory& directory,
                   metrics& counters);

    void start();
    void stop();

    // Continues overdue searches and requests a report from targets that sent
    // none or whose last one is old.
    void tick(time_point now);

    // Asks the agents of listed targets that aren't known yet whether they
    // exist. tick() asks again for discovery_period after the first call.
    void discover_targets(time_point now);

    bool wants_view(time_point now) const
    {
        return forwarder_.needs_view_confirmation(now);
    }

private:
    void on_caller_datagram(std::span<std::byte> datagram);
    void on_agent_datagram(std::span<std::byte> datagram);
    void apply_message(relay_message const& message, time_point now);
    void execute(forward_action const& action, flow_packet const& packet,
                 std::span<std::byte const> bytes, time_point now);
    void send(forward_target const& target, bool is_owner_unknown,
              std::span<std::byte const> bytes);
    void reset(flow_packet const& packet);
    void apply_owner_answers(relay_message const& message, time_point now);
    void log_owner_answer(target_id responder, queried_flow const& answer,
                          time_point now);
    void send_report_request(target_record const& target);
    void request_reports(time_point now);
    void queue_owner_questions(flow_key const& flow,
                               forward_action const& action);
    void send_questions(forward_target const& target,
                        std::vector<queried_flow>& flows);
    void execute_for_buffered(flow_key const& flow,
                              forward_action const& action, time_point now);
    void send_buffered(forward_target const& owner,
                       std::span<buffered_packets::packet> packets);
    void offer_packet(forward_action const& action,
                      std::span<buffered_packets::packet> packets);
    void continue_searches(time_point now);
    void log_decision(forward_action const& action, flow_key const& flow,
                      time_point now);
    void send_pending();
    void add_search_fields(boost::json::object& line,
                           forward_action const& action, time_point now) const;
    void flush();

    forward_balancer_settings settings_;
    packet_format const& format_;
    forward_directory& directory_;
    flow_forwarder forwarder_;
    datagram_port callers_;
    datagram_port agents_;
    decision_log log_;
    buffered_packets buffered_; // of flows whose owner is being searched
    std::array<std::array<std::byte, max_flow_packet_bytes>, batch_size>
        resets_{}; // buffers of the resets in the current batch
    std::size_t reset_count_ = 0;
    std::optional<time_point> discovery_started_at_;
    // Of the undiscovered target that is asked next.
    std::size_t next_discovery_index_ = 0;
    // Owner questions collected in this turn of the event loop, and their
    // targets in the order of the searches, the likeliest owners first.
    std::unordered_map<forward_target const*, std::vector<queried_flow>>
        pending_questions_;
    std::vector<forward_target const*> question_order_;
    std::uint64_t& received_;
    std::uint64_t& malformed_;
    std::uint64_t& returned_;
    std::uint64_t& refused_;
    std::uint64_t& not_buffered_;
    std::map<std::pair<forward_step, forward_cause>, std::uint64_t*> actions_;
};

} // namespace daisytrail
