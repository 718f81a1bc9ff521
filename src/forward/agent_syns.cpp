// SYNs that wait at an agent until its backend server has room.
#include "forward/agent_relay.hpp"
#include "net/log.hpp"

namespace daisytrail
{

void agent_relay::handle_syn(flow_packet const& packet,
                             std::span<std::byte> bytes,
                             endpoint const& balancer, time_point now)
{
    switch (syns_.on_syn(packet, observer_.opening_requests(now), now))
    {
    case syn_queue::step::pass:
        pass_to_backend(packet, bytes, balancer, now);
        break;
    case syn_queue::step::wait:
        keep_syn(packet, bytes, balancer, now);
        break;
    case syn_queue::step::refuse:
        refuse(packet, bytes, balancer, target_, return_reason::queue_full,
               now);
        break;
    }
}

// The SYN that arrived first is kept. A copy replaces only its balancer, which
// gets the flow's next packets: the copy may have been sent after the
// configuration moved new flows elsewhere, through a balancer that doesn't know
// it yet.
void agent_relay::keep_syn(flow_packet const& packet,
                           std::span<std::byte const> bytes,
                           endpoint const& balancer, time_point now)
{
    auto const flow = packet.flow_from_caller();
    auto const [entry, is_first] =
        waiting_syns_.try_emplace(flow, waiting_syn{{}, {}, now});
    auto& kept = entry->second;
    if (is_first)
    {
        kept.bytes_.assign(bytes.begin(), bytes.end());
    }
    kept.balancer_ = balancer;
    auto message = make_message(relay_kind::syn_waits, now);
    message.queried_flows_.push_back({flow});
    auto const head_bytes = encode_relay_head(message, balancers_.next_head());
    balancers_.add(balancer, head_bytes, {});
    if (packet.syn_attempt_ == 0 && log_.admit(now))
    {
        log_event(log_level::info, "syn_waits",
                  {{"flow", flow_name(flow)},
                   {"waiting", syns_.waiting()},
                   {"under_way", observer_.in_flight()}});
    }
}

void agent_relay::pass_waiting_syns(time_point now)
{
    if (waiting_syns_.empty() || !accepts_flows(now))
    {
        return;
    }
    for (auto const& flow :
         syns_.take_ready(observer_.opening_requests(now), now))
    {
        auto kept = waiting_syns_.extract(flow);
        auto& syn = kept.mapped();
        syn_wait_.add(
            std::chrono::duration<double>(now - syn.arrived_at_).count());
        pass_to_backend(*format_.read(syn.bytes_), syn.bytes_, syn.balancer_,
                        now);
        // The send batch refers to the bytes, which are freed next.
        flush();
    }
}

// Returns the waiting SYNs if the backend server no longer takes new flows, so
// that the balancers place these flows elsewhere.
void agent_relay::return_waiting_syns(time_point now)
{
    if (waiting_syns_.empty() || accepts_flows(now))
    {
        return;
    }
    for (auto const& flow : syns_.take_all())
    {
        auto kept = waiting_syns_.extract(flow);
        auto& syn = kept.mapped();
        auto const packet = *format_.read(syn.bytes_);
        auto const reason = admission_.refusal_reason(packet, false, now);
        refuse(packet, syn.bytes_, syn.balancer_, target_,
               reason == return_reason::none ? return_reason::not_accepting
                                             : reason,
               now);
        flush();
    }
}

void agent_relay::drop_expired_syns(time_point now)
{
    for (auto const& flow : syns_.take_expired(now))
    {
        waiting_syns_.erase(flow);
        ++expired_syns_;
        if (log_.admit(now))
        {
            log_event(log_level::info, "syn_expired",
                      {{"flow", flow_name(flow)},
                       {"waiting", syns_.waiting()},
                       {"under_way", observer_.in_flight()}});
        }
    }
}

} // namespace daisytrail
