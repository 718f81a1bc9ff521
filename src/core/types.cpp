// Parsing and formatting of addresses, hashing of flows and names.
#include <daisytrail/error.hpp>
#include <daisytrail/record.hpp>
#include <daisytrail/types.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>

namespace daisytrail
{

namespace
{

// Parses text that consists of one decimal number up to `limit`.
std::optional<std::uint32_t> parse_number(std::string_view text,
                                          std::uint32_t limit)
{
    std::uint32_t value = 0;
    auto const* last = text.data() + text.size();
    auto const [end, code] = std::from_chars(text.data(), last, value);
    if (code != std::errc{} || end != last || value > limit)
    {
        return std::nullopt;
    }
    return value;
}

[[noreturn]] void reject(std::string_view found, std::string_view expected)
{
    throw error(error_kind::invalid_argument, "found '" + std::string(found) +
                                                  "', expected " +
                                                  std::string(expected));
}

} // namespace

ipv4 parse_ipv4(std::string_view text)
{
    constexpr std::string_view expected = "an IPv4 address such as 127.0.0.1";
    ipv4 address = 0;
    std::string_view rest = text;
    for (int part = 0; part < 4; ++part)
    {
        auto const dot = part < 3 ? rest.find('.') : rest.size();
        if (dot == std::string_view::npos)
        {
            reject(text, expected);
        }
        auto const number = parse_number(rest.substr(0, dot), 255);
        if (!number)
        {
            reject(text, expected);
        }
        address = (address << 8U) | *number;
        rest.remove_prefix(part < 3 ? dot + 1 : dot);
    }
    return address;
}

endpoint parse_endpoint(std::string_view text)
{
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        reject(text, "an address and port such as 127.0.0.1:80");
    }
    auto const port = parse_number(text.substr(colon + 1), 65'535);
    if (!port)
    {
        reject(text, "a port from 0 to 65535 after the colon");
    }
    return {parse_ipv4(text.substr(0, colon)),
            static_cast<std::uint16_t>(*port)};
}

std::string ipv4_to_string(ipv4 address)
{
    std::string text;
    for (unsigned shift = 32; shift > 0; shift -= 8)
    {
        text += std::to_string((address >> (shift - 8)) & 0xFFU);
        text += shift > 8 ? "." : "";
    }
    return text;
}

std::string to_string(endpoint const& value)
{
    return ipv4_to_string(value.address_) + ":" + std::to_string(value.port_);
}

std::uint64_t hash_flow(flow_key const& flow)
{
    std::array<std::uint64_t, 2> const words{
        (std::uint64_t{flow.caller_.address_} << 16U) | flow.caller_.port_,
        (std::uint64_t{flow.vip_.address_} << 16U) | flow.vip_.port_};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t hash_name(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::optional<member_state> parse_member_state(std::string_view name)
{
    for (std::size_t i = 0; i < member_state_names.size(); ++i)
    {
        if (member_state_names[i] == name)
        {
            return static_cast<member_state>(i);
        }
    }
    return std::nullopt;
}

} // namespace daisytrail
