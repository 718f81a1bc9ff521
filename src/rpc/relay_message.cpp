// Cap'n Proto encoding of the head between balancer and agent.
#include "rpc/generated/forward.capnp.h"

#include <daisytrail/relay_message.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace daisytrail
{

namespace
{

constexpr std::size_t word_bytes = sizeof(capnp::word);
constexpr std::size_t segment_table_bytes = 8;
constexpr std::uint64_t traversal_limit_words =
    max_relay_head_bytes / word_bytes;
constexpr int nesting_limit = 3;
constexpr double milli = 1'000.0;

bool has_load(relay_kind kind)
{
    return kind == relay_kind::returned || kind == relay_kind::report;
}

bool has_flow(relay_kind kind)
{
    return kind == relay_kind::owner_question ||
           kind == relay_kind::owner_answer;
}

void write_flow(wire::FlowName::Builder to, flow_key const& from)
{
    to.setCallerAddress(from.caller_.address_);
    to.setCallerPort(from.caller_.port_);
    to.setVipAddress(from.vip_.address_);
    to.setVipPort(from.vip_.port_);
}

flow_key read_flow(wire::FlowName::Reader const& from)
{
    return {{from.getCallerAddress(), from.getCallerPort()},
            {from.getVipAddress(), from.getVipPort()}};
}

void write_load(wire::LoadReport::Builder to, backend_load const& from)
{
    to.setUnderWay(from.under_way_);
    to.setMeanUnderWayMilli(static_cast<std::uint32_t>(
        std::lround(std::max(0.0, from.mean_under_way_) * milli)));
    to.setServiceMicros(from.service_micros_);
    to.setOpenFlows(from.open_flows_);
    to.setShare(from.share_);
    to.setFailurePerMille(static_cast<std::uint16_t>(
        std::lround(std::clamp(from.failure_share_, 0.0, 1.0) * milli)));
}

relay_message read_head(wire::RelayHead::Reader const& root)
{
    relay_message result;
    result.service_ = root.getService();
    result.target_ = root.getTarget();
    result.revision_ = root.getRevision();
    result.kind_ = static_cast<relay_kind>(root.getKind());
    result.reason_ = static_cast<return_reason>(root.getReason());
    result.asks_owner_ = root.getAsksOwner();
    result.holding_ = static_cast<flow_holding>(root.getHolding());
    if (has_flow(result.kind_))
    {
        result.flow_ = read_flow(root.getFlow());
    }
    auto const load = root.getLoad();
    result.load_.under_way_ = load.getUnderWay();
    result.load_.mean_under_way_ = load.getMeanUnderWayMilli() / milli;
    result.load_.service_micros_ = load.getServiceMicros();
    result.load_.open_flows_ = load.getOpenFlows();
    result.load_.share_ =
        has_load(result.kind_) ? load.getShare() : backend_load{}.share_;
    result.load_.failure_share_ = load.getFailurePerMille() / milli;
    result.load_.accepts_ = root.getAccepts();
    return result;
}

} // namespace

std::size_t encode_relay_head(relay_message const& message,
                              std::span<std::byte> buffer)
{
    capnp::word scratch[max_relay_head_bytes / word_bytes] = {};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch, std::size(scratch)));
    auto root = builder.initRoot<wire::RelayHead>();
    root.setService(message.service_);
    root.setTarget(message.target_);
    root.setRevision(message.revision_);
    root.setKind(static_cast<std::uint8_t>(message.kind_));
    root.setReason(static_cast<std::uint8_t>(message.reason_));
    root.setAccepts(message.load_.accepts_);
    root.setAsksOwner(message.asks_owner_);
    root.setHolding(static_cast<std::uint8_t>(message.holding_));
    if (has_flow(message.kind_))
    {
        write_flow(root.initFlow(), message.flow_);
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

std::optional<relay_reading> decode_relay(std::span<std::byte const> datagram)
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
        auto const message = read_head(reader.getRoot<wire::RelayHead>());
        if (message.kind_ >= relay_kind::count ||
            message.reason_ >= return_reason::count ||
            message.holding_ >= flow_holding::count)
        {
            return std::nullopt;
        }
        return relay_reading{
            message, datagram.subspan(segment_table_bytes + segment_bytes)};
    }
    catch (kj::Exception const&)
    {
        return std::nullopt;
    }
}

} // namespace daisytrail
