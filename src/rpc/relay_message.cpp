// Cap'n Proto encoding of the head of datagrams between balancer and agent.
#include "rpc/generated/forward.capnp.h"

#include <daisytrail/relay_message.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr std::size_t word_bytes = sizeof(capnp::word);
constexpr std::size_t segment_table_bytes = 8;
constexpr std::uint64_t traversal_limit_words =
    max_relay_head_bytes / word_bytes;
constexpr int nesting_limit = 3;
// Size of a head without flows, and of each flow in its list.
constexpr std::size_t base_head_words = 16;
constexpr std::size_t flow_words = 2;
constexpr std::size_t scratch_words =
    base_head_words + flow_words * max_queried_flows;
static_assert(segment_table_bytes + scratch_words * word_bytes <=
              max_relay_head_bytes);
constexpr double milli = 1'000.0;

bool has_load(relay_kind kind)
{
    return kind == relay_kind::returned || kind == relay_kind::report ||
           kind == relay_kind::syn_waits;
}

bool carries_flows(relay_kind kind)
{
    return kind == relay_kind::owner_question ||
           kind == relay_kind::owner_answer || kind == relay_kind::syn_waits;
}

void write_flow(wire::AskedFlow::Builder to, queried_flow const& from)
{
    to.setCallerAddress(from.flow_.caller_.address_);
    to.setCallerPort(from.flow_.caller_.port_);
    to.setVipAddress(from.flow_.vip_.address_);
    to.setVipPort(from.flow_.vip_.port_);
    to.setHolding(static_cast<std::uint8_t>(from.ownership_));
}

queried_flow read_flow(wire::AskedFlow::Reader const& from)
{
    return {{{from.getCallerAddress(), from.getCallerPort()},
             {from.getVipAddress(), from.getVipPort()}},
            static_cast<flow_ownership>(from.getHolding())};
}

void write_flows(wire::RelayHead::Builder root,
                 std::vector<queried_flow> const& flows)
{
    auto list = root.initFlows(static_cast<unsigned>(flows.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        write_flow(list[i], flows[i]);
    }
}

// Returns false if the number of flows doesn't fit the message's kind or a
// flow's ownership is no known value.
bool read_flows(wire::RelayHead::Reader const& root, relay_message& to)
{
    auto const list = root.getFlows();
    bool const has_valid_size =
        carries_flows(to.kind_)
            ? list.size() > 0 && list.size() <= max_queried_flows
            : list.size() == 0;
    if (!has_valid_size)
    {
        return false;
    }
    to.queried_flows_.reserve(list.size());
    for (auto const each : list)
    {
        to.queried_flows_.push_back(read_flow(each));
    }
    return std::ranges::all_of(
        to.queried_flows_, [](queried_flow const& each)
        { return each.ownership_ < flow_ownership::count; });
}

void write_load(wire::LoadReport::Builder to, backend_load const& from)
{
    to.setUnderWay(from.in_flight_);
    to.setMeanUnderWayMilli(static_cast<std::uint32_t>(
        std::lround(std::max(0.0, from.mean_in_flight_) * milli)));
    to.setServiceMicros(from.service_micros_);
    to.setOpenFlows(from.open_flows_);
    to.setShare(from.speed_percent_);
    to.setFailurePerMille(static_cast<std::uint16_t>(
        std::lround(std::clamp(from.failure_ratio_, 0.0, 1.0) * milli)));
}

relay_message read_head(wire::RelayHead::Reader const& root)
{
    relay_message result;
    result.service_ = root.getService();
    result.target_ = root.getTarget();
    result.version_ = root.getVersion();
    result.kind_ = static_cast<relay_kind>(root.getKind());
    result.reason_ = static_cast<return_reason>(root.getReason());
    result.is_owner_unknown_ = root.getAsksOwner();
    result.idle_limit_ = std::chrono::milliseconds(root.getIdleLimitMs());
    auto const load = root.getLoad();
    result.load_.in_flight_ = load.getUnderWay();
    result.load_.mean_in_flight_ = load.getMeanUnderWayMilli() / milli;
    result.load_.service_micros_ = load.getServiceMicros();
    result.load_.open_flows_ = load.getOpenFlows();
    result.load_.speed_percent_ = has_load(result.kind_)
                                      ? load.getShare()
                                      : backend_load{}.speed_percent_;
    result.load_.failure_ratio_ = load.getFailurePerMille() / milli;
    result.load_.accepts_ = root.getAccepts();
    return result;
}

} // namespace

std::size_t encode_relay_head(relay_message const& message,
                              std::span<std::byte> buffer)
{
    capnp::word scratch[scratch_words];
    auto const words =
        base_head_words + flow_words * message.queried_flows_.size();
    std::memset(scratch, 0, words * word_bytes);
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, words));
    auto root = builder.initRoot<wire::RelayHead>();
    root.setService(message.service_);
    root.setTarget(message.target_);
    root.setVersion(message.version_);
    root.setKind(static_cast<std::uint8_t>(message.kind_));
    root.setReason(static_cast<std::uint8_t>(message.reason_));
    root.setAccepts(message.load_.accepts_);
    root.setAsksOwner(message.is_owner_unknown_);
    root.setIdleLimitMs(
        static_cast<std::uint32_t>(message.idle_limit_.count()));
    if (carries_flows(message.kind_))
    {
        write_flows(root, message.queried_flows_);
    }
    if (has_load(message.kind_))
    {
        write_load(root.initLoad(), message.load_);
    }
    auto const segment = builder.getSegmentsForOutput()[0].asBytes();
    std::uint32_t const table[2] = {
        0, static_cast<std::uint32_t>(segment.size() / word_bytes)};
    std::memcpy(buffer.data(), table, segment_table_bytes);
    std::memcpy(buffer.data() + segment_table_bytes, segment.begin(),
                segment.size());
    return segment_table_bytes + segment.size();
}

std::optional<decoded_relay> decode_relay(std::span<std::byte const> datagram)
{
    std::uint32_t table[2] = {};
    if (datagram.size() < segment_table_bytes)
    {
        return std::nullopt;
    }
    std::memcpy(table, datagram.data(), segment_table_bytes);
    std::size_t const segment_bytes = std::size_t{table[1]} * word_bytes;
    if (table[0] != 0 ||
        segment_bytes > max_relay_head_bytes - segment_table_bytes ||
        segment_bytes + segment_table_bytes > datagram.size())
    {
        return std::nullopt;
    }
    auto const* words =
        reinterpret_cast<capnp::word const*>(datagram.data()) + 1;
    kj::ArrayPtr<capnp::word const> const segments[1] = {
        kj::arrayPtr(words, table[1])};
    try
    {
        capnp::SegmentArrayMessageReader reader(
            kj::arrayPtr(segments, 1), {traversal_limit_words, nesting_limit});
        auto const root = reader.getRoot<wire::RelayHead>();
        auto message = read_head(root);
        if (message.kind_ >= relay_kind::count ||
            message.reason_ >= return_reason::count ||
            !read_flows(root, message))
        {
            return std::nullopt;
        }
        return decoded_relay{
            std::move(message),
            datagram.subspan(segment_table_bytes + segment_bytes)};
    }
    catch (kj::Exception const&)
    {
        return std::nullopt;
    }
}

} // namespace daisytrail
