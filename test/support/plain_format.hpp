// A packet format for tests: the bytes of a flow_packet, followed by the
// payload.
#pragma once

#include <daisytrail/packet_format.hpp>

#include <cstring>
#include <vector>

namespace daisytrail::test
{

class plain_format : public packet_format
{
public:
    static std::vector<std::byte> write(flow_packet const& packet)
    {
        std::vector<std::byte> bytes(sizeof(packet) + packet.payload_bytes_);
        std::memcpy(bytes.data(), &packet, sizeof(packet));
        return bytes;
    }

    std::optional<flow_packet>
    read(std::span<std::byte const> bytes) const override
    {
        flow_packet packet;
        if (bytes.size() < sizeof(packet))
        {
            return std::nullopt;
        }
        std::memcpy(&packet, bytes.data(), sizeof(packet));
        return packet;
    }

    void set_mark(std::span<std::byte> bytes, std::uint32_t mark) const override
    {
        modify(bytes, [mark](flow_packet& packet) { packet.mark_ = mark; });
    }

    void clear_return(std::span<std::byte> bytes) const override
    {
        modify(bytes,
               [](flow_packet& packet)
               {
                   packet.returned_ = false;
                   packet.mark_ = 0;
               });
    }

    std::size_t write_reset(flow_packet const& from_caller,
                            std::span<std::byte> out) const override
    {
        flow_packet reset;
        reset.source_ = from_caller.destination_;
        reset.destination_ = from_caller.source_;
        reset.reset_ = true;
        std::memcpy(out.data(), &reset, sizeof(reset));
        return sizeof(reset);
    }

private:
    template <typename Edit>
    void modify(std::span<std::byte> bytes, Edit edit) const
    {
        auto packet = *read(bytes);
        edit(packet);
        std::memcpy(bytes.data(), &packet, sizeof(packet));
    }
};

} // namespace daisytrail::test
