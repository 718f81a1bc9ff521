// Compresses texts with Zstandard.
#include <daisytrail/error.hpp>
#include <daisytrail/text_compression.hpp>

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace daisytrail
{

namespace
{

// The fastest level: a compression runs in one turn of the event loop, and a
// higher level saves a few hundredths of the bytes.
constexpr int compression_level = 1;

// Bounds of the window that Zstandard accepts, as powers of two.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

struct context_deleter
{
    void operator()(ZSTD_CCtx* context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx* context) const
    {
        ZSTD_freeDCtx(context);
    }
};

using compression_context = std::unique_ptr<ZSTD_CCtx, context_deleter>;
using decompression_context = std::unique_ptr<ZSTD_DCtx, context_deleter>;

// Returns the result of a call of the library, or throws its error.
std::size_t check(std::size_t result, error_kind kind)
{
    if (ZSTD_isError(result) != 0)
    {
        throw error(kind, std::string("compressed text: ") +
                              ZSTD_getErrorName(result));
    }
    return result;
}

// The window must reach from the end of the text to the start of the base.
int window_log(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log,
                      max_window_log);
}

} // namespace

std::string compress_text(std::string_view text, std::string_view base)
{
    compression_context const context(ZSTD_createCCtx());
    auto const set = [&context](ZSTD_cParameter parameter, int value)
    {
        check(ZSTD_CCtx_setParameter(context.get(), parameter, value),
              error_kind::internal);
    };
    set(ZSTD_c_compressionLevel, compression_level);
    set(ZSTD_c_windowLog, window_log(text.size() + base.size()));
    // A wrong base or a mixture of two texts is found by the checksum.
    set(ZSTD_c_checksumFlag, 1);
    check(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()),
          error_kind::internal);
    std::string result(ZSTD_compressBound(text.size()), '\0');
    result.resize(check(ZSTD_compress2(context.get(), result.data(),
                                       result.size(), text.data(), text.size()),
                        error_kind::internal));
    return result;
}

std::string decompress_text(std::string_view bytes, std::size_t max_bytes,
                            std::string_view base)
{
    auto const size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    {
        throw error(error_kind::invalid_argument,
                    "compressed text: not a compressed text");
    }
    if (size > max_bytes)
    {
        throw error(error_kind::limit_exceeded,
                    "more than " + std::to_string(max_bytes) + " bytes");
    }
    decompression_context const context(ZSTD_createDCtx());
    check(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()),
          error_kind::internal);
    std::string result(size, '\0');
    auto const restored =
        check(ZSTD_decompressDCtx(context.get(), result.data(), result.size(),
                                  bytes.data(), bytes.size()),
              error_kind::invalid_argument);
    if (restored != size)
    {
        throw error(error_kind::invalid_argument,
                    "compressed text: shorter than announced");
    }
    return result;
}

} // namespace daisytrail
