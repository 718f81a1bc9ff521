// Socket input and output of the agent's data path.
#include "forward/agent_relay.hpp"

#include <random>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds report_interval{100};
// A balancer that sent no datagram for this long gets no unsolicited reports.
constexpr std::chrono::seconds recent_balancer_timeout{3};
// Each balancer requests a report of an idle agent more often than this. An
// agent that hears of none for longer may be cut off from all callers.
constexpr std::chrono::milliseconds contact_timeout{2'500};

static_assert(max_relay_head_bytes <= udp_sender::header_capacity);

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

backend_observer_settings
make_observer_settings(forward_agent_settings const& settings)
{
    backend_observer_settings result;
    result.flow_lifetime_ = settings.flow_lifetime_;
    return result;
}

} // namespace

agent_relay::agent_relay(boost::asio::io_context& io,
                         forward_agent_settings const& settings,
                         packet_format const& format,
                         backend_lifecycle const& lifecycle, metrics& counters)
    : settings_(settings), format_(format), lifecycle_(lifecycle),
      service_(hash_name(settings.agent_.organisation_ + "/" +
                         settings.agent_.service_)),
      target_(hash_name(settings.agent_.common_.name_)),
      started_at_(current_time()), observer_(make_observer_settings(settings)),
      admission_(lifecycle_, observer_, started_at_),
      paths_(std::random_device{}()), balancers_(io, settings.agent_.tunnel_),
      backend_(io, settings.outbound_),
      passed_(counters.counter("daisytrail_packets_passed_total")),
      answered_(counters.counter("daisytrail_packets_answered_total")),
      malformed_(counters.counter("daisytrail_packets_malformed_total")),
      refused_(counters.counter("daisytrail_packets_refused_total")),
      lost_return_paths_(counters.counter("daisytrail_return_path_lost_total")),
      withheld_(counters.counter("daisytrail_resets_withheld_total")),
      expired_syns_(counters.counter("daisytrail_syns_expired_total")),
      response_time_(counters.latency("daisytrail_response_seconds")),
      syn_wait_(counters.latency("daisytrail_syn_wait_seconds"))
{
    balancers_.add_drop_gauge(counters, "balancers");
    backend_.add_drop_gauge(counters, "backend");
    counters.gauge("daisytrail_requests_under_way", [this]
                   { return static_cast<double>(observer_.in_flight()); });
    counters.gauge("daisytrail_syns_waiting",
                   [this] { return static_cast<double>(syns_.waiting()); });
    counters.gauge("daisytrail_flows_open", [this]
                   { return static_cast<double>(observer_.open_flows()); });
    for (std::size_t i = 0; i < returned_.size(); ++i)
    {
        returned_[i] =
            &counters.counter("daisytrail_packets_returned_total{reason=\"" +
                              std::string(return_reason_names[i]) + "\"}");
    }
}

void agent_relay::start()
{
    balancers_.start([this](std::span<std::byte> datagram, endpoint const& from)
                     { on_balancer_datagram(datagram, from); },
                     [this]
                     {
                         flush();
                         mark_checks_sent();
                     });
    backend_.start([this](std::span<std::byte> datagram, endpoint const& from)
                   { on_backend_datagram(datagram, from); },
                   [this]
                   {
                       ownership_checks_.on_socket_emptied(
                           backend_.drained_at());
                       report_confirmed_owners();
                       pass_waiting_syns(current_time());
                       flush();
                   });
}

void agent_relay::stop()
{
    balancers_.stop();
    backend_.stop();
}

void agent_relay::set_stopping()
{
    admission_.set_stopping();
}

void agent_relay::flush()
{
    refused_ += balancers_.flush() + backend_.flush();
}

bool agent_relay::accepts_flows(time_point now) const
{
    return admission_.accepts_flows(now);
}

void agent_relay::on_new_run()
{
    observer_.on_new_run();
    syns_.clear_handshakes();
    ownership_checks_.clear();
    admission_.on_new_run();
}

void agent_relay::on_balancer_datagram(std::span<std::byte> datagram,
                                       endpoint const& from)
{
    auto const now = current_time();
    auto const decoded = decode_relay(datagram);
    if (!decoded)
    {
        ++malformed_;
        return;
    }
    auto const& message = decoded->message_;
    auto& sender = recent_balancers_[from];
    sender.last_received_at_ = now;
    contacted_at_ = now;
    if (message.kind_ == relay_kind::report_request ||
        message.kind_ == relay_kind::owner_question)
    {
        answer_question(message, from, now);
        return;
    }
    auto const bytes = datagram.last(decoded->packet_.size());
    auto const packet = format_.read(bytes);
    if (message.kind_ != relay_kind::packet || !packet)
    {
        ++malformed_;
        return;
    }
    sender.needs_report_ = true;
    auto const reason = refusal_reason(message, *packet, now);
    if (reason != return_reason::none)
    {
        refuse(*packet, bytes, from, message.target_, reason, now);
        return;
    }
    if (packet->opens_flow())
    {
        handle_syn(*packet, bytes, from, now);
        return;
    }
    pass_to_backend(*packet, bytes, from, now);
    if (message.is_owner_unknown_)
    {
        start_ownership_check(packet->flow_from_caller(), from, now);
    }
}

void agent_relay::refuse(flow_packet const& packet, std::span<std::byte> bytes,
                         endpoint const& balancer, target_id target,
                         return_reason reason, time_point now)
{
    auto answer = make_message(relay_kind::returned, now);
    answer.reason_ = reason;
    answer.target_ = target;
    return_packet(packet, bytes, balancer, answer, now);
}

void agent_relay::answer_question(relay_message const& message,
                                  endpoint const& balancer, time_point now)
{
    bool const is_addressee =
        message.target_ == target_ && message.service_ == service_;
    if (message.kind_ == relay_kind::owner_question)
    {
        auto flows = message.queried_flows_;
        for (auto& each : flows)
        {
            each.ownership_ =
                is_addressee ? ownership(each.flow_, message.idle_limit_, now)
                             : flow_ownership::undetermined;
        }
        send_owner_answers(std::move(flows), message.target_, balancer, now);
    }
    else if (is_addressee)
    {
        send_report(balancer, now);
    }
}

flow_ownership agent_relay::ownership(flow_key const& flow, duration idle_limit,
                                      time_point now) const
{
    if (lifecycle_.has_certainly_ended())
    {
        return flow_ownership::not_held;
    }
    auto const result = observer_.ownership(flow, idle_limit, now);
    bool const is_improbable = result == flow_ownership::undetermined &&
                               !observer_.has_observed(flow) &&
                               lifecycle_.is_heard_from_start();
    return is_improbable ? flow_ownership::improbable : result;
}

return_reason agent_relay::refusal_reason(relay_message const& message,
                                          flow_packet const& packet,
                                          time_point now)
{
    bool const is_addressee =
        message.target_ == target_ && message.service_ == service_;
    return is_addressee ? admission_.refusal_reason(
                              packet, message.is_owner_unknown_, now)
                        : return_reason::other_target;
}

void agent_relay::pass_to_backend(flow_packet const& packet,
                                  std::span<std::byte> bytes,
                                  endpoint const& balancer, time_point now)
{
    format_.set_mark(bytes, paths_.add(balancer));
    observer_.on_caller_packet(packet, now);
    bool const ends_handshake =
        packet.payload_bytes_ > 0 || packet.fin_ || packet.reset_;
    if (ends_handshake)
    {
        syns_.on_handshake_end(packet.flow_from_caller());
    }
    ++passed_;
    backend_.next_head();
    backend_.add(settings_.backend_, 0, bytes);
}

void agent_relay::return_packet(flow_packet const& packet,
                                std::span<std::byte> bytes,
                                endpoint const& balancer,
                                relay_message const& message, time_point now)
{
    ++*returned_[static_cast<std::size_t>(message.reason_)];
    log_return(packet, message.reason_, now);
    format_.clear_return(bytes);
    auto const head_bytes = encode_relay_head(message, balancers_.next_head());
    balancers_.add(balancer, head_bytes, bytes);
}

void agent_relay::on_backend_datagram(std::span<std::byte> datagram,
                                      endpoint const& from)
{
    auto const now = current_time();
    auto const packet = format_.read(datagram);
    if (!packet || from.address_ != settings_.backend_.address_)
    {
        ++malformed_;
        return;
    }
    ownership_checks_.on_datagram_read(now);
    if (packet->returned_)
    {
        ownership_checks_.take(packet->flow_from_caller());
        observer_.on_returned(*packet, now);
        syns_.on_handshake_end(packet->flow_from_caller());
        if (auto const balancer = paths_.find(packet->mark_))
        {
            auto message = make_message(relay_kind::returned, now);
            message.reason_ = return_reason::not_held;
            return_packet(*packet, datagram, *balancer, message, now);
        }
        else
        {
            ++lost_return_paths_;
        }
        return;
    }
    if (is_unproven_reset(*packet))
    {
        withhold_reset(*packet, now);
        return;
    }
    complete_ownership_check(*packet, now);
    if (packet->reset_)
    {
        log_backend_reset(*packet, now);
    }
    if (auto const answer_time = observer_.on_backend_packet(*packet, now))
    {
        response_time_.add(std::chrono::duration<double>(*answer_time).count());
    }
    ++answered_;
    backend_.next_head();
    backend_.add({packet->destination_.address_, settings_.caller_port_}, 0,
                 datagram);
}

// True for a reset of a flow that isn't proven to be open at this backend
// server. The flow may be open at another one, so the reset isn't sent to the
// caller; the balancer that asked for the owner is notified instead.
bool agent_relay::is_unproven_reset(flow_packet const& packet) const
{
    auto const flow = packet.flow_from_backend();
    return packet.reset_ &&
           (observer_.is_half_open(flow) || ownership_checks_.contains(flow));
}

void agent_relay::withhold_reset(flow_packet const& packet, time_point now)
{
    ++withheld_;
    observer_.on_backend_packet(packet, now);
    auto const flow = packet.flow_from_backend();
    if (auto const balancer = ownership_checks_.take(flow))
    {
        send_owner_answer(flow, target_, flow_ownership::not_held, *balancer,
                          now);
    }
    if (log_.admit(now))
    {
        log_event(log_level::info, "reset_withheld",
                  {{"flow", flow_name(flow)},
                   {"run", lifecycle_.last_announcement().id_}});
    }
}

// Answers at once if the flow is known to be held. Otherwise starts a check,
// whose result goes to the balancer that asked last, since the caller's packets
// arrive through that balancer.
void agent_relay::start_ownership_check(flow_key const& flow,
                                        endpoint const& balancer,
                                        time_point now)
{
    if (observer_.ownership(flow) == flow_ownership::held)
    {
        send_owner_answer(flow, target_, flow_ownership::held, balancer, now);
        return;
    }
    ownership_checks_.add(flow, balancer);
}

// Datagrams that the backend server sent before it got the packets of the
// checks are no evidence about these packets, so the datagrams are read now.
void agent_relay::mark_checks_sent()
{
    if (ownership_checks_.has_unsent())
    {
        ownership_checks_.on_packets_sent(current_time());
        backend_.read();
    }
}

// A packet of the backend server proves that it holds the flow, except for a
// SYN+ACK: the flow may be open at another backend server.
void agent_relay::complete_ownership_check(flow_packet const& packet,
                                           time_point now)
{
    if (ownership_checks_.empty() || packet.syn_)
    {
        return;
    }
    auto const flow = packet.flow_from_backend();
    if (auto const balancer = ownership_checks_.take(flow))
    {
        send_owner_answer(flow, target_, flow_ownership::held, *balancer, now);
    }
}

void agent_relay::report_confirmed_owners()
{
    if (ownership_checks_.empty() ||
        lifecycle_.phase() == backend_phase::unknown)
    {
        return;
    }
    auto const now = current_time();
    if (observer_.is_unresponsive(now))
    {
        return;
    }
    for (auto const& check : ownership_checks_.take_confirmed())
    {
        send_owner_answer(check.flow_, target_, flow_ownership::held,
                          check.balancer_, now);
    }
}

void agent_relay::send_owner_answer(flow_key const& flow, target_id target,
                                    flow_ownership ownership,
                                    endpoint const& balancer, time_point now)
{
    send_owner_answers({{flow, ownership}}, target, balancer, now);
}

void agent_relay::send_owner_answers(std::vector<queried_flow> flows,
                                     target_id target, endpoint const& balancer,
                                     time_point now)
{
    auto message = make_message(relay_kind::owner_answer, now);
    message.target_ = target;
    message.queried_flows_ = std::move(flows);
    auto const head_bytes = encode_relay_head(message, balancers_.next_head());
    balancers_.add(balancer, head_bytes, {});
}

relay_message agent_relay::make_message(relay_kind kind, time_point now)
{
    relay_message message;
    message.kind_ = kind;
    message.service_ = service_;
    message.target_ = target_;
    message.load_ = observer_.report(now);
    // Flows that wait or have just been passed are requests to come.
    message.load_.in_flight_ += static_cast<std::uint32_t>(syns_.pending());
    message.load_.speed_percent_ = lifecycle_.speed_percent(now);
    message.load_.accepts_ = accepts_flows(now);
    return message;
}

void agent_relay::send_report(endpoint const& balancer, time_point now)
{
    auto const message = make_message(relay_kind::report, now);
    auto const head_bytes = encode_relay_head(message, balancers_.next_head());
    balancers_.add(balancer, head_bytes, {});
}

void agent_relay::send_reports(time_point now)
{
    reported_at_ = now;
    for (auto& [balancer, state] : recent_balancers_)
    {
        if (state.needs_report_)
        {
            state.needs_report_ = false;
            send_report(balancer, now);
        }
    }
    std::erase_if(recent_balancers_,
                  [now](auto const& entry) {
                      return now > entry.second.last_received_at_ +
                                       recent_balancer_timeout;
                  });
}

void agent_relay::report_now(time_point now)
{
    for (auto& [balancer, state] : recent_balancers_)
    {
        state.needs_report_ = true;
    }
    send_reports(now);
    flush();
}

void agent_relay::tick(time_point now)
{
    observer_.tick(now);
    if (now > contacted_at_ + contact_timeout)
    {
        observer_.on_interruption(now);
    }
    update_flow_knowledge(now);
    update_responsiveness(now);
    drop_expired_syns(now);
    return_waiting_syns(now);
    pass_waiting_syns(now);
    ownership_checks_.tick(now);
    if (!ownership_checks_.empty())
    {
        backend_.read();
    }
    if (now >= reported_at_ + report_interval)
    {
        send_reports(now);
    }
    log_.report_suppressed(now);
    flush();
}

void agent_relay::update_flow_knowledge(time_point now)
{
    if (knows_all_flows_ == observer_.knows_all_flows())
    {
        return;
    }
    knows_all_flows_ = observer_.knows_all_flows();
    log_event(
        log_level::info, "flow_knowledge",
        {{"all_flows_known", knows_all_flows_},
         {"flow_lifetime_ms", settings_.flow_lifetime_.count()},
         {"agent_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - started_at_)
                              .count()},
         {"run", lifecycle_.last_announcement().id_}});
}

void agent_relay::update_responsiveness(time_point now)
{
    if (!admission_.update_responsiveness(now))
    {
        return;
    }
    bool const is_silent = admission_.is_unresponsive();
    log_event(is_silent ? log_level::warning : log_level::info,
              is_silent ? "backend_silent" : "backend_answers",
              {{"under_way", observer_.in_flight()},
               {"flows", observer_.open_flows()}});
    report_now(now);
}

// A backend server resets the flows that it has no room for.
void agent_relay::log_backend_reset(flow_packet const& packet, time_point now)
{
    if (!log_.admit(now))
    {
        return;
    }
    auto const load = observer_.report(now);
    log_event(log_level::info, "reset_by_backend",
              {{"flow", flow_name(packet.flow_from_backend())},
               {"run", lifecycle_.last_announcement().id_},
               {"under_way", load.in_flight_},
               {"flows", load.open_flows_}});
}

void agent_relay::log_return(flow_packet const& packet, return_reason reason,
                             time_point now)
{
    if (!log_.admit(now))
    {
        return;
    }
    log_event(log_level::info, "returned",
              {{"flow", flow_name(packet.flow_from_caller())},
               {"reason", to_string(reason)},
               {"opens", packet.opens_flow()},
               {"phase", to_string(lifecycle_.phase())},
               {"run", lifecycle_.last_announcement().id_},
               {"under_way", observer_.in_flight()}});
}

} // namespace daisytrail
