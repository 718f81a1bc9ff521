// Cap'n Proto encoding of flow messages.
#include "agent/flow_messages.hpp"

#include "rpc/generated/messages.capnp.h"

#include <daisytrail/error.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace daisytrail
{

namespace
{

// Differs from every tunnel header: a tunnel header starts with a segment count
// of one, which is encoded as 0.
constexpr std::array<std::byte, flow_message_prefix_bytes> prefix{
    std::byte{0xFF}, std::byte{0xFF}, std::byte{0xFF}, std::byte{0xFF},
    std::byte{'f'},  std::byte{'l'},  std::byte{'o'},  std::byte{'w'}};

constexpr std::uint64_t traversal_limit_words = 1'024;
constexpr int nesting_limit = 4;

std::vector<endpoint> collect_vips(flow_batch const& batch)
{
    std::vector<endpoint> vips;
    for (auto const& change : batch.changes_)
    {
        if (std::ranges::find(vips, change.flow_.vip_) == vips.end())
        {
            vips.push_back(change.flow_.vip_);
        }
    }
    return vips;
}

void write_changes(wire::FlowBatch::Builder to, flow_batch const& from)
{
    to.setView(from.view_hash_);
    to.setComplete(from.complete_);
    auto const vips = collect_vips(from);
    auto vip_list = to.initVips(static_cast<unsigned>(vips.size()));
    for (unsigned i = 0; i < vip_list.size(); ++i)
    {
        vip_list[i].setAddress(vips[i].address_);
        vip_list[i].setPort(vips[i].port_);
    }
    auto list = to.initChanges(static_cast<unsigned>(from.changes_.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        auto const& change = from.changes_[i];
        auto const vip = std::ranges::find(vips, change.flow_.vip_);
        list[i].setCaller(change.flow_.caller_.address_);
        list[i].setCallerPort(change.flow_.caller_.port_);
        list[i].setVip(static_cast<std::uint8_t>(vip - vips.begin()));
        list[i].setRemoved(change.removed_);
    }
}

void read_changes(wire::FlowBatch::Reader from, flow_batch& to)
{
    to.view_hash_ = from.getView();
    to.complete_ = from.getComplete();
    auto const vips = from.getVips();
    auto const list = from.getChanges();
    if (list.size() > max_batch_changes)
    {
        throw error(error_kind::invalid_packet, "flow batch: too many changes");
    }
    for (auto const change : list)
    {
        if (change.getVip() >= vips.size())
        {
            throw error(
                error_kind::invalid_packet,
                "flow batch: a change refers to a VIP that isn't listed");
        }
        auto const vip = vips[change.getVip()];
        to.changes_.push_back({{{change.getCaller(), change.getCallerPort()},
                                {vip.getAddress(), vip.getPort()}},
                               change.getRemoved()});
    }
}

template <typename Message>
void write_addressing(wire::FlowMessage::Builder to, Message const& from)
{
    to.setFrom(from.from_);
    to.setTo(from.to_);
    to.setFromEpoch(from.from_epoch_);
    to.setToEpoch(from.to_epoch_);
    to.setStream(from.stream_);
    to.setSequence(from.sequence_);
    to.setOpenFlows(from.open_flows_);
}

template <typename Message>
Message read_addressing(wire::FlowMessage::Reader from)
{
    Message to;
    to.from_ = from.getFrom();
    to.to_ = from.getTo();
    to.from_epoch_ = from.getFromEpoch();
    to.to_epoch_ = from.getToEpoch();
    to.stream_ = from.getStream();
    to.sequence_ = from.getSequence();
    to.open_flows_ = from.getOpenFlows();
    return to;
}

flow_message read_message(wire::FlowMessage::Reader root)
{
    switch (root.which())
    {
    case wire::FlowMessage::ACKNOWLEDGEMENT:
        return read_addressing<flow_acknowledgement>(root);
    case wire::FlowMessage::BATCH:
    {
        auto batch = read_addressing<flow_batch>(root);
        read_changes(root.getBatch(), batch);
        return batch;
    }
    }
    throw error(error_kind::invalid_packet, "unknown kind of flow message");
}

} // namespace

bool is_flow_message(std::span<std::byte const> datagram)
{
    return datagram.size() > prefix.size() &&
           std::equal(prefix.begin(), prefix.end(), datagram.begin());
}

std::vector<std::byte> add_flow_prefix(std::span<std::byte const> sealed)
{
    std::vector<std::byte> result(prefix.size() + sealed.size());
    auto const body = std::ranges::copy(prefix, result.begin()).out;
    std::ranges::copy(sealed, body);
    return result;
}

std::vector<std::byte> encode_flow_message(flow_message const& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::FlowMessage>();
    if (auto const* batch = std::get_if<flow_batch>(&message))
    {
        write_addressing(root, *batch);
        write_changes(root.initBatch(), *batch);
    }
    else
    {
        write_addressing(root, std::get<flow_acknowledgement>(message));
        root.setAcknowledgement();
    }
    auto const words = capnp::messageToFlatArray(builder);
    auto const bytes = words.asBytes();
    std::vector<std::byte> result(bytes.size());
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

flow_message decode_flow_message(std::span<std::byte const> payload)
{
    auto const* words = reinterpret_cast<capnp::word const*>(payload.data());
    try
    {
        capnp::FlatArrayMessageReader reader(
            kj::arrayPtr(words, payload.size() / sizeof(capnp::word)),
            {traversal_limit_words, nesting_limit});
        return read_message(reader.getRoot<wire::FlowMessage>());
    }
    catch (kj::Exception const&)
    {
        throw error(error_kind::invalid_packet, "malformed flow message");
    }
}

} // namespace daisytrail
