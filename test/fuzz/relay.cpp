// Datagrams between the balancer and the agent of a forwarded flow.
#include "fuzz_input.hpp"

#include <daisytrail/relay_message.hpp>

#include <array>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    fuzz_input const input(data, size);
    auto const reading = decode_relay(input.bytes());
    if (!reading)
    {
        return 0;
    }
    require(reading->packet_.size() <= size);
    require(reading->message_.queried_flows_.size() <= max_queried_flows);
    alignas(8) std::array<std::byte, max_relay_head_bytes> buffer{};
    auto const written = encode_relay_head(reading->message_, buffer);
    auto const again =
        decode_relay(std::span<std::byte const>(buffer).first(written));
    require(again.has_value());
    require(again->message_.target_ == reading->message_.target_);
    require(again->message_.queried_flows_ == reading->message_.queried_flows_);
    return 0;
}
