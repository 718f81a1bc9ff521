// Connection of a watch on the store: one streamed HTTP response with one JSON
// object per line.
#pragma once

#include "net/http_server.hpp"

#include <daisytrail/error.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisytrail::detail
{

class watch_stream : public std::enable_shared_from_this<watch_stream>
{
public:
    // `on_line` is called for each complete line, and `on_ended` once with the
    // cause when the stream ends.
    watch_stream(boost::asio::io_context& io,
                 std::function<void(std::string)> on_line,
                 std::function<void(std::string)> on_ended);
    ~watch_stream();

    void start(endpoint const& peer, http_request request);

    // Closes the connection. No handler is called afterwards.
    void cancel();

private:
    struct connection;

    void read();
    void append(std::string_view chunk);
    void finish(std::string const& detail);

    std::unique_ptr<connection> connection_;
    std::function<void(std::string)> on_line_;
    std::function<void(std::string)> on_ended_;
    std::string partial_line_; // received part of an incomplete line
};

} // namespace daisytrail::detail
