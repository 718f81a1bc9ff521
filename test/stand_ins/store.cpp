// Stand-in for the configuration store: serves the etcd v3 JSON gateway from an
// in-memory history and injects faults on command:
//   POST /fault {"slow_ms":0,"down":false,"lose_next_answers":0,
//                "cut_watches":true,"lapse_leases":true,"rollback_to":7}
//   GET /stats  calls by path, number of open watches, revision
#include "net/http_server.hpp"
#include "store/etcd_codec.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <set>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using daisytrail::http_request;
using daisytrail::http_response;
using daisytrail::detail::decode_base64;
using daisytrail::detail::encode_base64;

// Write or deletion of one key.
struct change
{
    std::int64_t revision_ = 0;
    std::string key_;
    std::string value_;
    bool deleted_ = false;
    std::int64_t lease_ = 0;
};

struct lease
{
    std::chrono::seconds time_to_live_;
    std::chrono::steady_clock::time_point expires_at_;
};

std::string text_of(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value == nullptr ? "" : decode_base64(value->as_string());
}

std::int64_t number_of(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr)
    {
        return 0;
    }
    return value->is_string() ? std::stoll(std::string(value->as_string()))
                              : value->to_number<std::int64_t>();
}

json::object to_json(change const& from)
{
    return {{"key", encode_base64(from.key_)},
            {"value", encode_base64(from.value_)},
            {"mod_revision", std::to_string(from.revision_)}};
}

// Holds the keys, the leases and the history that watches read.
class database
{
public:
    json::object range(json::object const& body) const
    {
        auto const key = text_of(body, "key");
        auto const end = text_of(body, "range_end");
        auto const limit = number_of(body, "limit");
        json::array pairs;
        for (auto at = keys_.lower_bound(key); at != keys_.end(); ++at)
        {
            bool const inside =
                end.empty() ? at->first == key
                            : end == std::string(1, '\0') || at->first < end;
            if (!inside ||
                (limit > 0 && pairs.size() >= static_cast<std::size_t>(limit)))
            {
                break;
            }
            pairs.push_back(to_json(at->second));
        }
        return {{"header", header()}, {"kvs", pairs}};
    }

    json::object transact(json::object const& body)
    {
        bool const comparisons_hold = std::ranges::all_of(
            body.at("compare").as_array(), [this](json::value const& item)
            { return comparison_holds(item.as_object()); });
        json::array responses;
        auto const next = revision_ + 1;
        for (auto const& item :
             body.at(comparisons_hold ? "success" : "failure").as_array())
        {
            responses.push_back(run(item.as_object(), next));
        }
        return {{"header", header()},
                {"succeeded", comparisons_hold},
                {"responses", responses}};
    }

    json::object grant(json::object const& body)
    {
        std::chrono::seconds const time_to_live(number_of(body, "TTL"));
        leases_[++last_lease_] = {
            time_to_live, std::chrono::steady_clock::now() + time_to_live};
        return {{"header", header()},
                {"ID", std::to_string(last_lease_)},
                {"TTL", std::to_string(time_to_live.count())}};
    }

    json::object keep_alive(json::object const& body)
    {
        auto const id = number_of(body, "ID");
        auto const granted = leases_.find(id);
        json::object result{{"header", header()}, {"ID", std::to_string(id)}};
        if (granted != leases_.end())
        {
            granted->second.expires_at_ = std::chrono::steady_clock::now() +
                                          granted->second.time_to_live_;
            result["TTL"] =
                std::to_string(granted->second.time_to_live_.count());
        }
        json::object answer_body;
        answer_body["result"] = std::move(result);
        return answer_body;
    }

    // Removes expired leases and their keys; all leases if `expire_all` is set.
    void expire_leases(bool expire_all)
    {
        auto const now = std::chrono::steady_clock::now();
        std::set<std::int64_t> ended;
        for (auto const& [id, granted] : leases_)
        {
            if (expire_all || granted.expires_at_ < now)
            {
                ended.insert(id);
            }
        }
        std::vector<std::string> keys;
        for (auto const& [key, value] : keys_)
        {
            if (ended.contains(value.lease_))
            {
                keys.push_back(key);
            }
        }
        for (auto const& key : keys)
        {
            record({revision_ + 1, key, "", true, 0});
        }
        for (auto const id : ended)
        {
            leases_.erase(id);
        }
    }

    // Restores the state of an older revision, as from a backup.
    void rollback(std::int64_t to)
    {
        auto const history = std::exchange(history_, {});
        keys_.clear();
        revision_ = 1;
        for (auto const& item : history)
        {
            if (item.revision_ <= to)
            {
                record(item);
            }
        }
    }

    // Returns the changes of the keys in [from, end) since revision `start`, as
    // events of a watch response.
    json::array events(std::string const& from, std::string const& end,
                       std::int64_t start) const
    {
        json::array list;
        for (auto const& item : history_)
        {
            if (item.revision_ >= start && item.key_ >= from && item.key_ < end)
            {
                list.push_back(
                    json::object{{"type", item.deleted_ ? "DELETE" : "PUT"},
                                 {"kv", to_json(item)}});
            }
        }
        return list;
    }

    json::object header() const
    {
        return {{"revision", std::to_string(revision_)}};
    }

    std::int64_t revision() const
    {
        return revision_;
    }

private:
    bool comparison_holds(json::object const& item) const
    {
        auto const at = keys_.find(text_of(item, "key"));
        auto const modified = at == keys_.end() ? 0 : at->second.revision_;
        return modified == number_of(item, "mod_revision");
    }

    json::value run(json::object const& item, std::int64_t next)
    {
        if (auto const* put = item.if_contains("requestPut"))
        {
            auto const& body = put->as_object();
            record({next, text_of(body, "key"), text_of(body, "value"), false,
                    number_of(body, "lease")});
            return json::object{
                {"response_put", json::object{{"header", header()}}}};
        }
        if (auto const* removal = item.if_contains("requestDeleteRange"))
        {
            record({next, text_of(removal->as_object(), "key"), "", true, 0});
            return json::object{
                {"response_delete_range", json::object{{"header", header()}}}};
        }
        return json::object{
            {"response_range", range(item.at("requestRange").as_object())}};
    }

    void record(change item)
    {
        constexpr std::size_t max_history = 50'000;
        revision_ = item.revision_;
        if (item.deleted_)
        {
            keys_.erase(item.key_);
        }
        else
        {
            keys_[item.key_] = item;
        }
        history_.push_back(std::move(item));
        if (history_.size() > max_history)
        {
            history_.pop_front();
        }
    }

    std::map<std::string, change> keys_;
    std::deque<change> history_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
};

struct faults
{
    std::chrono::milliseconds answer_delay_{0};
    bool down_ = false;
    std::int64_t lose_next_answers_ = 0;
    std::uint64_t watch_epoch_ = 0; // increased to close the open watches
};

struct store_state
{
    database data_;
    faults faults_;
    std::map<std::string, std::int64_t> call_counts_;
    std::int64_t open_watches_ = 0;

    http_response set_faults(json::object const& body)
    {
        faults_.answer_delay_ =
            std::chrono::milliseconds(number_of(body, "slow_ms"));
        auto const* down = body.if_contains("down");
        faults_.down_ = down != nullptr && down->as_bool();
        faults_.lose_next_answers_ = number_of(body, "lose_next_answers");
        if (body.contains("cut_watches") || faults_.down_)
        {
            ++faults_.watch_epoch_;
        }
        if (body.contains("lapse_leases"))
        {
            data_.expire_leases(true);
        }
        if (body.contains("rollback_to"))
        {
            data_.rollback(number_of(body, "rollback_to"));
        }
        return daisytrail::make_response(200, "{}");
    }

    http_response stats() const
    {
        json::object calls;
        for (auto const& [path, count] : call_counts_)
        {
            calls[path] = count;
        }
        return daisytrail::make_response(
            200, json::serialize(json::object{{"calls", calls},
                                              {"watches", open_watches_},
                                              {"revision", data_.revision()}}));
    }

    http_response answer(std::string const& path, json::object const& body)
    {
        using method = json::object (database::*)(json::object const&);
        static std::map<std::string, method> const methods{
            {"/v3/kv/txn", &database::transact},
            {"/v3/lease/grant", &database::grant},
            {"/v3/lease/keepalive", &database::keep_alive}};
        data_.expire_leases(false);
        if (path == "/v3/kv/range")
        {
            return daisytrail::make_response(
                200, json::serialize(data_.range(body)));
        }
        auto const found = methods.find(path);
        if (found == methods.end())
        {
            return daisytrail::make_response(404, "{}");
        }
        return daisytrail::make_response(
            200, json::serialize((data_.*found->second)(body)));
    }
};

// One HTTP connection. A watch occupies its connection until it is closed.
class session : public std::enable_shared_from_this<session>
{
public:
    session(store_state& state, asio::ip::tcp::socket socket)
        : state_(state), stream_(std::move(socket)),
          timer_(stream_.get_executor())
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(daisytrail::max_http_body_bytes);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (!code)
                {
                    self->handle();
                }
            });
    }

private:
    static constexpr std::chrono::milliseconds watch_interval{20};

    void handle()
    {
        std::string const path(parser_->get().target());
        if (path == "/stats")
        {
            write(state_.stats());
            return;
        }
        try
        {
            auto const body = json::parse(parser_->get().body()).as_object();
            if (path == "/fault")
            {
                write(state_.set_faults(body));
                return;
            }
            ++state_.call_counts_[path];
            delay([self = shared_from_this(), path, body]
                  { self->run(path, body); });
        }
        catch (std::exception const& failure)
        {
            write(daisytrail::make_response(400, failure.what(), "text/plain"));
        }
    }

    void delay(std::function<void()> next)
    {
        timer_.expires_after(state_.faults_.answer_delay_);
        timer_.async_wait([next = std::move(next)](beast::error_code code)
                          { code ? void() : next(); });
    }

    void run(std::string const& path, json::object const& body)
    {
        if (state_.faults_.down_)
        {
            stream_.close();
            return;
        }
        if (path == "/v3/watch")
        {
            start_watch(body.at("create_request").as_object());
            return;
        }
        auto response = state_.answer(path, body);
        if (state_.faults_.lose_next_answers_ > 0)
        {
            --state_.faults_.lose_next_answers_;
            stream_.close();
            return;
        }
        write(std::move(response));
    }

    void write(http_response response)
    {
        response_ = std::move(response);
        response_.keep_alive(parser_->get().keep_alive());
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (!code && self->response_.keep_alive())
                {
                    self->read();
                }
            });
    }

    void start_watch(json::object const& request)
    {
        watch_key_ = text_of(request, "key");
        watch_end_ = text_of(request, "range_end");
        auto const start = number_of(request, "start_revision");
        next_watch_revision_ = start > 0 ? start : state_.data_.revision() + 1;
        watch_epoch_ = state_.faults_.watch_epoch_;
        ++state_.open_watches_;
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
             "Content-Type: application/json\r\n\r\n" +
             chunk({{"header", state_.data_.header()}, {"created", true}}));
    }

    // Returns an HTTP chunk with one line that holds a watch result.
    static std::string chunk(json::object const& result)
    {
        auto const line = "{\"result\":" + json::serialize(result) + "}\n";
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
        return size.data() + line + "\r\n";
    }

    void send(std::string text)
    {
        out_ = std::move(text);
        asio::async_write(
            stream_, asio::buffer(out_),
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (code)
                {
                    --self->state_.open_watches_;
                    return;
                }
                self->poll();
            });
    }

    void poll()
    {
        timer_.expires_after(watch_interval);
        timer_.async_wait([self = shared_from_this()](beast::error_code)
                          { self->send_events(); });
    }

    void send_events()
    {
        if (state_.faults_.down_ || watch_epoch_ != state_.faults_.watch_epoch_)
        {
            --state_.open_watches_;
            stream_.close();
            return;
        }
        auto const events =
            state_.data_.events(watch_key_, watch_end_, next_watch_revision_);
        if (events.empty())
        {
            poll();
            return;
        }
        next_watch_revision_ = state_.data_.revision() + 1;
        send(chunk({{"header", state_.data_.header()}, {"events", events}}));
    }

    store_state& state_;
    beast::tcp_stream stream_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_response response_;
    std::string out_;
    std::string watch_key_;
    std::string watch_end_;
    std::int64_t next_watch_revision_ = 0;
    std::uint64_t watch_epoch_ = 0;
};

void accept(asio::ip::tcp::acceptor& acceptor, store_state& state)
{
    acceptor.async_accept(
        [&](beast::error_code code, asio::ip::tcp::socket socket)
        {
            if (!code)
            {
                std::make_shared<session>(state, std::move(socket))->read();
                accept(acceptor, state);
            }
        });
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the configuration store (etcd v3 JSON)");
    std::string listen = "127.0.0.1:2379";
    app.add_option("--listen", listen, "address and port")->required();
    CLI11_PARSE(app, argc, argv);
    try
    {
        auto const address = daisytrail::parse_endpoint(listen);
        asio::io_context io;
        store_state state;
        asio::ip::tcp::acceptor acceptor(
            io, {asio::ip::address_v4(address.address_), address.port_});
        accept(acceptor, state);
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](beast::error_code, int) { io.stop(); });
        io.run();
    }
    catch (std::exception const& failure)
    {
        std::cerr << "stand-in-store: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
