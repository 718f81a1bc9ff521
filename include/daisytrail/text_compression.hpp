// Compression of the texts that processes send to each other or store.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace daisytrail
{

// Compresses a text. What it has in common with `base` takes a few bytes.
std::string compress_text(std::string_view text, std::string_view base = {});

// Restores a text that was compressed with the same base. Throws
// error(invalid_argument) if the bytes are damaged or the base is another one,
// and error(limit_exceeded) if the text is longer than `max_bytes`.
std::string decompress_text(std::string_view bytes, std::size_t max_bytes,
                            std::string_view base = {});

} // namespace daisytrail
