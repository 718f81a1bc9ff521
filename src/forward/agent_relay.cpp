// Sockets around the agent's decisions for forwarded flows.
#include "forward/agent_relay.hpp"

#include <random>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds report_interval{100};
// A balancer that sent nothing for this long gets no reports unasked.
constexpr std::chrono::seconds correspondent_time{3};

static_assert(max_relay_head_bytes <= udp_sender::header_capacity);

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

} // namespace

agent_relay::agent_relay(boost::asio::io_context& io,
                         forward_agent_settings const& settings,
                         packet_format const& format, backend_life const& life,
                         metrics& counters)
    : settings_(settings), format_(format), life_(life),
      service_(hash_name(settings.agent_.organisation_ + "/" +
                         settings.agent_.service_)),
      target_(hash_name(settings.agent_.common_.name_)),
      gate_(life_, observer_, current_time()), paths_(std::random_device{}()),
      balancers_(io, settings.agent_.tunnel_), backend_(io, settings.outbound_),
      passed_(counters.counter("daisytrail_packets_passed_total")),
      answered_(counters.counter("daisytrail_packets_answered_total")),
      malformed_(counters.counter("daisytrail_packets_malformed_total")),
      refused_(counters.counter("daisytrail_packets_refused_total")),
      lost_paths_(counters.counter("daisytrail_return_path_lost_total")),
      withheld_(counters.counter("daisytrail_resets_withheld_total")),
      response_time_(counters.latency("daisytrail_response_seconds"))
{
    balancers_.show_drops(counters, "balancers");
    backend_.show_drops(counters, "backend");
    counters.gauge("daisytrail_requests_under_way", [this]
                   { return static_cast<double>(observer_.under_way()); });
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
                         begin_claims();
                     });
    backend_.start([this](std::span<std::byte> datagram, endpoint const& from)
                   { on_backend_datagram(datagram, from); },
                   [this]
                   {
                       claims_.on_socket_emptied(backend_.emptied());
                       tell_owners();
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
    gate_.set_stopping();
}

void agent_relay::flush()
{
    refused_ += balancers_.flush() + backend_.flush();
}

bool agent_relay::accepts_flows(time_point now) const
{
    return gate_.accepts_flows(now);
}

void agent_relay::on_new_run(bool is_complete)
{
    observer_.on_new_run(is_complete);
    claims_.clear();
    gate_.on_new_run();
}

void agent_relay::on_restart()
{
    observer_.on_restart();
    claims_.clear();
    gate_.on_new_run();
}

void agent_relay::on_balancer_datagram(std::span<std::byte> datagram,
                                       endpoint const& from)
{
    auto const now = current_time();
    auto const reading = decode_relay(datagram);
    if (!reading)
    {
        ++malformed_;
        return;
    }
    auto const& message = reading->message_;
    auto& sender = correspondents_[from];
    sender.heard_ = now;
    if (message.kind_ == relay_kind::question ||
        message.kind_ == relay_kind::owner_question)
    {
        answer_question(message, from, now);
        return;
    }
    auto const bytes = datagram.last(reading->packet_.size());
    auto const packet = format_.read(bytes);
    if (message.kind_ != relay_kind::packet || !packet)
    {
        ++malformed_;
        return;
    }
    sender.wants_report_ = true;
    auto const reason = refusal(message, *packet, now);
    if (reason == return_reason::none)
    {
        pass_in(*packet, bytes, from, now);
        if (message.asks_owner_)
        {
            note_claim(packet->flow_from_caller(), from, now);
        }
    }
    else
    {
        auto answer = make_message(relay_kind::returned, now);
        answer.reason_ = reason;
        answer.target_ = message.target_;
        give_back(*packet, bytes, from, answer, now);
    }
}

void agent_relay::answer_question(relay_message const& message,
                                  endpoint const& balancer, time_point now)
{
    bool const is_mine =
        message.target_ == target_ && message.service_ == service_;
    if (message.kind_ == relay_kind::owner_question)
    {
        auto flows = message.asked_;
        for (auto& each : flows)
        {
            each.holding_ =
                is_mine ? holding(each.flow_) : flow_holding::unsure;
        }
        send_owner_answers(std::move(flows), message.target_, balancer, now);
    }
    else if (is_mine)
    {
        send_report(balancer, now);
    }
}

flow_holding agent_relay::holding(flow_key const& flow) const
{
    return life_.phase() == backend_phase::gone ? flow_holding::not_held
                                                : observer_.holding(flow);
}

return_reason agent_relay::refusal(relay_message const& message,
                                   flow_packet const& packet, time_point now)
{
    bool const is_mine =
        message.target_ == target_ && message.service_ == service_;
    return is_mine ? gate_.refusal(packet, message.asks_owner_, now)
                   : return_reason::other_target;
}

void agent_relay::pass_in(flow_packet const& packet, std::span<std::byte> bytes,
                          endpoint const& balancer, time_point now)
{
    format_.set_mark(bytes, paths_.add(balancer));
    observer_.on_caller_packet(packet, now);
    ++passed_;
    backend_.head();
    backend_.add(settings_.backend_, 0, bytes);
}

void agent_relay::give_back(flow_packet const& packet,
                            std::span<std::byte> bytes,
                            endpoint const& balancer,
                            relay_message const& message, time_point now)
{
    ++*returned_[static_cast<std::size_t>(message.reason_)];
    note_return(packet, message.reason_, now);
    format_.clear_return(bytes);
    auto const head_bytes = encode_relay_head(message, balancers_.head());
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
    claims_.on_datagram_read(now);
    if (packet->returned_)
    {
        claims_.take(packet->flow_from_caller());
        observer_.on_returned(*packet, now);
        if (auto const balancer = paths_.find(packet->mark_))
        {
            auto message = make_message(relay_kind::returned, now);
            message.reason_ = return_reason::not_held;
            give_back(*packet, datagram, *balancer, message, now);
        }
        else
        {
            ++lost_paths_;
        }
        return;
    }
    if (is_foreign_reset(*packet))
    {
        withhold(*packet, now);
        return;
    }
    tell_owner(*packet, now);
    if (auto const took = observer_.on_backend_packet(*packet, now))
    {
        response_time_.add(std::chrono::duration<double>(*took).count());
    }
    ++answered_;
    backend_.head();
    backend_.add({packet->destination_.address_, settings_.caller_port_}, 0,
                 datagram);
}

// The backend server resets a flow that wasn't shown to be open here: it may be
// open at another one. The caller isn't told, but whoever asked is.
bool agent_relay::is_foreign_reset(flow_packet const& packet) const
{
    auto const flow = packet.flow_from_backend();
    return packet.reset_ &&
           (observer_.is_half_open(flow) || claims_.contains(flow));
}

void agent_relay::withhold(flow_packet const& packet, time_point now)
{
    ++withheld_;
    observer_.on_backend_packet(packet, now);
    auto const flow = packet.flow_from_backend();
    if (auto const balancer = claims_.take(flow))
    {
        send_owner_answer(flow, target_, flow_holding::not_held, *balancer,
                          now);
    }
    if (log_.admit(now))
    {
        log_event(log_level::info, "reset_withheld",
                  {{"flow", flow_name(flow)}, {"run", life_.last().id_}});
    }
}

// The balancer that asked last is told: the caller's packets come through it.
void agent_relay::note_claim(flow_key const& flow, endpoint const& balancer,
                             time_point now)
{
    if (observer_.holding(flow) == flow_holding::held)
    {
        send_owner_answer(flow, target_, flow_holding::held, balancer, now);
        return;
    }
    claims_.add(flow, balancer);
}

// What the backend server sent before it got the packets tells nothing about
// them, so it is read now.
void agent_relay::begin_claims()
{
    if (claims_.has_unsent())
    {
        claims_.on_packets_sent(current_time());
        backend_.read();
    }
}

// A SYN+ACK may belong to a flow that another backend server has opened.
void agent_relay::tell_owner(flow_packet const& packet, time_point now)
{
    if (claims_.empty() || packet.syn_)
    {
        return;
    }
    auto const flow = packet.flow_from_backend();
    if (auto const balancer = claims_.take(flow))
    {
        send_owner_answer(flow, target_, flow_holding::held, *balancer, now);
    }
}

void agent_relay::tell_owners()
{
    if (claims_.empty() || life_.phase() == backend_phase::unknown)
    {
        return;
    }
    auto const now = current_time();
    if (observer_.is_dark(now))
    {
        return;
    }
    for (auto const& claim : claims_.take_confirmed())
    {
        send_owner_answer(claim.flow_, target_, flow_holding::held,
                          claim.balancer_, now);
    }
}

void agent_relay::send_owner_answer(flow_key const& flow, target_id target,
                                    flow_holding holding,
                                    endpoint const& balancer, time_point now)
{
    send_owner_answers({{flow, holding}}, target, balancer, now);
}

void agent_relay::send_owner_answers(std::vector<asked_flow> flows,
                                     target_id target, endpoint const& balancer,
                                     time_point now)
{
    auto message = make_message(relay_kind::owner_answer, now);
    message.target_ = target;
    message.asked_ = std::move(flows);
    auto const head_bytes = encode_relay_head(message, balancers_.head());
    balancers_.add(balancer, head_bytes, {});
}

relay_message agent_relay::make_message(relay_kind kind, time_point now)
{
    relay_message message;
    message.kind_ = kind;
    message.service_ = service_;
    message.target_ = target_;
    message.load_ = observer_.report(now);
    message.load_.share_ = life_.speed_share(now);
    message.load_.accepts_ = accepts_flows(now);
    return message;
}

void agent_relay::send_report(endpoint const& balancer, time_point now)
{
    auto const message = make_message(relay_kind::report, now);
    auto const head_bytes = encode_relay_head(message, balancers_.head());
    balancers_.add(balancer, head_bytes, {});
}

void agent_relay::send_reports(time_point now)
{
    reported_ = now;
    for (auto& [balancer, state] : correspondents_)
    {
        if (state.wants_report_)
        {
            state.wants_report_ = false;
            send_report(balancer, now);
        }
    }
    std::erase_if(correspondents_, [now](auto const& entry)
                  { return now > entry.second.heard_ + correspondent_time; });
}

void agent_relay::report_now(time_point now)
{
    for (auto& [balancer, state] : correspondents_)
    {
        state.wants_report_ = true;
    }
    send_reports(now);
    flush();
}

void agent_relay::tick(time_point now)
{
    observer_.tick(now);
    watch_darkness(now);
    claims_.tick(now);
    if (!claims_.empty())
    {
        backend_.read();
    }
    if (now >= reported_ + report_interval)
    {
        send_reports(now);
    }
    log_.report_suppressed(now);
    flush();
}

void agent_relay::watch_darkness(time_point now)
{
    if (!gate_.watch_darkness(now))
    {
        return;
    }
    bool const dark = gate_.is_dark();
    log_event(dark ? log_level::warning : log_level::info,
              dark ? "backend_silent" : "backend_answers",
              {{"under_way", observer_.under_way()},
               {"flows", observer_.open_flows()}});
    report_now(now);
}

void agent_relay::note_return(flow_packet const& packet, return_reason reason,
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
               {"phase", to_string(life_.phase())},
               {"run", life_.last().id_},
               {"under_way", observer_.under_way()}});
}

} // namespace daisytrail
