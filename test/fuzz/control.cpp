// Datagrams between the system's processes: as they come, and, as if made by
// somebody who holds the key, the messages inside.
#include "agent/flow_messages.hpp"
#include "fuzz_input.hpp"
#include "rpc/authenticator.hpp"
#include "rpc/control_messages.hpp"

#include <daisytrail/error.hpp>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    fuzz_input const input(data, size);
    authenticator link({std::string(64, '1')}, 1, 1, datagram_channel::control);
    auto const opened = link.open(input.bytes(), time_point{});
    require(opened.verdict_ != open_verdict::accepted);
    is_flow_message(input.bytes());
    if (auto const message = decode_control(input.bytes()))
    {
        require(decode_control(encode_control(*message)).has_value());
    }
    try
    {
        auto const message = decode_flow_message(input.bytes());
        auto const encoded = encode_flow_message(message);
        decode_flow_message(encoded);
    }
    catch (error const& fault)
    {
        require(fault.kind() == error_kind::invalid_packet);
    }
    return 0;
}
