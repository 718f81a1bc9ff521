// Buffer for reading HTTP messages.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace daisytrail
{

// Returns a buffer that lets each read take this number of bytes. Beast reads
// no more than the buffer's capacity, which otherwise stays at 512 bytes, and
// each read waits for a turn of the event loop.
inline boost::beast::flat_buffer make_http_buffer(std::size_t bytes_per_read)
{
    boost::beast::flat_buffer result;
    result.reserve(bytes_per_read);
    return result;
}

} // namespace daisytrail
