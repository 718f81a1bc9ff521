// Behaviour of callers and backend servers as the platform specifies it.
#include "support/flow_ends.hpp"

#include <algorithm>
#include <array>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned server_number_shift = 24;
constexpr std::uint32_t window_bytes = 76'800;
// A half-open flow expires when a server would stop retransmitting its SYN+ACK.
constexpr milliseconds half_open_timeout{9'400};
constexpr std::uint32_t sequence_step = 1'024;
constexpr std::uint32_t answer_bytes = 8;
constexpr std::uint32_t data_bytes = 16;
constexpr std::uint32_t max_packets_in_flight = 4;
constexpr std::array<milliseconds, 3> syn_send_times{
    milliseconds(0), milliseconds(200), milliseconds(600)};
constexpr milliseconds syn_lifetime{1'400};
constexpr milliseconds initial_retransmission_timeout{200};
constexpr milliseconds max_retransmission_timeout{1'600};
constexpr std::uint32_t max_retransmissions = 8;
// One of this many pauses is long.
constexpr unsigned pauses_per_long_pause = 4;
// One of this many flows is closed after a short time.
constexpr unsigned flows_per_short_flow = 2;

bool is_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

flow_backend::flow_backend(int number)
    : next_sequence_(static_cast<std::uint32_t>(number) << server_number_shift)
{
}

int flow_backend::reset_sender(flow_packet const& packet)
{
    return static_cast<int>(packet.sequence_ >> server_number_shift);
}

flow_backend::outcome flow_backend::on_packet(std::span<std::byte const> bytes,
                                              flow_packet const& packet,
                                              time_point now)
{
    if (packet.opens_flow())
    {
        return on_syn(packet, now);
    }
    auto const key = packet.flow_from_caller();
    auto found = flows_.find(key);
    bool const is_stale = found != flows_.end() && !found->second.is_open_ &&
                          now > found->second.started_at_ + half_open_timeout;
    if (is_stale)
    {
        flows_.erase(found);
        found = flows_.end();
    }
    if (found == flows_.end())
    {
        return ended_flows_.contains(key) ? on_ended(packet)
                                          : outcome{{return_packet(bytes)}};
    }
    auto& flow = found->second;
    outcome result;
    if (!flow.is_open_)
    {
        auto const beyond =
            packet.acknowledgement_ - (flow.server_sequence_ + 1);
        if (beyond > window_bytes)
        {
            result.answers_.push_back(reset(packet));
            flows_.erase(found);
            return result;
        }
        flow.is_open_ = true;
        result.has_opened_ = true;
    }
    auto const answer = [&](std::uint8_t flags, std::uint32_t bytes_sent)
    {
        result.answers_.push_back(
            make_packet(flags, packet.destination_, packet.source_,
                        flow.server_sequence_ + 1 + flow.sent_bytes_,
                        flow.expected_sequence_, bytes_sent));
        flow.sent_bytes_ += bytes_sent;
    };
    if (packet.payload_bytes_ > 0)
    {
        bool const is_next = packet.sequence_ == flow.expected_sequence_;
        flow.expected_sequence_ +=
            is_next ? static_cast<std::uint32_t>(packet.payload_bytes_) : 0;
        answer(flag_ack, is_next ? answer_bytes : 0);
    }
    if (packet.fin_ && packet.sequence_ == flow.expected_sequence_)
    {
        ++flow.expected_sequence_;
        answer(flag_fin | flag_ack, 0);
        ended_flows_.insert(key);
        flows_.erase(found);
    }
    return result;
}

flow_backend::outcome flow_backend::on_syn(flow_packet const& packet,
                                           time_point now)
{
    auto const [at, is_new] = flows_.try_emplace(packet.flow_from_caller());
    auto& flow = at->second;
    if (is_new)
    {
        flow.server_sequence_ = next_sequence_;
        flow.expected_sequence_ = packet.sequence_ + 1;
        flow.started_at_ = now;
        next_sequence_ += sequence_step;
    }
    outcome result;
    result.is_handshake_ = true;
    result.answers_.push_back(
        make_packet(flag_syn | flag_ack, packet.destination_, packet.source_,
                    flow.server_sequence_, packet.sequence_ + 1));
    return result;
}

flow_backend::outcome flow_backend::on_ended(flow_packet const& packet) const
{
    outcome result;
    if (packet.fin_)
    {
        result.answers_.push_back(make_packet(
            flag_fin | flag_ack, packet.destination_, packet.source_,
            packet.acknowledgement_, packet.sequence_ + 1));
    }
    else if (packet.payload_bytes_ > 0)
    {
        result.answers_.push_back(reset(packet));
    }
    return result;
}

packet_bytes flow_backend::reset(flow_packet const& packet) const
{
    return make_packet(flag_reset, packet.destination_, packet.source_,
                       next_sequence_, packet.sequence_);
}

flow_caller::flow_caller(endpoint const& source, endpoint const& vip,
                         std::uint64_t seed, time_point now)
    : source_(source), vip_(vip), random_(seed), started_at_(now),
      next_action_at_(now), sequence_(static_cast<std::uint32_t>(random_()))
{
    send_next_ = sequence_ + 1;
    send_unacknowledged_ = send_next_;
    close_at_ = now + (random_() % flows_per_short_flow == 0
                           ? draw(milliseconds(500), milliseconds(3'000))
                           : draw(milliseconds(20'000), milliseconds(60'000)));
}

duration flow_caller::draw(milliseconds shortest, milliseconds longest)
{
    std::uniform_int_distribution<std::int64_t> times(shortest.count(),
                                                      longest.count());
    return milliseconds(times(random_));
}

packet_bytes flow_caller::packet(std::uint8_t flags, std::uint32_t sequence,
                                 std::uint32_t bytes) const
{
    return make_packet(flags, source_, vip_, sequence, receive_next_, bytes);
}

std::vector<packet_bytes> flow_caller::tick(time_point now)
{
    if (has_ended() || now < next_action_at_)
    {
        return {};
    }
    if (state_ == caller_state::opening)
    {
        return open(now);
    }
    if (send_unacknowledged_ != send_next_)
    {
        return retransmit(now);
    }
    if (now >= close_at_)
    {
        state_ = caller_state::closing;
        ++send_next_;
    }
    else
    {
        send_next_ +=
            data_bytes *
            (1 + static_cast<std::uint32_t>(random_() % max_packets_in_flight));
    }
    retransmission_timeout_ = initial_retransmission_timeout;
    attempts_ = 0;
    schedule_retransmission(now);
    return unacknowledged();
}

std::vector<packet_bytes> flow_caller::open(time_point now)
{
    if (attempts_ == syn_send_times.size())
    {
        state_ = caller_state::unanswered;
        return {};
    }
    // The acknowledgement field of a SYN holds the number of the attempt.
    auto const syn = make_packet(flag_syn, source_, vip_, sequence_, attempts_);
    ++attempts_;
    next_action_at_ = started_at_ + (attempts_ == syn_send_times.size()
                                         ? syn_lifetime
                                         : syn_send_times[attempts_]);
    next_action_at_ = std::max(next_action_at_, now);
    return {syn};
}

std::vector<packet_bytes> flow_caller::retransmit(time_point now)
{
    if (++attempts_ > max_retransmissions)
    {
        state_ = caller_state::timed_out;
        return {};
    }
    schedule_retransmission(now);
    return unacknowledged();
}

void flow_caller::schedule_retransmission(time_point now)
{
    next_action_at_ = now + retransmission_timeout_;
    retransmission_timeout_ = std::min<duration>(2 * retransmission_timeout_,
                                                 max_retransmission_timeout);
}

std::vector<packet_bytes> flow_caller::unacknowledged() const
{
    if (state_ == caller_state::closing)
    {
        return {packet(flag_fin | flag_ack, send_unacknowledged_)};
    }
    std::vector<packet_bytes> result;
    for (auto at = send_unacknowledged_; at != send_next_; at += data_bytes)
    {
        result.push_back(packet(flag_ack, at, data_bytes));
    }
    return result;
}

std::vector<packet_bytes> flow_caller::on_packet(flow_packet const& received,
                                                 time_point now)
{
    if (has_ended())
    {
        return {};
    }
    if (received.reset_)
    {
        state_ = state_ == caller_state::opening ? caller_state::refused
                                                 : caller_state::reset;
        return {};
    }
    if (state_ == caller_state::opening)
    {
        if (!received.syn_)
        {
            return {};
        }
        state_ = caller_state::open;
        receive_next_ = received.sequence_ + 1;
        next_action_at_ = now;
        return tick(now);
    }
    if (received.syn_)
    {
        return {}; // from another server, or a duplicate
    }
    auto const end = received.sequence_ +
                     static_cast<std::uint32_t>(received.payload_bytes_);
    receive_next_ = is_after(end, receive_next_) ? end : receive_next_;
    bool const is_new_acknowledgement =
        is_after(received.acknowledgement_, send_unacknowledged_) &&
        !is_after(received.acknowledgement_, send_next_);
    if (!is_new_acknowledgement)
    {
        return {};
    }
    send_unacknowledged_ = received.acknowledgement_;
    attempts_ = 0;
    if (send_unacknowledged_ != send_next_)
    {
        return {};
    }
    if (state_ == caller_state::closing)
    {
        state_ = caller_state::closed;
        return {};
    }
    next_action_at_ =
        now + (random_() % pauses_per_long_pause == 0
                   ? draw(milliseconds(2'000), milliseconds(7'000))
                   : draw(milliseconds(100), milliseconds(600)));
    return {packet(flag_ack, send_next_)};
}

} // namespace daisytrail
