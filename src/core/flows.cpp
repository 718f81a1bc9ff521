// Decisions of an agent on single packets: deliver, forward, reset or drop.
#include <daisytrail/flows.hpp>

#include <algorithm>

namespace daisytrail
{

namespace
{

// Longer than the time for which balancers may hold different views, and longer
// than the first retransmissions of a SYN take.
constexpr auto syn_redirect_timeout = std::chrono::seconds(8);
constexpr std::size_t max_syn_redirects = 16'384;

// Under a SYN flood, half-open flows younger than this aren't evicted.
constexpr auto min_eviction_age = std::chrono::milliseconds(500);

// Load reports older than this are ignored.
constexpr auto max_load_report_age = std::chrono::seconds(5);

// A new flow is placed on another member if this agent's number of flows per
// weight exceeds that of the member by this ratio plus this many flows.
constexpr double placement_ratio = 1.1;
constexpr double placement_slack = 4;

flow_decision make_verdict(flow_verdict verdict)
{
    flow_decision result;
    result.verdict_ = verdict;
    return result;
}

flow_decision make_drop(drop_reason reason)
{
    flow_decision result;
    result.drop_ = reason;
    return result;
}

constexpr std::uint8_t candidate_bit(std::size_t position)
{
    return static_cast<std::uint8_t>(1U << position);
}

} // namespace

std::size_t write_reset(std::span<std::byte> buffer, packet_info const& info)
{
    constexpr unsigned ends = tcp_flags::syn | tcp_flags::fin;
    if ((info.flags_ & tcp_flags::rst) != 0)
    {
        return 0;
    }
    if ((info.flags_ & tcp_flags::ack) != 0)
    {
        return write_segment(buffer, info.flow_, info.acknowledgement_, 0,
                             tcp_flags::rst);
    }
    auto const length =
        info.payload_bytes_ + ((info.flags_ & ends) != 0 ? 1U : 0U);
    return write_segment(buffer, info.flow_, 0, info.sequence_ + length,
                         tcp_flags::rst | tcp_flags::ack);
}

std::array<std::array<std::byte, 40>, 2> write_probes(flow_key const& flow)
{
    constexpr std::uint32_t half_of_sequence_space = 0x8000'0000;
    std::array<std::array<std::byte, 40>, 2> packets;
    write_segment(packets[0], flow, 0, 0, tcp_flags::ack);
    write_segment(packets[1], flow, half_of_sequence_space, 0, tcp_flags::ack);
    return packets;
}

flow_table::flow_table(flow_options const& options) : options_(options) {}

void flow_table::set_limits(std::uint32_t max_open_flows,
                            std::uint32_t max_half_open_flows)
{
    options_.max_open_flows_ = max_open_flows;
    options_.max_half_open_flows_ = max_half_open_flows;
}

flow_decision flow_table::decide(tunnel_header const& header,
                                 packet_info const& info, time_point now)
{
    auto const own = flows_.find(info.flow_);
    if (own != flows_.end())
    {
        if (own->second.phase_ != phase::ended || !info.opens_flow())
        {
            return make_verdict(flow_verdict::deliver);
        }
    }
    return info.opens_flow() ? decide_open(header, info, now)
                             : decide_unknown(header, info, now);
}

// Decides on a SYN of a flow that this agent doesn't own.
flow_decision flow_table::decide_open(tunnel_header header,
                                      packet_info const& info, time_point now)
{
    auto const& flow = info.flow_;
    if (auto const* owner = find_owner(flow))
    {
        add_own_denial(header);
        return forward_to(header, *owner);
    }
    bool const is_denied = is_denied_by_all(header);
    auto const* redirect = find_syn_redirect(flow, now);
    // If two agents have each forwarded a SYN of this flow to the other, the
    // agent with the lower id opens the flow.
    if (redirect != nullptr && (redirect->target_ < options_.self_ ||
                                (!is_denied && !is_denied_by_self(header))))
    {
        add_own_denial(header);
        return forward_to(header, *redirect);
    }
    auto const own_ranking = table_.pick(hash_flow(flow));
    auto const* first = first_accepting(own_ranking);
    bool const is_first = first != nullptr && is_self(*first);
    if (is_first && has_all_peer_flows(now) && has_in_view(header.ranked_))
    {
        auto const* less_loaded = less_loaded_candidate(header.ranked_, now);
        return less_loaded != nullptr
                   ? open_on(header, flow, *less_loaded, now)
                   : open_here_or_elsewhere(header, info, now);
    }
    auto const* default_owner = default_owner_of(header);
    if (is_denied)
    {
        auto const* self = find(options_.self_);
        if (self != nullptr && takes_new_work(self->state_))
        {
            return open_here_or_elsewhere(header, info, now);
        }
        return default_owner == nullptr ? make_drop(drop_reason::no_target)
                                        : forward_to(header, *default_owner);
    }
    if (first != nullptr)
    {
        insert_candidate(header, *first);
    }
    add_own_denial(header);
    default_owner = default_owner_of(header);
    auto const* next = next_undenied(header);
    if (next == nullptr)
    {
        if (default_owner == nullptr)
        {
            return make_drop(drop_reason::no_target);
        }
        if (is_self(*default_owner))
        {
            return open_here_or_elsewhere(header, info, now);
        }
        next = default_owner;
    }
    if (default_owner != nullptr && !is_self(*default_owner))
    {
        record_syn_redirect(flow, *default_owner, now);
    }
    return forward_to(header, *next);
}

// Decides on a packet other than a SYN of a flow that this agent doesn't own.
flow_decision flow_table::decide_unknown(tunnel_header header,
                                         packet_info const& info,
                                         time_point now)
{
    if (auto const* owner = find_owner(info.flow_))
    {
        add_own_denial(header);
        return forward_to(header, *owner);
    }
    // The notification of the flow's owner may still be in flight.
    auto const* redirect = find_syn_redirect(info.flow_, now);
    if (redirect != nullptr && !is_denied_by_self(header))
    {
        add_own_denial(header);
        return forward_to(header, *redirect);
    }
    auto const own_ranking = table_.pick(hash_flow(info.flow_));
    bool const is_head =
        own_ranking.size_ > 0 && is_self(own_ranking.candidates_[0]);
    if (own_ranking.size_ > 0 && !is_head)
    {
        insert_candidate(header, own_ranking.candidates_[0]);
    }
    add_own_denial(header);
    if (auto const* next = next_undenied(header))
    {
        return forward_to(header, *next);
    }
    if (own_ranking.size_ > 0 && !is_head)
    {
        return forward_to(header, own_ranking.candidates_[0]);
    }
    if (is_head && redirect == nullptr && has_all_peer_flows(now) &&
        has_in_view(header.ranked_))
    {
        return make_verdict(flow_verdict::reset);
    }
    return make_drop(drop_reason::unknown_flow);
}

flow_decision flow_table::open_here_or_elsewhere(tunnel_header const& header,
                                                 packet_info const& info,
                                                 time_point now)
{
    if (open_count_ >= options_.max_open_flows_)
    {
        return open_on_next_candidate(header, info.flow_, now);
    }
    if (!make_room(now))
    {
        return make_drop(drop_reason::half_open_limit);
    }
    open(info, now);
    return make_verdict(flow_verdict::deliver);
}

// Forwards a SYN to the next-ranked candidate that takes new work, which opens
// the flow instead of this agent.
flow_decision flow_table::open_on_next_candidate(tunnel_header header,
                                                 flow_key const& flow,
                                                 time_point now)
{
    auto const members = header.ranked_.view();
    auto const self =
        std::ranges::find(members, options_.self_, &candidate::target_);
    auto const first = self == members.end() ? members.begin() : self + 1;
    auto const next = std::find_if(first, members.end(),
                                   [this](candidate const& member) {
                                       return takes_new_work(state_of(member));
                                   });
    return next == members.end() ? make_drop(drop_reason::connection_limit)
                                 : open_on(header, flow, *next, now);
}

// Forwards a SYN with all candidates marked as denied, so that the receiver
// opens the flow.
flow_decision flow_table::open_on(tunnel_header header, flow_key const& flow,
                                  candidate const& to, time_point now)
{
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        header.denied_ |= candidate_bit(i);
    }
    auto const known = peers_.find(to.target_);
    if (known != peers_.end())
    {
        ++known->second.load_.open_count_;
    }
    record_syn_redirect(flow, to, now);
    return forward_to(header, to);
}

// Returns the candidate with the fewest flows per weight if it has clearly
// fewer than this agent, else null.
candidate const*
flow_table::less_loaded_candidate(ranked_candidates const& value,
                                  time_point now) const
{
    candidate const* best = nullptr;
    double best_share = 0;
    for (auto const& member : value.view())
    {
        auto const known = peers_.find(member.target_);
        if (known == peers_.end() || !takes_new_work(state_of(member)) ||
            now - known->second.load_.received_at_ > max_load_report_age)
        {
            continue;
        }
        auto const& load = known->second.load_;
        double const share =
            static_cast<double>(load.open_count_ + 1) / known->second.weight_;
        double const own_share =
            static_cast<double>(load.own_open_flows_) / weight_;
        if (own_share > share * placement_ratio + placement_slack / weight_ &&
            (best == nullptr || share < best_share))
        {
            best = &member;
            best_share = share;
        }
    }
    return best;
}

flow_decision flow_table::forward_to(tunnel_header header,
                                     candidate const& to) const
{
    if (header.hops_ >= max_tunnel_hops)
    {
        return make_drop(drop_reason::hop_limit);
    }
    ++header.hops_;
    header.target_ = to.target_;
    header.incarnation_ = to.incarnation_;
    for (std::uint8_t i = 0; i < header.ranked_.size_; ++i)
    {
        if (header.ranked_.candidates_[i].target_ == to.target_)
        {
            header.position_ = i;
        }
    }
    auto result = make_verdict(flow_verdict::forward);
    result.header_ = header;
    result.next_hop_ = to.tunnel_;
    return result;
}

// Evicts old half-open flows until there is room for another one. Returns false
// if there is no room.
bool flow_table::make_room(time_point now)
{
    while (half_open_count_ >= options_.max_half_open_flows_ &&
           !half_open_queue_.empty())
    {
        auto const oldest = half_open_queue_.front();
        auto const at = flows_.find(oldest.flow_);
        bool const is_current = at != flows_.end() &&
                                at->second.phase_ == phase::half_open &&
                                at->second.phase_since_ == oldest.since_;
        if (is_current && now - oldest.since_ < min_eviction_age)
        {
            return false;
        }
        half_open_queue_.pop_front();
        if (is_current)
        {
            evicted_.push_back({oldest.flow_, at->second.sequence_});
            withdraw_flow(oldest.flow_, at->second);
            flows_.erase(at);
            --half_open_count_;
            --open_count_;
        }
    }
    return half_open_count_ < options_.max_half_open_flows_;
}

void flow_table::open(packet_info const& info, time_point now)
{
    auto& flow = flows_[info.flow_];
    flow = {phase::half_open, now, info.sequence_ + 1, {}, {}, {}};
    ++open_count_;
    ++half_open_count_;
    half_open_queue_.push_back({info.flow_, now});
    syn_redirects_.erase(info.flow_);
    notify_peers(info.flow_, flow, now);
}

member_state flow_table::state_of(candidate const& value) const
{
    auto const known = peers_.find(value.target_);
    if (known == peers_.end() ||
        known->second.incarnation_ < value.incarnation_)
    {
        auto const* self = is_self(value) ? find(value.target_) : nullptr;
        return self != nullptr ? self->state_ : value.state_;
    }
    return known->second.state_;
}

bool flow_table::is_live(candidate const& value) const
{
    return may_own_flows(state_of(value));
}

bool flow_table::is_self(candidate const& value) const
{
    return value.target_ == options_.self_;
}

bool flow_table::is_denied_by_all(tunnel_header const& header) const
{
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        if ((header.denied_ & candidate_bit(i)) == 0 &&
            is_live(header.ranked_.candidates_[i]))
        {
            return false;
        }
    }
    return true;
}

bool flow_table::is_denied_by_self(tunnel_header const& header) const
{
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        if (is_self(header.ranked_.candidates_[i]))
        {
            return (header.denied_ & candidate_bit(i)) != 0;
        }
    }
    return false;
}

// True if this agent's view contains every live candidate.
bool flow_table::has_in_view(ranked_candidates const& value) const
{
    return std::ranges::all_of(value.view(),
                               [this](candidate const& member)
                               {
                                   return !is_live(member) || is_self(member) ||
                                          peers_.contains(member.target_);
                               });
}

// Marks this agent as denied. The denial carries the agent's current state,
// which other members may not know yet.
void flow_table::add_own_denial(tunnel_header& header) const
{
    auto const* self = find(options_.self_);
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        if (is_self(header.ranked_.candidates_[i]))
        {
            header.denied_ |= candidate_bit(i);
            if (self != nullptr)
            {
                header.ranked_.candidates_[i].state_ = self->state_;
            }
        }
    }
}

// Adds a member to the candidates of a packet, so that the packet is offered to
// it too. If there is no room, the member replaces the last candidate that
// hasn't denied the flow.
void flow_table::insert_candidate(tunnel_header& header,
                                  candidate const& value) const
{
    auto& candidates = header.ranked_.candidates_;
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        if (candidates[i].target_ == value.target_)
        {
            return;
        }
    }
    if (header.ranked_.size_ < max_candidates)
    {
        candidates[header.ranked_.size_++] = value;
        return;
    }
    for (std::size_t i = max_candidates; i-- > 1;)
    {
        if ((header.denied_ & candidate_bit(i)) == 0 && !is_self(candidates[i]))
        {
            candidates[i] = value;
            return;
        }
    }
}

candidate const* flow_table::next_undenied(tunnel_header const& header) const
{
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        auto const& value = header.ranked_.candidates_[i];
        if ((header.denied_ & candidate_bit(i)) == 0 && !is_self(value) &&
            is_live(value))
        {
            return &value;
        }
    }
    return nullptr;
}

candidate const*
flow_table::first_accepting(ranked_candidates const& value) const
{
    auto const members = value.view();
    auto const at =
        std::ranges::find_if(members, [this](candidate const& member)
                             { return takes_new_work(state_of(member)); });
    return at == members.end() ? nullptr : &*at;
}

// Returns the candidate that opens the flow once all candidates have denied it.
candidate const* flow_table::default_owner_of(tunnel_header const& header) const
{
    for (std::size_t i = 0; i < header.ranked_.size_; ++i)
    {
        auto const& value = header.ranked_.candidates_[i];
        bool const is_denied = (header.denied_ & candidate_bit(i)) != 0;
        if (is_live(value) &&
            takes_new_work(is_denied ? value.state_ : state_of(value)))
        {
            return &value;
        }
    }
    return nullptr;
}

candidate const* flow_table::find(target_id target) const
{
    auto const members = table_.members();
    auto const at =
        std::ranges::lower_bound(members, target, {}, &candidate::target_);
    return at == members.end() || at->target_ != target ? nullptr : &*at;
}

candidate const* flow_table::find_owner(flow_key const& flow) const
{
    auto const at = forwarding_entries_.find(flow);
    return at == forwarding_entries_.end() ? nullptr : find(at->second);
}

candidate const* flow_table::find_syn_redirect(flow_key const& flow,
                                               time_point now) const
{
    auto const at = syn_redirects_.find(flow);
    bool const is_valid = at != syn_redirects_.end() &&
                          at->second.expires_ > now && is_live(at->second.to_);
    return is_valid ? &at->second.to_ : nullptr;
}

void flow_table::record_syn_redirect(flow_key const& flow, candidate const& to,
                                     time_point now)
{
    if (syn_redirects_.size() < max_syn_redirects)
    {
        syn_redirects_[flow] = {to, now + syn_redirect_timeout};
    }
}

bool flow_table::owns(flow_key const& flow) const
{
    auto const at = flows_.find(flow);
    return at != flows_.end() && at->second.phase_ != phase::ended;
}

} // namespace daisytrail
