// Datagrams on the tunnel port: packets from balancers and agents.
#include "fuzz_input.hpp"

#include <daisytrail/tunnel.hpp>

#include <array>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    fuzz_input const input(data, size);
    auto const reading = decode_tunnel(input.bytes());
    if (reading.drop_ != drop_reason::none)
    {
        return 0;
    }
    require(reading.packet_.size() <= size);
    require(reading.header_.ranked_.size_ <= max_candidates);
    alignas(8) std::array<std::byte, max_tunnel_header_bytes> buffer{};
    auto const written = encode_tunnel_header(reading.header_, buffer);
    auto const again =
        decode_tunnel(std::span<std::byte const>(buffer).first(written));
    require(again.header_.target_ == reading.header_.target_);
    require(again.header_.service_ == reading.header_.service_);
    return 0;
}
