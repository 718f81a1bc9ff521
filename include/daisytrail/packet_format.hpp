// Interface that parses, marks and resets packets of forwarded flows. The
// format is a strategy, so that the data path is independent of any header
// layout.
#pragma once

#include <daisytrail/types.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace daisytrail
{

// Fields of a packet that the data path uses.
struct flow_packet
{
    endpoint source_;
    endpoint destination_;
    std::uint32_t sequence_ = 0;
    std::uint32_t acknowledgement_ = 0;
    std::uint32_t mark_ = 0; // set by set_mark(), kept in a returned packet
    std::size_t payload_bytes_ = 0;
    std::uint8_t syn_attempt_ = 0; // 0 for the first SYN, then 1, 2, ...
    bool syn_ = false;
    bool ack_ = false;
    bool fin_ = false;
    bool reset_ = false;
    bool returned_ = false; // the backend server doesn't hold the flow

    // The flow of a packet that a caller sent.
    flow_key flow_from_caller() const
    {
        return {source_, destination_};
    }

    // The flow of a packet that a backend server sent.
    flow_key flow_from_backend() const
    {
        return {destination_, source_};
    }

    bool opens_flow() const
    {
        return syn_ && !ack_;
    }
};

// Maximum size of a packet in any format, in bytes.
inline constexpr std::size_t max_flow_packet_bytes = 1'400;

class packet_format
{
public:
    virtual ~packet_format() = default;

    // Parses a packet; empty if the bytes are no packet of this format.
    virtual std::optional<flow_packet>
    read(std::span<std::byte const> packet) const = 0;

    // Sets the mark. A backend server that returns the packet keeps it.
    virtual void set_mark(std::span<std::byte> packet,
                          std::uint32_t mark) const = 0;

    // Clears the returned flag, so that another backend server accepts the
    // packet.
    virtual void clear_return(std::span<std::byte> packet) const = 0;

    // Writes a reset of the flow for its caller and returns its size in bytes.
    virtual std::size_t write_reset(flow_packet const& from_caller,
                                    std::span<std::byte> out) const = 0;
};

} // namespace daisytrail
