// Admission decisions for packets to a backend server.
#include <daisytrail/backend_admission.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// A running backend server announces itself within this time after the agent's
// start.
constexpr std::chrono::milliseconds announcement_timeout{2'500};
// An unresponsive backend server is probed by single SYNs, with an exponential
// backoff between these bounds.
constexpr std::chrono::milliseconds min_probe_interval{250};
constexpr std::chrono::milliseconds max_probe_interval{2'000};

} // namespace

void backend_admission::on_new_run()
{
    probe_interval_ = min_probe_interval;
}

bool backend_admission::update_responsiveness(time_point now)
{
    bool const is_now_unresponsive = observer_.is_unresponsive(now);
    if (is_now_unresponsive == is_unresponsive_)
    {
        return false;
    }
    is_unresponsive_ = is_now_unresponsive;
    probe_interval_ = min_probe_interval;
    next_probe_at_ = now + min_probe_interval;
    return true;
}

bool backend_admission::accepts_flows(time_point now) const
{
    return lifecycle_.phase() == backend_phase::ready && !is_stopping_ &&
           (!observer_.is_unresponsive(now) || now >= next_probe_at_);
}

return_reason backend_admission::refusal_reason(flow_packet const& packet,
                                                bool is_owner_unknown,
                                                time_point now)
{
    if (lifecycle_.has_certainly_ended())
    {
        return return_reason::not_held;
    }
    // The end may be that of a former run, while the owner of the observed
    // flows goes on.
    if (lifecycle_.phase() == backend_phase::gone &&
        (packet.opens_flow() ||
         !observer_.has_observed(packet.flow_from_caller())))
    {
        return return_reason::not_accepting;
    }
    return packet.opens_flow()
               ? syn_refusal_reason(now)
               : open_flow_refusal_reason(packet, is_owner_unknown, now);
}

// A backend server that is presumed stopped still gets packets of flows that it
// is known to own, but none of flows whose owner is being searched: its answer
// would arrive late or never.
return_reason backend_admission::open_flow_refusal_reason(
    flow_packet const& packet, bool is_owner_unknown, time_point now) const
{
    if (observer_.is_opened_elsewhere(packet))
    {
        return return_reason::not_held;
    }
    bool const is_undetermined =
        observer_.is_ownership_undetermined(packet, now) ||
        (is_owner_unknown && observer_.is_presumed_stopped(now));
    return is_undetermined ? return_reason::no_answer : return_reason::none;
}

return_reason backend_admission::syn_refusal_reason(time_point now)
{
    if (lifecycle_.phase() == backend_phase::unknown)
    {
        bool const is_overdue = now > started_at_ + announcement_timeout;
        return is_overdue ? return_reason::not_accepting
                          : return_reason::not_announced;
    }
    bool const is_unresponsive = observer_.is_unresponsive(now);
    if (!accepts_flows(now))
    {
        return is_unresponsive ? return_reason::no_answer
                               : return_reason::not_accepting;
    }
    if (is_unresponsive)
    {
        next_probe_at_ = now + probe_interval_;
        probe_interval_ =
            std::min<duration>(2 * probe_interval_, max_probe_interval);
    }
    return return_reason::none;
}

} // namespace daisytrail
