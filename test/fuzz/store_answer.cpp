// Answers of the configuration store and the values in it.
#include "cli/stored_change.hpp"
#include "fuzz_input.hpp"
#include "store/etcd_codec.hpp"

#include <boost/json/parse.hpp>

using namespace daisytrail;

namespace
{

template <typename Read>
void try_read(Read read)
{
    try
    {
        read();
    }
    catch (std::exception const&)
    {
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    std::string const text(data, data + size);
    try_read([&] { parse_stored_template(text); });
    try_read([&] { parse_audit_entry({"key", text, 1}); });
    try_read([&] { parse_vip_claims(text); });
    try_read(
        [&]
        {
            auto const decoded = detail::decode_base64(text);
            require(detail::decode_base64(detail::encode_base64(decoded)) ==
                    decoded);
        });
    boost::json::error_code code;
    auto const body = boost::json::parse(text, code);
    if (!code)
    {
        try_read([&] { detail::read_range(body); });
        try_read([&] { detail::read_swap(body); });
        try_read([&] { detail::read_grant(body); });
        try_read([&] { detail::read_keep_alive(body); });
        try_read([&] { detail::read_watch(body); });
    }
    return 0;
}
