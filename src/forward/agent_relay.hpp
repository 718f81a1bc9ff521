// Data path of an agent in mode `forward`. Passes packets from balancers to the
// backend server, sends the backend server's packets directly to the callers,
// and sends packets that are refused back to their balancer.
#pragma once

#include "forward/datagram_port.hpp"
#include "forward/decision_log.hpp"
#include "net/metrics.hpp"

#include <daisytrail/backend_admission.hpp>
#include <daisytrail/backend_lifecycle.hpp>
#include <daisytrail/backend_observer.hpp>
#include <daisytrail/ownership_checks.hpp>
#include <daisytrail/packet_format.hpp>
#include <daisytrail/relay_message.hpp>
#include <daisytrail/return_paths.hpp>
#include <daisytrail/settings.hpp>
#include <daisytrail/syn_queue.hpp>

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

namespace daisytrail
{

class agent_relay
{
public:
    agent_relay(boost::asio::io_context& io,
                forward_agent_settings const& settings,
                packet_format const& format, backend_lifecycle const& lifecycle,
                metrics& counters);

    void start();
    void stop();

    // Refuses all new flows from now on.
    void set_stopping();

    // A new run of the backend server has announced itself.
    void on_new_run();

    void tick(time_point now);

    // Sends a report to all balancers that recently sent a datagram, without
    // waiting for the report interval.
    void report_now(time_point now);

    // True if the SYN of a new flow would be passed to the backend server.
    bool accepts_flows(time_point now) const;

    std::uint32_t requests_in_flight() const
    {
        return observer_.in_flight();
    }

    // Sets the number of requests that the backend server runs concurrently.
    void set_slots(std::uint32_t slots)
    {
        observer_.set_slots(slots);
        syns_.set_slots(slots);
    }

private:
    // A SYN that waits until the backend server has room.
    struct waiting_syn
    {
        std::vector<std::byte> bytes_;
        endpoint balancer_;
        time_point arrived_at_{};
    };

    // State of a balancer that sent a datagram recently.
    struct recent_balancer
    {
        time_point last_received_at_{};
        bool needs_report_ = false;
    };

    void on_balancer_datagram(std::span<std::byte> datagram,
                              endpoint const& from);
    void on_backend_datagram(std::span<std::byte> datagram,
                             endpoint const& from);
    return_reason refusal_reason(relay_message const& message,
                                 flow_packet const& packet, time_point now);
    void pass_to_backend(flow_packet const& packet, std::span<std::byte> bytes,
                         endpoint const& balancer, time_point now);
    void handle_syn(flow_packet const& packet, std::span<std::byte> bytes,
                    endpoint const& balancer, time_point now);
    void keep_syn(flow_packet const& packet, std::span<std::byte const> bytes,
                  endpoint const& balancer, time_point now);
    void pass_waiting_syns(time_point now);
    void return_waiting_syns(time_point now);
    void drop_expired_syns(time_point now);
    void refuse(flow_packet const& packet, std::span<std::byte> bytes,
                endpoint const& balancer, target_id target,
                return_reason reason, time_point now);
    void start_ownership_check(flow_key const& flow, endpoint const& balancer,
                               time_point now);
    void mark_checks_sent();
    bool is_unproven_reset(flow_packet const& packet) const;
    void withhold_reset(flow_packet const& packet, time_point now);
    void complete_ownership_check(flow_packet const& packet, time_point now);
    void report_confirmed_owners();
    // `target` is the target named in the question, which isn't this agent's
    // if its address was reused.
    void send_owner_answer(flow_key const& flow, target_id target,
                           flow_ownership ownership, endpoint const& balancer,
                           time_point now);
    void send_owner_answers(std::vector<queried_flow> flows, target_id target,
                            endpoint const& balancer, time_point now);
    void answer_question(relay_message const& message, endpoint const& balancer,
                         time_point now);
    flow_ownership ownership(flow_key const& flow, duration idle_limit,
                             time_point now) const;
    void return_packet(flow_packet const& packet, std::span<std::byte> bytes,
                       endpoint const& balancer, relay_message const& message,
                       time_point now);
    void send_reports(time_point now);
    void send_report(endpoint const& balancer, time_point now);
    relay_message make_message(relay_kind kind, time_point now);
    void log_backend_reset(flow_packet const& packet, time_point now);
    void log_return(flow_packet const& packet, return_reason reason,
                    time_point now);
    void update_flow_knowledge(time_point now);
    void update_responsiveness(time_point now);
    void flush();

    forward_agent_settings settings_;
    packet_format const& format_;
    backend_lifecycle const& lifecycle_;
    service_id service_;
    target_id target_;
    time_point started_at_;
    backend_observer observer_;
    backend_admission admission_;
    return_paths paths_;
    datagram_port balancers_;
    datagram_port backend_;
    decision_log log_;
    std::map<endpoint, recent_balancer> recent_balancers_;
    ownership_checks ownership_checks_;
    syn_queue syns_;
    // Those that wait in syns_.
    std::unordered_map<flow_key, waiting_syn, flow_hash> waiting_syns_;
    bool knows_all_flows_ = false; // at the last tick
    time_point contacted_at_{};    // by any balancer
    time_point reported_at_{};
    std::uint64_t& passed_;
    std::uint64_t& answered_;
    std::uint64_t& malformed_;
    std::uint64_t& refused_;
    std::uint64_t& lost_return_paths_;
    std::uint64_t& withheld_;
    std::uint64_t& expired_syns_;
    histogram& response_time_;
    histogram& syn_wait_;
    std::array<std::uint64_t*, static_cast<std::size_t>(return_reason::count)>
        returned_{};
};

} // namespace daisytrail
