// Parsing and writing of IPv4 and TCP headers.
#include <daisytrail/packet.hpp>

#include <bit>

namespace daisytrail
{

namespace
{

constexpr std::size_t ipv4_header_bytes = 20;
constexpr std::size_t tcp_header_bytes = 20;

std::uint8_t read_8(std::span<std::byte const> bytes, std::size_t at)
{
    return std::to_integer<std::uint8_t>(bytes[at]);
}

std::uint16_t read_16(std::span<std::byte const> bytes, std::size_t at)
{
    return static_cast<std::uint16_t>((read_8(bytes, at) << 8U) |
                                      read_8(bytes, at + 1));
}

std::uint32_t read_32(std::span<std::byte const> bytes, std::size_t at)
{
    return (std::uint32_t{read_16(bytes, at)} << 16U) | read_16(bytes, at + 2);
}

void write_16(std::span<std::byte> bytes, std::size_t at, std::uint16_t value)
{
    bytes[at] = static_cast<std::byte>(value >> 8U);
    bytes[at + 1] = static_cast<std::byte>(value);
}

void write_32(std::span<std::byte> bytes, std::size_t at, std::uint32_t value)
{
    write_16(bytes, at, static_cast<std::uint16_t>(value >> 16U));
    write_16(bytes, at + 2, static_cast<std::uint16_t>(value));
}

// Adds 16-bit words to the sum of an Internet checksum (RFC 1071).
std::uint32_t checksum_add(std::span<std::byte const> bytes, std::uint32_t sum)
{
    for (std::size_t at = 0; at + 1 < bytes.size(); at += 2)
    {
        sum += read_16(bytes, at);
    }
    if (bytes.size() % 2 == 1)
    {
        sum += std::uint32_t{read_8(bytes, bytes.size() - 1)} << 8U;
    }
    return sum;
}

// Folds the sum to 16 bits and complements it.
std::uint16_t checksum_finish(std::uint32_t sum)
{
    sum = (sum & 0xFFFFU) + (sum >> 16U);
    sum = (sum & 0xFFFFU) + (sum >> 16U);
    return static_cast<std::uint16_t>(~sum);
}

} // namespace

parsed_packet parse_packet(std::span<std::byte const> packet)
{
    constexpr std::uint16_t more_fragments_or_offset = 0x3FFF;
    if (packet.size() < ipv4_header_bytes)
    {
        return {drop_reason::too_short, {}};
    }
    if (read_8(packet, 0) >> 4U != 4)
    {
        return {drop_reason::bad_version, {}};
    }
    std::size_t const header = (read_8(packet, 0) & 0x0FU) * std::size_t{4};
    std::size_t const total = read_16(packet, 2);
    if (header < ipv4_header_bytes || total < header || total != packet.size())
    {
        return {drop_reason::bad_length, {}};
    }
    if (checksum_finish(checksum_add(packet.first(header), 0)) != 0)
    {
        return {drop_reason::bad_header_checksum, {}};
    }
    if ((read_16(packet, 6) & more_fragments_or_offset) != 0)
    {
        return {drop_reason::fragment, {}};
    }
    if (read_8(packet, 9) != static_cast<std::uint8_t>(protocol::tcp))
    {
        return {drop_reason::not_tcp, {}};
    }
    auto const tcp = packet.subspan(header);
    if (tcp.size() < tcp_header_bytes)
    {
        return {drop_reason::too_short, {}};
    }
    std::size_t const offset = (read_8(tcp, 12) >> 4U) * std::size_t{4};
    if (offset < tcp_header_bytes || offset > tcp.size())
    {
        return {drop_reason::bad_length, {}};
    }
    packet_info info;
    info.flow_.caller_ = {read_32(packet, 12), read_16(tcp, 0)};
    info.flow_.vip_ = {read_32(packet, 16), read_16(tcp, 2)};
    info.sequence_ = read_32(tcp, 4);
    info.acknowledgement_ = read_32(tcp, 8);
    info.payload_bytes_ = static_cast<std::uint32_t>(tcp.size() - offset);
    info.flags_ = read_8(tcp, 13);
    return {drop_reason::none, info};
}

std::size_t write_segment(std::span<std::byte> packet, flow_key const& flow,
                          std::uint32_t sequence, std::uint32_t acknowledgement,
                          std::uint8_t flags)
{
    constexpr std::size_t total = ipv4_header_bytes + tcp_header_bytes;
    auto const bytes = packet.first(total);
    std::fill(bytes.begin(), bytes.end(), std::byte{0});
    bytes[0] = std::byte{0x45};
    write_16(bytes, 2, total);
    bytes[8] = std::byte{64};
    bytes[9] = static_cast<std::byte>(protocol::tcp);
    write_32(bytes, 12, flow.vip_.address_);
    write_32(bytes, 16, flow.caller_.address_);
    write_16(bytes, 10,
             checksum_finish(checksum_add(bytes.first(ipv4_header_bytes), 0)));

    auto const tcp = bytes.subspan(ipv4_header_bytes);
    write_16(tcp, 0, flow.vip_.port_);
    write_16(tcp, 2, flow.caller_.port_);
    write_32(tcp, 4, sequence);
    write_32(tcp, 8, acknowledgement);
    tcp[12] = std::byte{0x50};
    tcp[13] = static_cast<std::byte>(flags);
    // The TCP checksum also covers a pseudo header of the two addresses, the
    // protocol and the TCP length.
    std::uint32_t sum = checksum_add(bytes.subspan(12, 8), 0);
    sum += static_cast<std::uint32_t>(protocol::tcp) + tcp_header_bytes;
    write_16(tcp, 16, checksum_finish(checksum_add(tcp, sum)));
    return total;
}

} // namespace daisytrail
