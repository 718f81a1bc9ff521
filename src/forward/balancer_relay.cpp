// Socket input and output around the decisions of flow_forwarder.
#include "forward/balancer_relay.hpp"

#include <daisytrail/report_requests.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace daisytrail
{

namespace
{

// The agents of listed targets are asked in this period, which covers the time
// in which the VMs of a fleet start after a power failure.
constexpr std::chrono::seconds discovery_period{10};
constexpr std::size_t max_discovery_requests_per_tick = 64;

static_assert(max_relay_head_bytes <= udp_sender::header_capacity);

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(forward_step::count)>
    step_names{"send", "reset", "drop", "hold"};

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

flow_forwarder_settings
make_forwarder_settings(forward_balancer_settings const& settings)
{
    flow_forwarder_settings result;
    result.failure_domain_ = settings.balancer_.common_.failure_domain_;
    result.placement_.cross_domain_ms_per_kilobyte_ =
        settings.cross_domain_ms_per_kilobyte_;
    return result;
}

} // namespace

balancer_relay::balancer_relay(boost::asio::io_context& io,
                               forward_balancer_settings const& settings,
                               packet_format const& format,
                               forward_directory& directory, metrics& counters)
    : settings_(settings), format_(format), directory_(directory),
      forwarder_(directory, make_forwarder_settings(settings), current_time()),
      callers_(io, settings.balancer_.data_), agents_(io, settings.relay_),
      received_(counters.counter("daisytrail_packets_received_total")),
      malformed_(counters.counter("daisytrail_packets_malformed_total")),
      returned_(counters.counter("daisytrail_packets_returned_total")),
      refused_(counters.counter("daisytrail_packets_refused_total")),
      not_buffered_(counters.counter("daisytrail_packets_not_kept_total"))
{
    callers_.add_drop_gauge(counters, "callers");
    agents_.add_drop_gauge(counters, "agents");
    counters.gauge("daisytrail_flows_known", [this]
                   { return static_cast<double>(forwarder_.flow_count()); });
    for (std::size_t step = 0; step < step_names.size(); ++step)
    {
        for (std::size_t cause = 0; cause < forward_cause_names.size(); ++cause)
        {
            actions_[{static_cast<forward_step>(step),
                      static_cast<forward_cause>(cause)}] =
                &counters.counter(
                    "daisytrail_forward_total{step=\"" +
                    std::string(step_names[step]) + "\",cause=\"" +
                    std::string(forward_cause_names[cause]) + "\"}");
        }
    }
}

void balancer_relay::start()
{
    callers_.start([this](std::span<std::byte> datagram, endpoint const&)
                   { on_caller_datagram(datagram); },
                   [this] { send_pending(); });
    agents_.start([this](std::span<std::byte> datagram, endpoint const&)
                  { on_agent_datagram(datagram); },
                  [this] { send_pending(); });
}

void balancer_relay::stop()
{
    callers_.stop();
    agents_.stop();
}

void balancer_relay::send_pending()
{
    for (auto const* const target : question_order_)
    {
        send_questions(*target, pending_questions_[target]);
    }
    question_order_.clear();
    pending_questions_.clear();
    flush();
}

void balancer_relay::flush()
{
    refused_ += callers_.flush() + agents_.flush();
    reset_count_ = 0;
}

void balancer_relay::on_caller_datagram(std::span<std::byte> datagram)
{
    ++received_;
    auto const packet = format_.read(datagram);
    if (!packet || packet->returned_)
    {
        ++malformed_;
        return;
    }
    auto const now = current_time();
    execute(forwarder_.on_packet(*packet, now), *packet, datagram, now);
}

void balancer_relay::on_agent_datagram(std::span<std::byte> datagram)
{
    auto const decoded = decode_relay(datagram);
    if (!decoded)
    {
        ++malformed_;
        return;
    }
    auto const now = current_time();
    auto const& message = decoded->message_;
    apply_message(message, now);
    if (message.kind_ != relay_kind::returned)
    {
        return;
    }
    ++returned_;
    auto const packet = format_.read(decoded->packet_);
    if (!packet)
    {
        ++malformed_;
        return;
    }
    auto const action =
        forwarder_.on_returned(*packet, message.target_, message.reason_, now);
    auto const flow = packet->flow_from_caller();
    if (!packet->opens_flow() && !buffered_.find(flow).empty())
    {
        // The returned packet is a copy of one that is buffered.
        execute_for_buffered(flow, action, now);
        return;
    }
    execute(action, *packet, decoded->packet_, now);
}

void balancer_relay::apply_message(relay_message const& message, time_point now)
{
    bool const is_from_target =
        message.kind_ == relay_kind::report ||
        message.kind_ == relay_kind::syn_waits ||
        (message.kind_ == relay_kind::returned &&
         message.reason_ != return_reason::other_target);
    if (is_from_target)
    {
        directory_.on_load_report(message.target_, message.load_, now);
    }
    if (message.reason_ == return_reason::other_target)
    {
        directory_.on_address_reused(message.target_, now);
    }
    if (message.kind_ == relay_kind::owner_answer)
    {
        apply_owner_answers(message, now);
    }
    if (message.kind_ == relay_kind::syn_waits)
    {
        for (auto const& waiting : message.queried_flows_)
        {
            forwarder_.on_syn_waits(waiting.flow_, message.target_);
        }
    }
}

void balancer_relay::apply_owner_answers(relay_message const& message,
                                         time_point now)
{
    for (auto const& answer : message.queried_flows_)
    {
        log_owner_answer(message.target_, answer, now);
        execute_for_buffered(answer.flow_,
                             forwarder_.on_owner_answer(answer.flow_,
                                                        message.target_,
                                                        answer.ownership_, now),
                             now);
    }
}

void balancer_relay::execute(forward_action const& action,
                             flow_packet const& packet,
                             std::span<std::byte const> bytes, time_point now)
{
    ++*actions_[{action.step_, action.cause_}];
    if (action.cause_ != forward_cause::known)
    {
        log_decision(action, packet.flow_from_caller(), now);
    }
    queue_owner_questions(packet.flow_from_caller(), action);
    switch (action.step_)
    {
    case forward_step::send:
        if (action.offers_.empty())
        {
            send(*action.target_, action.is_owner_unknown_, bytes);
            break;
        }
        not_buffered_ +=
            buffered_.add(packet.flow_from_caller(), bytes) ? 0 : 1;
        offer_packet(action, buffered_.find(packet.flow_from_caller()));
        break;
    case forward_step::reset:
        reset(packet);
        break;
    case forward_step::hold:
        not_buffered_ +=
            buffered_.add(packet.flow_from_caller(), bytes) ? 0 : 1;
        break;
    case forward_step::drop:
    case forward_step::count:
        break;
    }
}

// Carries out a decision about the flow's buffered packets.
void balancer_relay::execute_for_buffered(flow_key const& flow,
                                          forward_action const& action,
                                          time_point now)
{
    queue_owner_questions(flow, action);
    if (action.step_ == forward_step::hold && action.search_)
    {
        ++*actions_[{action.step_, action.cause_}];
        log_decision(action, flow, now);
    }
    auto const packets = buffered_.find(flow);
    if (action.step_ == forward_step::hold || packets.empty())
    {
        return;
    }
    ++*actions_[{action.step_, action.cause_}];
    auto const newest_packet = *format_.read(packets.back().bytes_);
    log_decision(action, flow, now);
    if (!action.offers_.empty())
    {
        offer_packet(action, packets);
    }
    else if (action.step_ == forward_step::send)
    {
        send_buffered(*action.target_, packets);
    }
    else if (action.step_ == forward_step::reset)
    {
        reset(newest_packet);
    }
    if (!action.is_owner_unknown_)
    {
        buffered_.remove(flow);
    }
}

// Sends the owner those buffered packets that it hasn't got yet.
void balancer_relay::send_buffered(forward_target const& owner,
                                   std::span<buffered_packets::packet> packets)
{
    auto const target = owner.record_.target_;
    for (auto& packet : packets)
    {
        bool const was_sent =
            std::ranges::find(packet.sent_to_, target) != packet.sent_to_.end();
        if (!was_sent)
        {
            packet.sent_to_.push_back(target);
            send(owner, false, packet.bytes_);
        }
    }
    // The send batch refers to the buffered packets, which may be removed next.
    flush();
}

// Sends the first buffered packet to the targets to find out which backend
// server holds the flow; one packet per target is enough.
void balancer_relay::offer_packet(forward_action const& action,
                                  std::span<buffered_packets::packet> packets)
{
    if (packets.empty())
    {
        return;
    }
    auto& packet = packets.front();
    for (auto const* const target : action.offers_)
    {
        packet.sent_to_.push_back(target->record_.target_);
        send(*target, true, packet.bytes_);
    }
    flush();
}

void balancer_relay::continue_searches(time_point now)
{
    for (auto const& flow : forwarder_.overdue_searches(now))
    {
        execute_for_buffered(flow, forwarder_.continue_search(flow, now), now);
    }
    buffered_.remove_unless([this](flow_key const& flow)
                            { return forwarder_.is_searching(flow); });
}

void balancer_relay::queue_owner_questions(flow_key const& flow,
                                           forward_action const& action)
{
    for (auto const* const target : action.questions_)
    {
        auto const [entry, is_first] = pending_questions_.try_emplace(target);
        if (is_first)
        {
            question_order_.push_back(target);
        }
        auto& flows = entry->second;
        flows.push_back({flow});
        if (flows.size() == max_queried_flows)
        {
            send_questions(*target, flows);
        }
    }
}

void balancer_relay::send_questions(forward_target const& target,
                                    std::vector<queried_flow>& flows)
{
    if (flows.empty())
    {
        return;
    }
    relay_message message;
    message.kind_ = relay_kind::owner_question;
    message.service_ = target.record_.service_;
    message.target_ = target.record_.target_;
    message.version_ = directory_.newest_version();
    message.idle_limit_ = directory_.flow_idle_limit(target.record_.service_);
    message.queried_flows_ = std::exchange(flows, {});
    auto const head_bytes = encode_relay_head(message, agents_.next_head());
    agents_.add(target.record_.tunnel_, head_bytes, {});
}

void balancer_relay::send(forward_target const& target, bool is_owner_unknown,
                          std::span<std::byte const> bytes)
{
    relay_message message;
    message.is_owner_unknown_ = is_owner_unknown;
    message.service_ = target.record_.service_;
    message.target_ = target.record_.target_;
    message.version_ = directory_.newest_version();
    auto const head_bytes = encode_relay_head(message, agents_.next_head());
    agents_.add(target.record_.tunnel_, head_bytes, bytes);
}

void balancer_relay::reset(flow_packet const& packet)
{
    if (reset_count_ == resets_.size())
    {
        flush();
    }
    auto& buffer = resets_[reset_count_++];
    auto const bytes = format_.write_reset(packet, buffer);
    callers_.next_head();
    callers_.add({packet.source_.address_, settings_.caller_port_}, 0,
                 std::span(buffer).first(bytes));
}

void balancer_relay::log_decision(forward_action const& action,
                                  flow_key const& flow, time_point now)
{
    bool const is_important = action.step_ == forward_step::reset ||
                              action.cause_ == forward_cause::owner_not_found;
    if (!log_.admit(now, is_important ? line_priority::important
                                      : line_priority::routine))
    {
        return;
    }
    boost::json::object line{
        {"flow", flow_name(flow)},
        {"step", step_names[static_cast<std::size_t>(action.step_)]},
        {"cause", to_string(action.cause_)},
        {"version", directory_.newest_version()}};
    if (action.target_ != nullptr)
    {
        auto const& target = *action.target_;
        line["target"] = target.record_.name_;
        line["incarnation"] = target.record_.version_.incarnation_;
        line["under_way"] = target.load_.in_flight_;
        line["placed_since"] = target.placed_since_report_;
        line["report_age_ms"] =
            target.has_report_ ? to_ms(now - target.reported_at_) : -1;
    }
    add_search_fields(line, action, now);
    log_event(log_level::info, "flow", line);
}

// Adds the state of the owner search at the time of the decision.
void balancer_relay::add_search_fields(boost::json::object& line,
                                       forward_action const& action,
                                       time_point now) const
{
    if (!action.offers_.empty())
    {
        boost::json::array offered;
        for (auto const* const target : action.offers_)
        {
            offered.emplace_back(target->record_.name_);
        }
        line["offered"] = std::move(offered);
    }
    if (!action.search_)
    {
        return;
    }
    auto const& search = *action.search_;
    auto const confirmed = directory_.view_confirmed_as_of();
    line["known"] = search.known_;
    line["asked"] = search.asked_;
    line["denied"] = search.denied_;
    line["unsure"] = search.undetermined_;
    line["search_age_ms"] = to_ms(search.age_);
    line["view_age_ms"] = confirmed ? to_ms(now - *confirmed) : -1;
}

void balancer_relay::log_owner_answer(target_id responder,
                                      queried_flow const& answer,
                                      time_point now)
{
    bool const is_routine = answer.ownership_ == flow_ownership::not_held ||
                            answer.ownership_ == flow_ownership::improbable;
    if (is_routine || !log_.admit(now))
    {
        return;
    }
    auto const* const target = directory_.find(responder);
    log_event(log_level::info, "owner_answer",
              {{"flow", flow_name(answer.flow_)},
               {"target", target == nullptr ? "not known any more"
                                            : target->record_.name_},
               {"holding", to_string(answer.ownership_)}});
}

void balancer_relay::send_report_request(target_record const& target)
{
    relay_message message;
    message.kind_ = relay_kind::report_request;
    message.service_ = target.service_;
    message.target_ = target.target_;
    message.version_ = directory_.newest_version();
    auto const head_bytes = encode_relay_head(message, agents_.next_head());
    agents_.add(target.tunnel_, head_bytes, {});
}

void balancer_relay::discover_targets(time_point now)
{
    discovery_started_at_ = discovery_started_at_.value_or(now);
    auto const& undiscovered = directory_.undiscovered_targets();
    auto const count =
        std::min(undiscovered.size(), max_discovery_requests_per_tick);
    for (std::size_t i = 0; i < count; ++i)
    {
        send_report_request(
            undiscovered[next_discovery_index_++ % undiscovered.size()]);
    }
    flush();
}

void balancer_relay::tick(time_point now)
{
    directory_.forget_ended_targets(now);
    forwarder_.tick(now);
    continue_searches(now);
    log_.report_suppressed(now);
    if (discovery_started_at_ &&
        now < *discovery_started_at_ + discovery_period)
    {
        discover_targets(now);
    }
    request_reports(now);
    send_pending();
}

void balancer_relay::request_reports(time_point now)
{
    for (auto* const target : next_report_requests(directory_, now))
    {
        target->report_requested_at_ = now;
        directory_.on_datagram_sent(*target, now);
        send_report_request(target->record_);
    }
}

} // namespace daisytrail
