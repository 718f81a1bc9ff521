// Behaviour of callers and backend servers as the platform's page has it.
#include "support/flow_ends.hpp"

#include <algorithm>
#include <array>

namespace daisytrail
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned number_shift = 24;
constexpr std::uint32_t window_bytes = 76'800;
// As long as it would repeat an answer.
constexpr milliseconds half_open_time{9'400};
constexpr std::uint32_t sequence_step = 1'024;
constexpr std::uint32_t answer_bytes = 8;
constexpr std::uint32_t data_bytes = 16;
constexpr std::uint32_t most_packets = 4; // in flight
constexpr std::array<milliseconds, 3> syn_times{
    milliseconds(0), milliseconds(200), milliseconds(600)};
constexpr milliseconds syn_lifetime{1'400};
constexpr milliseconds first_patience{200};
constexpr milliseconds most_patience{1'600};
constexpr std::uint32_t most_retransmissions = 8;
// One pause in so many is a long one.
constexpr unsigned long_pause_share = 4;
// One flow in so many is closed soon.
constexpr unsigned short_flow_share = 2;

bool is_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

flow_backend::flow_backend(int number)
    : next_sequence_(static_cast<std::uint32_t>(number) << number_shift)
{
}

int flow_backend::sender_of_reset(flow_packet const& packet)
{
    return static_cast<int>(packet.sequence_ >> number_shift);
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
                          now > found->second.began_ + half_open_time;
    if (is_stale)
    {
        flows_.erase(found);
        found = flows_.end();
    }
    if (found == flows_.end())
    {
        return ended_.contains(key) ? on_ended(packet)
                                    : outcome{{return_packet(bytes)}};
    }
    auto& flow = found->second;
    outcome result;
    if (!flow.is_open_)
    {
        auto const beyond = packet.acknowledgement_ - (flow.own_sequence_ + 1);
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
        result.answers_.push_back(make_packet(
            flags, packet.destination_, packet.source_,
            flow.own_sequence_ + 1 + flow.sent_, flow.expected_, bytes_sent));
        flow.sent_ += bytes_sent;
    };
    if (packet.payload_bytes_ > 0)
    {
        bool const is_next = packet.sequence_ == flow.expected_;
        flow.expected_ +=
            is_next ? static_cast<std::uint32_t>(packet.payload_bytes_) : 0;
        answer(flag_ack, is_next ? answer_bytes : 0);
    }
    if (packet.fin_ && packet.sequence_ == flow.expected_)
    {
        ++flow.expected_;
        answer(flag_fin | flag_ack, 0);
        ended_.insert(key);
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
        flow.own_sequence_ = next_sequence_;
        flow.expected_ = packet.sequence_ + 1;
        flow.began_ = now;
        next_sequence_ += sequence_step;
    }
    outcome result;
    result.is_handshake_ = true;
    result.answers_.push_back(
        make_packet(flag_syn | flag_ack, packet.destination_, packet.source_,
                    flow.own_sequence_, packet.sequence_ + 1));
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
    : source_(source), vip_(vip), random_(seed), began_(now), next_(now),
      sequence_(static_cast<std::uint32_t>(random_()))
{
    sent_ = sequence_ + 1;
    acknowledged_ = sent_;
    closes_ = now + (random_() % short_flow_share == 0
                         ? draw(milliseconds(500), milliseconds(3'000))
                         : draw(milliseconds(20'000), milliseconds(60'000)));
}

duration flow_caller::draw(milliseconds least, milliseconds most)
{
    std::uniform_int_distribution<std::int64_t> times(least.count(),
                                                      most.count());
    return milliseconds(times(random_));
}

packet_bytes flow_caller::packet(std::uint8_t flags, std::uint32_t sequence,
                                 std::uint32_t bytes) const
{
    return make_packet(flags, source_, vip_, sequence, received_, bytes);
}

std::vector<packet_bytes> flow_caller::tick(time_point now)
{
    if (has_ended() || now < next_)
    {
        return {};
    }
    if (state_ == caller_state::opening)
    {
        return open(now);
    }
    if (acknowledged_ != sent_)
    {
        return retry(now);
    }
    if (now >= closes_)
    {
        state_ = caller_state::closing;
        ++sent_;
    }
    else
    {
        sent_ += data_bytes *
                 (1 + static_cast<std::uint32_t>(random_() % most_packets));
    }
    patience_ = first_patience;
    attempts_ = 0;
    wait_for_answer(now);
    return unacknowledged();
}

std::vector<packet_bytes> flow_caller::open(time_point now)
{
    if (attempts_ == syn_times.size())
    {
        state_ = caller_state::unopened;
        return {};
    }
    // A SYN carries the number of its copy.
    auto const syn = make_packet(flag_syn, source_, vip_, sequence_, attempts_);
    ++attempts_;
    next_ = began_ + (attempts_ == syn_times.size() ? syn_lifetime
                                                    : syn_times[attempts_]);
    next_ = std::max(next_, now);
    return {syn};
}

std::vector<packet_bytes> flow_caller::retry(time_point now)
{
    if (++attempts_ > most_retransmissions)
    {
        state_ = caller_state::gave_up;
        return {};
    }
    wait_for_answer(now);
    return unacknowledged();
}

void flow_caller::wait_for_answer(time_point now)
{
    next_ = now + patience_;
    patience_ = std::min<duration>(2 * patience_, most_patience);
}

std::vector<packet_bytes> flow_caller::unacknowledged() const
{
    if (state_ == caller_state::closing)
    {
        return {packet(flag_fin | flag_ack, acknowledged_)};
    }
    std::vector<packet_bytes> result;
    for (auto at = acknowledged_; at != sent_; at += data_bytes)
    {
        result.push_back(packet(flag_ack, at, data_bytes));
    }
    return result;
}

std::vector<packet_bytes> flow_caller::on_packet(flow_packet const& packet_in,
                                                 time_point now)
{
    if (has_ended())
    {
        return {};
    }
    if (packet_in.reset_)
    {
        state_ = state_ == caller_state::opening ? caller_state::refused
                                                 : caller_state::reset;
        return {};
    }
    if (state_ == caller_state::opening)
    {
        if (!packet_in.syn_)
        {
            return {};
        }
        state_ = caller_state::open;
        received_ = packet_in.sequence_ + 1;
        next_ = now;
        return tick(now);
    }
    if (packet_in.syn_)
    {
        return {}; // of another server, or a copy
    }
    auto const end = packet_in.sequence_ +
                     static_cast<std::uint32_t>(packet_in.payload_bytes_);
    received_ = is_after(end, received_) ? end : received_;
    bool const is_news = is_after(packet_in.acknowledgement_, acknowledged_) &&
                         !is_after(packet_in.acknowledgement_, sent_);
    if (!is_news)
    {
        return {};
    }
    acknowledged_ = packet_in.acknowledgement_;
    attempts_ = 0;
    if (acknowledged_ != sent_)
    {
        return {};
    }
    if (state_ == caller_state::closing)
    {
        state_ = caller_state::closed;
        return {};
    }
    next_ = now + (random_() % long_pause_share == 0
                       ? draw(milliseconds(2'000), milliseconds(7'000))
                       : draw(milliseconds(100), milliseconds(600)));
    return {packet(flag_ack, sent_)};
}

} // namespace daisytrail
