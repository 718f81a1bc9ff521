// Tests of calls to the platform's metadata store over HTTP on loopback.
#include "net/http_server.hpp"
#include "platform/metadata_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <string>

namespace daisytrail
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds call_timeout{400};

// Returns an address on loopback at which nothing listens.
endpoint free_address(boost::asio::io_context& io)
{
    using boost::asio::ip::tcp;
    tcp::acceptor const probe(
        io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    auto const local = probe.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

// Returns an answer to a watch with one change, at this revision.
http_response make_change(revision at)
{
    json::object const change{
        {"key", "op/config"}, {"revision", at}, {"tombstone", true}};
    return make_response(
        200, json::serialize(json::object{{"events", json::array{change}},
                                          {"storeRevision", at}}));
}

} // namespace

// CONFIG: in a storm of changes a starved balancer asked for the next version
// as soon as it had applied one, and its packets waited meanwhile.
TEST_CASE("a storm of changes keeps a starved balancer busy: each version is "
          "fetched by itself")
{
    // Half a call's timeout passes between two answers with changes.
    constexpr int max_polls = 6; // in 1 s
    boost::asio::io_context io;
    auto const store_address = free_address(io);
    http_server server(io, store_address);
    int polls = 0;
    server.route("GET", "/api/kv-watch",
                 [&polls](http_request const&)
                 { return make_change(static_cast<revision>(++polls)); });
    platform::metadata_store store(io, store_address, call_timeout);
    revision reached = 0;
    store.watch(std::string(template_prefix), 1, milliseconds(1'000),
                [&reached](store_answer const& answer)
                {
                    CHECK_FALSE(answer.error_);
                    reached = answer.revision_;
                });
    io.run_for(std::chrono::seconds(1));
    CHECK(polls <= max_polls);
    CHECK(reached >= 4);
    store.cancel_watches();
    server.stop();
}

} // namespace daisytrail
