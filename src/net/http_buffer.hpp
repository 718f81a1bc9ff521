// Buffer for reading HTTP messages.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace daisytrail
{

// Largest number of bytes that one read takes.
inline constexpr std::size_t http_read_bytes = 64UL << 10U;

// Returns a buffer whose capacity lets each read take http_read_bytes. Beast
// reads no more than the capacity, which otherwise stays at 512 bytes, and each
// read waits for a turn of the event loop.
inline boost::beast::flat_buffer make_http_buffer()
{
    boost::beast::flat_buffer result;
    result.reserve(http_read_bytes);
    return result;
}

} // namespace daisytrail
