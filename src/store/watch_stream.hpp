// A watch on the store: one long HTTP answer that carries a JSON object a line.
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
    // `line` is called for each whole line; `ended` once, at the end.
    watch_stream(boost::asio::io_context& io,
                 std::function<void(std::string)> on_line,
                 std::function<void(std::string)> on_ended);
    ~watch_stream();

    void start(endpoint const& peer, http_request request);

    // No handler is called afterwards.
    void cancel();

private:
    struct connection;

    void read();
    void append(std::string_view chunk);
    void finish(std::string const& detail);

    std::unique_ptr<connection> connection_;
    std::function<void(std::string)> on_line_;
    std::function<void(std::string)> on_ended_;
    std::string partial_line_; // an unfinished line
};

} // namespace daisytrail::detail
