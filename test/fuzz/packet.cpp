// Bare IPv4 packets, as they come from the fabric.
#include "fuzz_input.hpp"

#include <daisytrail/packet.hpp>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    constexpr std::size_t least_packet_bytes = 40;
    fuzz_input const input(data, size);
    auto const reading = parse_packet(input.bytes());
    require(reading.drop_ < drop_reason::count);
    if (reading.drop_ == drop_reason::none)
    {
        require(size >= least_packet_bytes);
        require(reading.info_.payload_bytes_ <= size - least_packet_bytes);
    }
    return 0;
}
