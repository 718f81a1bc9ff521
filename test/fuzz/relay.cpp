// Datagrams between the balancer and the agent of a forwarded flow.
#include "fuzz_input.hpp"

#include <daisytrail/relay_message.hpp>

#include <array>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    fuzz_input const input(data, size);
    auto const decoded = decode_relay(input.bytes());
    if (!decoded)
    {
        return 0;
    }
    require(decoded->packet_.size() <= size);
    require(decoded->message_.queried_flows_.size() <= max_queried_flows);
    alignas(8) std::array<std::byte, max_relay_head_bytes> buffer{};
    auto const written = encode_relay_head(decoded->message_, buffer);
    auto const again =
        decode_relay(std::span<std::byte const>(buffer).first(written));
    require(again.has_value());
    require(again->message_.target_ == decoded->message_.target_);
    require(again->message_.queried_flows_ == decoded->message_.queried_flows_);
    return 0;
}
