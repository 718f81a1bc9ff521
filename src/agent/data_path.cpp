// Decodes received datagrams, asks the flow table for decisions and applies
// them.
#include "agent/data_path.hpp"

#include <daisytrail/error.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::size_t ticks_between_checks = 5;

// Maximum number of flows in TIME-WAIT. For each packet that belongs to no open
// flow, lwIP searches the list of these flows linearly.
constexpr std::size_t max_time_wait = 256;

constexpr std::size_t max_listed_flows = 100;
constexpr std::size_t segment_bytes = 40;

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

flow_options make_options(agent_settings const& settings,
                          incarnation start_incarnation)
{
    flow_options options;
    options.self_ = hash_name(settings.common_.name_);
    options.service_ =
        hash_name(settings.organisation_ + "/" + settings.service_);
    options.start_incarnation_ = start_incarnation;
    return options;
}

} // namespace

data_path::drop_counters data_path::make_drop_counters(metrics& metrics)
{
    drop_counters result{};
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        result[i] = &metrics.counter("daisytrail_agent_drops_total{reason=\"" +
                                     std::string(drop_reason_names[i]) + "\"}");
    }
    return result;
}

data_path::data_path(boost::asio::io_context& io,
                     agent_settings const& settings,
                     incarnation start_incarnation, metrics& metrics,
                     accept_handler on_accept)
    : settings_(settings),
      service_(hash_name(settings.organisation_ + "/" + settings.service_)),
      start_incarnation_(start_incarnation),
      current_incarnation_(start_incarnation),
      table_(make_options(settings, start_incarnation)),
      authenticator_(settings.common_.keys_, hash_name(settings.common_.name_),
                     make_session(), datagram_channel::flow_ownership),
      port_(io, settings.tunnel_,
            [this](std::span<std::byte const> datagram)
            { on_datagram(datagram); }),
      stack_(io, tunnel_mtu_bytes,
             [this](std::span<std::byte const> packet)
             { send_to_fabric(packet); }),
      on_accept_(std::move(on_accept)),
      timer_(io, tick_interval, [this] { on_tick(current_time()); }),
      drop_counters_(make_drop_counters(metrics)),
      delivered_packets_(
          metrics.counter("daisytrail_agent_delivered_packets_total")),
      forwarded_packets_(
          metrics.counter("daisytrail_agent_passed_packets_total")),
      sent_resets_(metrics.counter("daisytrail_agent_resets_total")),
      probed_flows_(metrics.counter("daisytrail_agent_probes_total")),
      sent_packets_(metrics.counter("daisytrail_agent_sent_packets_total")),
      message_bytes_(
          metrics.counter("daisytrail_agent_flow_message_bytes_total")),
      refused_messages_(
          metrics.counter("daisytrail_agent_refused_flow_messages_total"))
{
    metrics.gauge("daisytrail_agent_open_flows",
                  [this] { return static_cast<double>(table_.open_flows()); });
    metrics.gauge("daisytrail_agent_half_open_flows", [this]
                  { return static_cast<double>(table_.half_open_flows()); });
    metrics.gauge("daisytrail_agent_pointers", [this]
                  { return static_cast<double>(table_.forwarding_entries()); });
    metrics.gauge(
        "daisytrail_agent_pointers_complete", [this]
        { return table_.has_all_peer_flows(current_time()) ? 1.0 : 0.0; });
    metrics.gauge("daisytrail_agent_lost_datagrams", [this]
                  { return static_cast<double>(port_.lost_datagrams()); });
}

void data_path::start()
{
    port_.start();
    timer_.start();
}

void data_path::stop()
{
    timer_.stop();
    stack_.stop();
    port_.stop();
}

void data_path::set_service(service_template const& service)
{
    std::unordered_set<endpoint, endpoint_hash> vips(service.vips_.begin(),
                                                     service.vips_.end());
    for (auto const& vip : vips_)
    {
        if (!vips.contains(vip))
        {
            stack_.unlisten(vip);
        }
    }
    vips_ = std::move(vips);
    for (auto const& vip : vips_)
    {
        stack_.listen(vip, [this](std::shared_ptr<tcp_flow> flow)
                      { on_accepted(std::move(flow)); });
    }
    table_.set_limits(service.limits_.connections_, service.limits_.half_open_);
}

void data_path::set_view(std::span<target_record const> records)
{
    table_.set_view(records, current_time());
}

void data_path::set_incarnation(incarnation current)
{
    current_incarnation_ = std::max(current_incarnation_, current);
}

void data_path::abort_flows()
{
    auto const flows = accepted_flows_;
    for (auto const& flow : flows)
    {
        flow->abort();
    }
}

void data_path::on_datagram(std::span<std::byte const> datagram)
{
    if (is_flow_message(datagram))
    {
        on_flow_message(datagram.subspan(flow_message_prefix_bytes));
        return;
    }
    auto const reason = handle_packet(datagram);
    if (reason != drop_reason::none)
    {
        ++*drop_counters_[static_cast<std::size_t>(reason)];
    }
}

drop_reason data_path::handle_packet(std::span<std::byte const> datagram)
{
    auto const tunnel = decode_tunnel(datagram);
    if (tunnel.drop_ != drop_reason::none)
    {
        return tunnel.drop_;
    }
    auto const mismatch = check_header(tunnel.header_);
    if (mismatch != drop_reason::none)
    {
        return mismatch;
    }
    auto const parsed = parse_packet(tunnel.packet_);
    if (parsed.drop_ != drop_reason::none)
    {
        return parsed.drop_;
    }
    auto const& info = parsed.info_;
    if (info.opens_flow() && !vips_.contains(info.flow_.vip_))
    {
        return drop_reason::unknown_vip;
    }
    auto const decision = table_.decide(tunnel.header_, info, current_time());
    return apply_decision(decision, info, tunnel.packet_);
}

// Returns the reason to drop a packet that is addressed to another service,
// target or process start. Such a packet isn't parsed further.
drop_reason data_path::check_header(tunnel_header const& header) const
{
    if (header.service_ != service_)
    {
        return drop_reason::foreign_service;
    }
    if (header.target_ != hash_name(settings_.common_.name_))
    {
        return drop_reason::foreign_target;
    }
    if (header.incarnation_ < start_incarnation_ ||
        header.incarnation_ > current_incarnation_)
    {
        return drop_reason::foreign_incarnation;
    }
    return drop_reason::none;
}

drop_reason data_path::apply_decision(flow_decision const& decision,
                                      packet_info const& info,
                                      std::span<std::byte const> packet)
{
    switch (decision.verdict_)
    {
    case flow_verdict::deliver:
        deliver(info, packet);
        return drop_reason::none;
    case flow_verdict::forward:
        forward_packet(decision, packet);
        return drop_reason::none;
    case flow_verdict::reset:
    {
        std::array<std::byte, segment_bytes> buffer{};
        auto const bytes = write_reset(buffer, info);
        if (bytes > 0)
        {
            ++sent_resets_;
            send_to_fabric(std::span(buffer).first(bytes));
        }
        return drop_reason::none;
    }
    default:
        return decision.drop_;
    }
}

void data_path::deliver(packet_info const& info,
                        std::span<std::byte const> packet)
{
    if (info.opens_flow())
    {
        stack_.release_time_wait(info.flow_);
    }
    ++delivered_packets_;
    stack_.input(packet);
}

void data_path::forward_packet(flow_decision const& decision,
                               std::span<std::byte const> packet)
{
    std::array<std::byte, max_tunnel_header_bytes> header{};
    auto const bytes = encode_tunnel_header(decision.header_, header);
    ++forwarded_packets_;
    port_.send(decision.next_hop_, std::span(header).first(bytes), packet);
}

void data_path::send_to_fabric(std::span<std::byte const> packet)
{
    if (settings_.fabric_.empty())
    {
        return;
    }
    // Each endpoint of the fabric accepts any packet. Packets are sent to the
    // endpoints in turn, so the failure of one endpoint doesn't lose all
    // packets of a flow.
    next_fabric_endpoint_ =
        (next_fabric_endpoint_ + 1) % settings_.fabric_.size();
    ++sent_packets_;
    port_.send(settings_.fabric_[next_fabric_endpoint_], {}, packet);
}

void data_path::on_flow_message(std::span<std::byte const> datagram)
{
    auto const opened = authenticator_.open(datagram, current_time());
    if (!opened.reply_.empty())
    {
        send_sealed(table_.peer_endpoint(opened.sender_), opened.reply_);
    }
    if (opened.verdict_ == open_verdict::handshake)
    {
        return;
    }
    if (opened.verdict_ != open_verdict::accepted)
    {
        ++refused_messages_;
        return;
    }
    try
    {
        auto const message = decode_flow_message(opened.payload_);
        if (auto const* batch = std::get_if<flow_batch>(&message))
        {
            auto const answer = table_.on_batch(*batch, current_time());
            send_message(table_.peer_endpoint(batch->from_), answer);
        }
        else
        {
            table_.on_acknowledgement(std::get<flow_acknowledgement>(message),
                                      current_time());
        }
    }
    catch (error const&)
    {
        ++refused_messages_;
    }
}

void data_path::send_message(endpoint const& to, flow_message const& message)
{
    send_sealed(to, authenticator_.seal(encode_flow_message(message)));
}

void data_path::send_sealed(endpoint const& to,
                            std::span<std::byte const> sealed)
{
    if (to == endpoint{})
    {
        return;
    }
    auto const datagram = add_flow_prefix(sealed);
    message_bytes_ += datagram.size();
    port_.send(to, {}, datagram);
}

void data_path::on_accepted(std::shared_ptr<tcp_flow> flow)
{
    auto const now = current_time();
    // The caller may have reused the port of an ended flow, so the end of that
    // flow is reported to the table first.
    remove_ended_flows(now);
    table_.on_established(flow->key(), now);
    accepted_flows_.push_back(flow);
    on_accept_(std::move(flow));
}

void data_path::on_tick(time_point now)
{
    if (++tick_count_ % ticks_between_checks == 0)
    {
        remove_ended_flows(now);
        stack_.trim_time_wait(max_time_wait);
    }
    auto const output = table_.tick(now);
    for (auto const& flow : output.evicted_)
    {
        evict(flow);
    }
    for (auto const& flow : output.probes_)
    {
        ++probed_flows_;
        for (auto const& packet : write_probes(flow))
        {
            send_to_fabric(packet);
        }
    }
    for (auto const& batch : output.batches_)
    {
        send_message(batch.to_, batch.batch_);
    }
    for (auto const& report : output.reports_)
    {
        send_message(table_.peer_endpoint(report.to_), report);
    }
}

void data_path::remove_ended_flows(time_point now)
{
    std::erase_if(accepted_flows_,
                  [this, now](std::shared_ptr<tcp_flow> const& flow)
                  {
                      if (!flow->is_open())
                      {
                          table_.on_ended(flow->key(), now);
                      }
                      return !flow->is_open();
                  });
}

// Frees the TCP state of a half-open flow by giving the stack a reset that
// appears to come from the caller.
void data_path::evict(evicted_flow const& flow)
{
    flow_key const reversed{flow.flow_.vip_, flow.flow_.caller_};
    std::array<std::byte, segment_bytes> packet{};
    write_segment(packet, reversed, flow.sequence_, 0, tcp_flags::rst);
    stack_.input(packet);
}

boost::json::object data_path::describe() const
{
    boost::json::array flows;
    for (auto const& flow : accepted_flows_)
    {
        if (flows.size() == max_listed_flows)
        {
            break;
        }
        flows.push_back({{"caller", to_string(flow->key().caller_)},
                         {"vip", to_string(flow->key().vip_)}});
    }
    return {{"open", table_.open_flows()},
            {"half_open", table_.half_open_flows()},
            {"pointers", table_.forwarding_entries()},
            {"complete", table_.has_all_peer_flows(current_time())},
            {"flows", flows}};
}

} // namespace daisytrail
