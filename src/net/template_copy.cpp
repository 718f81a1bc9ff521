// Formats and parses the stored copy of a template.
#include "net/template_copy.hpp"

#include <daisytrail/error.hpp>
#include <daisytrail/template_transfer.hpp>
#include <daisytrail/text_compression.hpp>

#include <charconv>

namespace daisytrail
{

namespace
{

constexpr char version_end = '\n';

struct split_copy
{
    template_version version_ = 0;
    std::string_view compressed_;
};

split_copy split(std::string_view text)
{
    split_copy result;
    auto const end = text.find(version_end);
    auto const digits = text.substr(0, end);
    auto const [last, code] = std::from_chars(
        digits.data(), digits.data() + digits.size(), result.version_);
    bool const is_number = code == std::errc{} && !digits.empty() &&
                           last == digits.data() + digits.size();
    if (end == std::string_view::npos || !is_number)
    {
        throw error(error_kind::invalid_argument,
                    "a stored copy doesn't begin with a version");
    }
    result.compressed_ = text.substr(end + 1);
    return result;
}

} // namespace

std::string format_template_copy(template_copy const& copy)
{
    return std::to_string(copy.version_) + version_end +
           compress_text(copy.value_);
}

template_version parse_copied_version(std::string_view text)
{
    return split(text).version_;
}

template_copy parse_template_copy(std::string_view text)
{
    auto const parts = split(text);
    return {parts.version_,
            decompress_text(parts.compressed_, max_transfer_bytes)};
}

} // namespace daisytrail
