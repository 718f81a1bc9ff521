// Tests of the compression of texts.
#include "support/operator_documents.hpp"

#include <daisytrail/error.hpp>
#include <daisytrail/text_compression.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <string_view>

namespace daisytrail
{

namespace
{

constexpr std::size_t max_bytes = 1'000'000;

std::optional<error_kind> failure_of(std::string_view bytes,
                                     std::size_t limit = max_bytes,
                                     std::string_view base = {})
{
    try
    {
        decompress_text(bytes, limit, base);
    }
    catch (error const& failure)
    {
        return failure.kind();
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a compressed text is restored as it was")
{
    for (std::string const& text :
         {std::string(), std::string("a"), std::string(100'000, '\0'),
          make_document(18, 300)})
    {
        CAPTURE(text.size());
        CHECK(decompress_text(compress_text(text), max_bytes) == text);
    }
}

TEST_CASE("a text that differs in one place from its base takes a few bytes")
{
    constexpr std::size_t few_bytes = 200;
    auto const base = make_document(17, 2'000);
    auto text = make_document(18, 2'000);
    text.replace(text.find("r-", text.size() / 2), 9, "r-9999999");
    auto const bytes = compress_text(text, base);
    CHECK(bytes.size() < few_bytes);
    CHECK(decompress_text(bytes, max_bytes, base) == text);
}

TEST_CASE("bytes that aren't the whole compressed text are refused")
{
    auto const text = make_document(18, 300);
    auto const bytes = compress_text(text);
    CHECK(failure_of("") == error_kind::invalid_argument);
    CHECK(failure_of("no compressed text") == error_kind::invalid_argument);
    CHECK(failure_of(bytes.substr(0, bytes.size() / 2)) ==
          error_kind::invalid_argument);
    auto damaged = bytes;
    damaged[damaged.size() / 2] ^= 1;
    CHECK(failure_of(damaged) == error_kind::invalid_argument);
    auto const with_base = compress_text(text, make_document(17, 300));
    CHECK(failure_of(with_base, max_bytes, make_document(16, 301)) ==
          error_kind::invalid_argument);
}

// A few bytes may stand for a text that fills the memory.
TEST_CASE("a text over the limit is refused before it is restored")
{
    auto const bytes = compress_text(std::string(1'001, 'a'));
    CHECK(failure_of(bytes, 1'000) == error_kind::limit_exceeded);
    CHECK_FALSE(failure_of(bytes, 1'001));
}

} // namespace daisytrail
