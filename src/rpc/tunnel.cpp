// Cap'n Proto encoding of the tunnel header.
#include "rpc/generated/messages.capnp.h"

#include <daisytrail/tunnel.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

namespace daisytrail
{

namespace
{

constexpr std::size_t word_bytes = sizeof(capnp::word);
constexpr std::size_t segment_table_bytes = 8;
constexpr std::uint64_t traversal_limit_words =
    max_tunnel_header_bytes / word_bytes;
constexpr int nesting_limit = 4;

} // namespace

std::size_t encode_tunnel_header(tunnel_header const& header,
                                 std::span<std::byte> buffer)
{
    capnp::word scratch[max_tunnel_header_bytes / word_bytes] = {};
    capnp::MallocMessageBuilder message(
        kj::arrayPtr(scratch, std::size(scratch)));
    auto root = message.initRoot<wire::TunnelHeader>();
    root.setService(header.service_);
    root.setTarget(header.target_);
    root.setIncarnation(header.incarnation_);
    root.setPosition(header.position_);
    root.setHops(header.hops_);
    root.setDenied(header.denied_);
    auto list = root.initTrail(header.ranked_.size_);
    for (unsigned i = 0; i < header.ranked_.size_; ++i)
    {
        auto const& from = header.ranked_.candidates_[i];
        auto to = list[i];
        to.setTarget(from.target_);
        to.setIncarnation(from.incarnation_);
        to.setAddress(from.tunnel_.address_);
        to.setPort(from.tunnel_.port_);
        to.setState(static_cast<std::uint8_t>(from.state_));
    }
    auto const segment = message.getSegmentsForOutput()[0].asBytes();
    auto const words = static_cast<std::uint32_t>(segment.size() / word_bytes);
    std::uint32_t const table[2] = {0, words};
    std::memcpy(buffer.data(), table, segment_table_bytes);
    std::memcpy(buffer.data() + segment_table_bytes, segment.begin(),
                segment.size());
    return segment_table_bytes + segment.size();
}

decoded_tunnel decode_tunnel(std::span<std::byte const> datagram)
{
    decoded_tunnel result;
    result.drop_ = drop_reason::bad_tunnel;
    std::uint32_t table[2] = {};
    if (datagram.size() < segment_table_bytes)
    {
        return result;
    }
    std::memcpy(table, datagram.data(), segment_table_bytes);
    std::size_t const segment_bytes = std::size_t{table[1]} * word_bytes;
    if (table[0] != 0 ||
        segment_bytes > max_tunnel_header_bytes - segment_table_bytes ||
        segment_bytes + segment_table_bytes > datagram.size())
    {
        return result;
    }
    auto const* words =
        reinterpret_cast<capnp::word const*>(datagram.data()) + 1;
    kj::ArrayPtr<capnp::word const> const segments[1] = {
        kj::arrayPtr(words, table[1])};
    try
    {
        capnp::SegmentArrayMessageReader message(
            kj::arrayPtr(segments, 1), {traversal_limit_words, nesting_limit});
        auto const root = message.getRoot<wire::TunnelHeader>();
        auto const list = root.getTrail();
        auto& header = result.header_;
        header.service_ = root.getService();
        header.target_ = root.getTarget();
        header.incarnation_ = root.getIncarnation();
        header.position_ = root.getPosition();
        header.hops_ = root.getHops();
        header.denied_ = root.getDenied();
        if (list.size() > max_candidates)
        {
            return result;
        }
        header.ranked_.size_ = static_cast<std::uint8_t>(list.size());
        for (unsigned i = 0; i < list.size(); ++i)
        {
            auto const from = list[i];
            if (from.getState() >=
                static_cast<std::uint8_t>(member_state::count))
            {
                return result;
            }
            header.ranked_.candidates_[i] = {
                from.getTarget(),
                from.getIncarnation(),
                {from.getAddress(), from.getPort()},
                static_cast<member_state>(from.getState())};
        }
        result.drop_ = drop_reason::none;
    }
    catch (kj::Exception const&)
    {
        return result;
    }
    result.packet_ = datagram.subspan(segment_table_bytes + segment_bytes);
    return result;
}

} // namespace daisytrail
