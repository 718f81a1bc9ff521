// Decisions about packets for a backend server.
#include <daisytrail/backend_gate.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// A backend server that runs has announced itself by then.
constexpr std::chrono::milliseconds announcement_time{2'500};
// A backend server that doesn't answer gets single SYNs, ever more rarely.
constexpr std::chrono::milliseconds first_probe_wait{250};
constexpr std::chrono::milliseconds most_probe_wait{2'000};

} // namespace

void backend_gate::on_new_run()
{
    probe_wait_ = first_probe_wait;
}

bool backend_gate::watch_darkness(time_point now)
{
    bool const dark = observer_.is_dark(now);
    if (dark == dark_)
    {
        return false;
    }
    dark_ = dark;
    probe_wait_ = first_probe_wait;
    next_probe_ = now + first_probe_wait;
    return true;
}

bool backend_gate::accepts_flows(time_point now) const
{
    return life_.phase() == backend_phase::ready && !stopping_ &&
           (!observer_.is_dark(now) || now >= next_probe_);
}

return_reason backend_gate::refusal(flow_packet const& packet, bool is_searched,
                                    time_point now)
{
    if (life_.phase() == backend_phase::gone)
    {
        return return_reason::not_held;
    }
    return packet.opens_flow() ? refusal_of_syn(now)
                               : refusal_of_open(packet, is_searched, now);
}

// A silent backend server gets the flows that are known to be its own, but none
// that is only searched: its answer would come late or never.
return_reason backend_gate::refusal_of_open(flow_packet const& packet,
                                            bool is_searched,
                                            time_point now) const
{
    if (observer_.is_opened_elsewhere(packet))
    {
        return return_reason::not_held;
    }
    bool const cannot_tell = observer_.is_undecided(packet, now) ||
                             (is_searched && observer_.is_stopped(now));
    return cannot_tell ? return_reason::no_answer : return_reason::none;
}

return_reason backend_gate::refusal_of_syn(time_point now)
{
    if (life_.phase() == backend_phase::unknown)
    {
        bool const never_came = now > started_ + announcement_time;
        return never_came ? return_reason::not_accepting
                          : return_reason::not_announced;
    }
    bool const is_dark = observer_.is_dark(now);
    if (!accepts_flows(now))
    {
        return is_dark ? return_reason::no_answer
                       : return_reason::not_accepting;
    }
    if (is_dark)
    {
        next_probe_ = now + probe_wait_;
        probe_wait_ = std::min<duration>(2 * probe_wait_, most_probe_wait);
    }
    return return_reason::none;
}

} // namespace daisytrail
