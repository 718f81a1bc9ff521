// HTTP from callers and backend servers: heads that are passed on, and
// announcements.
#include "agent/announcement.hpp"
#include "agent/requests_message.hpp"
#include "fuzz_input.hpp"

#include <daisytrail/error.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

using namespace daisytrail;

namespace
{

namespace http = boost::beast::http;

// A head that is passed on must still be one head: a field with a line break
// would smuggle a second request.
void check_request(boost::asio::const_buffer text)
{
    http::request_parser<http::empty_body> parser;
    boost::beast::error_code code;
    parser.put(text, code);
    if (!parser.is_header_done())
    {
        return;
    }
    auto const written = write_request_head(read_request_head(parser.get()));
    require(written.find("\r\n\r\n") == written.size() - 4);
    http::request_parser<http::empty_body> again;
    again.put(boost::asio::buffer(written), code);
    require(again.is_header_done());
    require(again.get().method_string() == parser.get().method_string());
}

void check_answer(boost::asio::const_buffer text)
{
    http::response_parser<http::empty_body> parser;
    boost::beast::error_code code;
    parser.put(text, code);
    if (!parser.is_header_done())
    {
        return;
    }
    auto const head = read_response_head(parser.get(), false);
    auto const written = write_response_head(head, true, false);
    require(written.find("\r\n\r\n") == written.size() - 4);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    auto const text = boost::asio::buffer(data, size);
    check_request(text);
    check_answer(text);
    try
    {
        parse_announcement(std::string(data, data + size));
    }
    catch (error const& fault)
    {
        require(fault.kind() == error_kind::invalid_argument);
    }
    return 0;
}
