// Conversion between control_message values and packed Cap'n Proto messages.
#include "rpc/control_messages.hpp"

#include "rpc/generated/control.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <algorithm>

namespace daisytrail
{

namespace
{

using builder = wire::ControlMessage::Builder;
using reader = wire::ControlMessage::Reader;

constexpr std::uint64_t traversal_limit_words = 16'384;
constexpr int nesting_limit = 8;

// Thrown by the read functions for invalid values and caught in
// decode_control().
struct malformed_message
{
};

template <typename Enum>
Enum read_enum(std::uint8_t value)
{
    if (value >= static_cast<std::uint8_t>(Enum::count))
    {
        throw malformed_message{};
    }
    return static_cast<Enum>(value);
}

void write(wire::Endpoint::Builder to, endpoint const& from)
{
    to.setAddress(from.address_);
    to.setPort(from.port_);
}

endpoint read(wire::Endpoint::Reader from)
{
    return {from.getAddress(), from.getPort()};
}

void write(wire::Item::Builder to, item const& from)
{
    to.setId(from.id_);
    to.setIncarnation(from.version_.incarnation_);
    to.setSequence(from.version_.sequence_);
    to.setKind(static_cast<std::uint8_t>(from.kind_));
    to.setState(static_cast<std::uint8_t>(from.state_));
}

item read(wire::Item::Reader from)
{
    return {read_enum<item_kind>(from.getKind()),
            from.getId(),
            {from.getIncarnation(), from.getSequence()},
            read_enum<member_state>(from.getState())};
}

void write(wire::Contact::Builder to, contact const& from)
{
    to.setId(from.id_);
    to.setAddress(from.control_.address_);
    to.setPort(from.control_.port_);
}

contact read(wire::Contact::Reader from)
{
    return {from.getId(), {from.getAddress(), from.getPort()}};
}

void write(wire::Record::Builder to, target_record const& from)
{
    write(to.initItem(),
          item{item_kind::member, from.target_, from.version_, from.state_});
    to.setService(from.service_);
    to.setName(from.name_);
    to.setFailureDomain(from.failure_domain_);
    write(to.initTunnel(), from.tunnel_);
    write(to.initControl(), from.control_);
    if (from.rpc_ != endpoint{})
    {
        write(to.initRpc(), from.rpc_);
    }
    to.setSlots(from.slots_);
    to.setConnections(from.connections_);
    to.setWeight(from.weight_);
}

target_record read(wire::Record::Reader from)
{
    auto const version = read(from.getItem());
    target_record to;
    to.target_ = version.id_;
    to.version_ = version.version_;
    to.state_ = version.state_;
    to.service_ = from.getService();
    to.name_ = from.getName().cStr();
    to.failure_domain_ = from.getFailureDomain().cStr();
    to.tunnel_ = read(from.getTunnel());
    to.control_ = read(from.getControl());
    to.rpc_ = read(from.getRpc());
    to.slots_ = from.getSlots();
    to.connections_ = from.getConnections();
    to.weight_ = from.getWeight();
    return to;
}

template <typename List, typename Values>
void write_list(List to, Values const& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        write(to[i], from[i]);
    }
}

template <typename Value, typename List>
std::vector<Value> read_list(List from)
{
    std::vector<Value> to;
    to.reserve(from.size());
    for (auto const value : from)
    {
        to.push_back(read(value));
    }
    return to;
}

template <typename List>
std::vector<std::uint64_t> read_numbers(List from)
{
    std::vector<std::uint64_t> to;
    to.reserve(from.size());
    for (auto const value : from)
    {
        to.push_back(value);
    }
    return to;
}

template <typename List>
void write_numbers(List to, std::vector<std::uint64_t> const& from)
{
    for (unsigned i = 0; i < to.size(); ++i)
    {
        to.set(i, from[i]);
    }
}

unsigned size_of(auto const& values)
{
    return static_cast<unsigned>(values.size());
}

// Visitor that encodes a message; has one overload for each message type.
struct writer
{
    builder to_;

    void operator()(ping_message const& from)
    {
        to_.setPing(from.subject_);
    }

    void operator()(pong_message const& from)
    {
        write(to_.initPong(), from.self_);
    }

    void operator()(probe_request const& from)
    {
        write(to_.initProbeRequest(), from.subject_);
    }

    void operator()(probe_answer const& from)
    {
        auto to = to_.initProbeAnswer();
        to.setSubject(from.subject_);
        to.setAlive(from.alive_);
    }

    void operator()(digest_message const& from)
    {
        auto to = to_.initDigest();
        to.setRoot(from.root_);
        to.setComplete(from.complete_);
        write_list(to.initItems(size_of(from.items_)), from.items_);
    }

    void operator()(pull_message const& from)
    {
        write_numbers(to_.initPull(size_of(from.ids_)), from.ids_);
    }

    void operator()(records_message const& from)
    {
        write_list(to_.initRecords(size_of(from.records_)), from.records_);
    }

    void operator()(tree_message const& from)
    {
        auto to = to_.initTree();
        to.setLevel(from.level_);
        to.setPrefix(from.prefix_);
        write_numbers(to.initHashes(size_of(from.hashes_)), from.hashes_);
    }

    void operator()(branch_message const& from)
    {
        auto to = to_.initBranch();
        to.setLevel(from.level_);
        to.setPrefix(from.prefix_);
        write_list(to.initItems(size_of(from.items_)), from.items_);
    }

    void operator()(heartbeat_message const& from)
    {
        auto to = to_.initHeartbeat();
        write(to.initRecord(), from.record_);
        to.setOrganisation(from.organisation_);
        to.setVersion(from.version_);
        to.setPeersHash(from.peers_hash_);
        to.setObserversHash(from.observers_hash_);
    }

    void operator()(heartbeat_ack const& from)
    {
        auto to = to_.initHeartbeatAck();
        write(to.initKnown(), from.known_);
        write_list(to.initObservers(size_of(from.observers_)), from.observers_);
    }

    void operator()(template_request const& from)
    {
        auto to = to_.initTemplateRequest();
        to.setOrganisation(from.organisation_);
        to.setVersion(from.version_);
        to.setIndex(from.index_);
        to.setCount(from.count_);
        to.setAcceptsCompressed(from.accepts_compressed_);
        to.setBaseHash(from.base_hash_);
    }

    void operator()(template_chunk const& from)
    {
        auto to = to_.initTemplateChunk();
        to.setOrganisation(from.organisation_);
        to.setVersion(from.version_);
        to.setIndex(from.index_);
        to.setCount(from.count_);
        to.setBytes(
            kj::StringPtr(from.bytes_.c_str(), from.bytes_.size()).asBytes());
        to.setCompressed(from.is_compressed_);
        to.setBaseHash(from.base_hash_);
    }

    void operator()(view_question const& from)
    {
        auto to = to_.initViewQuestion();
        to.setRound(from.round_);
        to.setTargetsHash(from.targets_hash_);
    }

    void operator()(view_answer const& from)
    {
        auto to = to_.initViewAnswer();
        to.setRound(from.round_);
        to.setTargetsHash(from.targets_hash_);
        to.setSettled(from.can_confirm_);
        write_numbers(to.initLatest(size_of(from.latest_changes_)),
                      from.latest_changes_);
    }
};

control_message read_heartbeat(wire::Heartbeat::Reader from)
{
    return heartbeat_message{read(from.getRecord()), from.getOrganisation(),
                             from.getVersion(), from.getPeersHash(),
                             from.getObserversHash()};
}

control_message read_request(wire::TemplateRequest::Reader from)
{
    return template_request{from.getOrganisation(),
                            from.getVersion(),
                            from.getIndex(),
                            from.getCount(),
                            from.getAcceptsCompressed(),
                            from.getBaseHash()};
}

control_message read_chunk(wire::TemplateChunk::Reader from)
{
    auto const bytes = from.getBytes().asChars();
    return template_chunk{from.getOrganisation().cStr(),
                          from.getVersion(),
                          from.getIndex(),
                          from.getCount(),
                          std::string(bytes.begin(), bytes.end()),
                          from.getCompressed(),
                          from.getBaseHash()};
}

control_message read_view_answer(wire::ViewAnswer::Reader from)
{
    return view_answer{from.getRound(), from.getTargetsHash(),
                       from.getSettled(), read_numbers(from.getLatest())};
}

control_message read_message(reader from)
{
    switch (from.which())
    {
    case wire::ControlMessage::PING:
        return ping_message{from.getPing()};
    case wire::ControlMessage::PONG:
        return pong_message{read(from.getPong())};
    case wire::ControlMessage::PROBE_REQUEST:
        return probe_request{read(from.getProbeRequest())};
    case wire::ControlMessage::PROBE_ANSWER:
        return probe_answer{from.getProbeAnswer().getSubject(),
                            from.getProbeAnswer().getAlive()};
    case wire::ControlMessage::DIGEST:
        return digest_message{from.getDigest().getRoot(),
                              read_list<item>(from.getDigest().getItems()),
                              from.getDigest().getComplete()};
    case wire::ControlMessage::PULL:
        return pull_message{read_numbers(from.getPull())};
    case wire::ControlMessage::RECORDS:
        return records_message{read_list<target_record>(from.getRecords())};
    case wire::ControlMessage::TREE:
        return tree_message{from.getTree().getLevel(),
                            from.getTree().getPrefix(),
                            read_numbers(from.getTree().getHashes())};
    case wire::ControlMessage::BRANCH:
        return branch_message{from.getBranch().getLevel(),
                              from.getBranch().getPrefix(),
                              read_list<item>(from.getBranch().getItems())};
    case wire::ControlMessage::HEARTBEAT:
        return read_heartbeat(from.getHeartbeat());
    case wire::ControlMessage::HEARTBEAT_ACK:
        return heartbeat_ack{
            read(from.getHeartbeatAck().getKnown()),
            read_list<contact>(from.getHeartbeatAck().getObservers())};
    case wire::ControlMessage::TEMPLATE_REQUEST:
        return read_request(from.getTemplateRequest());
    case wire::ControlMessage::TEMPLATE_CHUNK:
        return read_chunk(from.getTemplateChunk());
    case wire::ControlMessage::VIEW_QUESTION:
        return view_question{from.getViewQuestion().getRound(),
                             from.getViewQuestion().getTargetsHash()};
    case wire::ControlMessage::VIEW_ANSWER:
        return read_view_answer(from.getViewAnswer());
    }
    throw malformed_message{};
}

} // namespace

send_class send_class_of(control_message const& message)
{
    if (auto const* digest = std::get_if<digest_message>(&message))
    {
        bool const is_news =
            digest->root_ == 0 && !digest->items_.empty() &&
            std::ranges::all_of(
                digest->items_, [](item const& value)
                { return value.kind_ == item_kind::organisation; });
        return is_news ? send_class::change_notice : send_class::urgent;
    }
    bool const bulk = std::holds_alternative<template_chunk>(message) ||
                      std::holds_alternative<template_request>(message) ||
                      std::holds_alternative<tree_message>(message);
    return bulk ? send_class::bulk : send_class::urgent;
}

std::vector<std::byte> encode_control(control_message const& message)
{
    capnp::MallocMessageBuilder encoded;
    std::visit(writer{encoded.initRoot<wire::ControlMessage>()}, message);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, encoded);
    auto const bytes = out.getArray();
    std::vector<std::byte> result(bytes.size());
    std::transform(bytes.begin(), bytes.end(), result.begin(),
                   [](kj::byte value) { return std::byte{value}; });
    return result;
}

std::optional<control_message> decode_control(std::span<std::byte const> bytes)
{
    try
    {
        kj::ArrayInputStream in(kj::arrayPtr(
            reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader encoded(
            in, {traversal_limit_words, nesting_limit});
        return read_message(encoded.getRoot<wire::ControlMessage>());
    }
    catch (kj::Exception const&)
    {
        return std::nullopt;
    }
    catch (malformed_message const&)
    {
        return std::nullopt;
    }
}

} // namespace daisytrail
