// Tests of reads of the etcd store that are longer than one answer.
#include "net/http_server.hpp"
#include "store/etcd_codec.hpp"
#include "store/etcd_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// Answers reads of ranges as the JSON gateway does.
class range_server
{
public:
    explicit range_server(boost::asio::io_context& io)
        : address_(free_address(io)), server_(io, address_)
    {
        server_.route("POST", "/v3/kv/range",
                      [this](http_request const& request)
                      { return answer(request.body()); });
    }

    ~range_server()
    {
        server_.stop();
    }

    range_server(range_server const&) = delete;
    range_server& operator=(range_server const&) = delete;

    endpoint address() const
    {
        return address_;
    }

    std::map<std::string, std::string> values_;
    int reads_ = 0;
    int revision_ = 5;
    // Called before each answer but the first.
    std::function<void()> between_pages_;

private:
    static endpoint free_address(boost::asio::io_context& io)
    {
        using boost::asio::ip::tcp;
        tcp::acceptor const probe(
            io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        auto const local = probe.local_endpoint();
        return {local.address().to_v4().to_uint(), local.port()};
    }

    http_response answer(std::string const& body)
    {
        if (++reads_ > 1 && between_pages_)
        {
            between_pages_();
        }
        auto const request = json::parse(body).as_object();
        auto const first =
            detail::decode_base64(std::string(request.at("key").as_string()));
        auto const limit =
            std::stoul(std::string(request.at("limit").as_string()));
        json::array pairs;
        for (auto at = values_.lower_bound(first);
             at != values_.end() && (limit == 0 || pairs.size() < limit); ++at)
        {
            pairs.push_back(
                json::object{{"key", detail::encode_base64(at->first)},
                             {"value", detail::encode_base64(at->second)},
                             {"mod_revision", "3"}});
        }
        json::object const header{{"cluster_id", "1"},
                                  {"revision", std::to_string(revision_)}};
        return make_response(200, json::serialize(json::object{
                                      {"header", header}, {"kvs", pairs}}));
    }

    endpoint address_;
    http_server server_;
};

store_answer read_all(boost::asio::io_context& io, etcd_store& store,
                      std::size_t limit = 0)
{
    std::optional<store_answer> result;
    store.range("t/", limit,
                [&result](store_answer const& answer) { result = answer; });
    while (!result)
    {
        io.run_one();
    }
    return *result;
}

} // namespace

// CONFIG: the templates of all organisations together were longer than one
// answer might be, and a balancer that started never read any of them.
TEST_CASE("templates that are together longer than an answer are never read")
{
    boost::asio::io_context io;
    range_server server(io);
    for (char name = 'a'; name < 'k'; ++name)
    {
        server.values_[std::string("t/") + name] = std::string(1'000'000, name);
    }
    etcd_store store(io, {server.address()});
    server.between_pages_ = [&server]
    {
        ++server.revision_;
    };
    auto const answer = read_all(io, store);
    REQUIRE_FALSE(answer.error_);
    REQUIRE(answer.entries_.size() == 10);
    CHECK(answer.entries_.front().key_ == "t/a");
    CHECK(answer.entries_.back().value_ == server.values_.at("t/j"));
    // A limit counts the entries of all pages.
    CHECK(read_all(io, store, 7).entries_.size() == 7);
}

TEST_CASE("many short templates take a call each")
{
    boost::asio::io_context io;
    range_server server(io);
    for (int i = 0; i < 600; ++i)
    {
        server.values_["t/" + std::to_string(i)] = "short";
    }
    etcd_store store(io, {server.address()});
    CHECK(read_all(io, store).entries_.size() == 600);
    CHECK(server.reads_ == 3);
}

// A watch from the revision of the last page would miss a change that came
// between two pages, to an entry that was read before.
TEST_CASE("a change between two pages of a read is missed")
{
    boost::asio::io_context io;
    range_server server(io);
    for (int i = 0; i < 300; ++i)
    {
        server.values_["t/" + std::to_string(i)] = "short";
    }
    server.between_pages_ = [&server]
    {
        server.revision_ = 9;
    };
    etcd_store store(io, {server.address()});
    CHECK(read_all(io, store).revision_ == 5);
}

// The longest value that the store takes by itself is 1.5 MiB.
TEST_CASE("the longest value of the store can't be read")
{
    boost::asio::io_context io;
    range_server server(io);
    server.values_["t/a"] = std::string(1'572'864, 'a');
    etcd_store store(io, {server.address()});
    CHECK(read_all(io, store).entries_.size() == 1);
    server.values_["t/a"] = std::string(4'000'000, 'a');
    auto const answer = read_all(io, store);
    REQUIRE(answer.error_);
    CHECK(*answer.error_ == error_kind::limit_exceeded);
}

} // namespace daisytrail
