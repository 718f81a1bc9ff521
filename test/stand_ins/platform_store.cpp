// Stand-in for the platform's metadata store: items with revisions, watches,
// transactions and leases over HTTP/1.1 connections on loopback.
//
// Each --listen address is the store's address for one machine, so that a fault
// can affect single machines. Commands go to the --control address:
//   POST /operator  writes the body as the operator's configuration, or under
//                   the key that the query names
//   POST /fault     {"ports":[...],"mode":"serve|silent|busy|many|reset",
//                    "slow_ms":0,"lose_share":0.0,"silence_connections":true,
//                    "drop_history":true,"save_copy":true,
//                    "restore_copy":true}; without "ports" the fault
//                   affects every machine
//   GET /stats      calls by path and the store's revision
#include "support/platform_database.hpp"

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

#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using daisytrail::http_request;
using daisytrail::http_response;
using daisytrail::make_response;
using daisytrail::platform_database;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view config_key = "op/config";
constexpr milliseconds poll_interval{5}; // of a pending watch

// Returns the parameters of the query string, percent-decoded.
std::map<std::string, std::string> parse_query(std::string_view target)
{
    std::map<std::string, std::string> result;
    auto const question_mark = target.find('?');
    std::string text(question_mark == std::string_view::npos
                         ? ""
                         : target.substr(question_mark + 1));
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, '&');)
    {
        auto const equals = part.find('=');
        if (equals == std::string::npos)
        {
            continue;
        }
        std::string value;
        for (auto at = equals + 1; at < part.size(); ++at)
        {
            if (part[at] == '%' && at + 2 < part.size())
            {
                constexpr int hexadecimal = 16;
                value += static_cast<char>(
                    std::stoi(part.substr(at + 1, 2), nullptr, hexadecimal));
                at += 2;
                continue;
            }
            value += part[at];
        }
        result[part.substr(0, equals)] = value;
    }
    return result;
}

std::int64_t number_of(std::map<std::string, std::string> const& query,
                       std::string const& name)
{
    auto const found = query.find(name);
    return found == query.end() ? 0 : std::stoll(found->second);
}

enum class answer_mode
{
    serve,
    never_answer,      // reads the request and leaves it unanswered
    unavailable,       // status 503
    too_many_requests, // status 429
    reset,
    count
};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(answer_mode::count)>
    mode_names{"serve", "silent", "busy", "many", "reset"};

answer_mode parse_mode(std::string_view name)
{
    auto const found = std::ranges::find(mode_names, name);
    if (found == mode_names.end())
    {
        throw std::invalid_argument("unknown mode '" + std::string(name) + "'");
    }
    return static_cast<answer_mode>(found - mode_names.begin());
}

// Faults that apply to the calls of one machine.
struct machine_faults
{
    answer_mode mode_ = answer_mode::serve;
    milliseconds answer_delay_{0};
    double lost_answer_probability_ = 0; // after the call took effect
    // Connections with a lower number get no answers.
    std::uint64_t first_unsilenced_connection_ = 0;
};

struct store_state
{
    platform_database data_;
    std::map<std::uint16_t, machine_faults> machines_;
    std::map<std::string, std::int64_t> call_counts_;
    std::uint64_t next_connection_ = 1;
    std::mt19937_64 random_{1};

    bool draw_answer_loss(machine_faults const& machine)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) <
               machine.lost_answer_probability_;
    }
};

void print_event(std::string_view event, json::object fields)
{
    auto const now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    fields["time_ms"] = now.count();
    fields["event"] = event;
    std::cout << json::serialize(fields) << std::endl;
}

void set_faults(machine_faults& machine, json::object const& body,
                std::uint64_t next_connection)
{
    if (auto const* mode = body.if_contains("mode"))
    {
        machine.mode_ = parse_mode(mode->as_string());
    }
    if (auto const* slow = body.if_contains("slow_ms"))
    {
        machine.answer_delay_ = milliseconds(slow->to_number<std::int64_t>());
    }
    if (auto const* share = body.if_contains("lose_share"))
    {
        machine.lost_answer_probability_ = share->to_number<double>();
    }
    // Existing connections, and the watches pending on them, stay unanswered
    // also after the mode is set back.
    if (body.contains("silence_connections") ||
        machine.mode_ == answer_mode::never_answer)
    {
        machine.first_unsilenced_connection_ = next_connection;
    }
}

// Executes a command of the --control address; throws if the body is invalid.
http_response command(store_state& state, std::string const& path,
                      std::map<std::string, std::string> const& query,
                      std::string const& text)
{
    if (path == "/operator")
    {
        auto const version = json::parse(text).at("version");
        auto const key = query.find("key");
        state.data_.put(key == query.end() ? std::string(config_key)
                                           : key->second,
                        text, 0);
        print_event("acknowledged", {{"version", version}});
        return make_response(200, "{}");
    }
    if (path == "/fault")
    {
        auto const body = json::parse(text).as_object();
        auto const* ports = body.if_contains("ports");
        for (auto& [port, machine] : state.machines_)
        {
            bool const is_affected =
                ports == nullptr ||
                std::ranges::find(ports->as_array(), json::value(port)) !=
                    ports->as_array().end();
            if (is_affected)
            {
                set_faults(machine, body, state.next_connection_);
            }
        }
        if (body.contains("drop_history"))
        {
            state.data_.drop_history();
        }
        if (body.contains("save_copy"))
        {
            state.data_.save_copy();
        }
        if (body.contains("restore_copy"))
        {
            state.data_.restore_copy();
        }
        print_event("fault", {{"body", body}});
        return make_response(200, "{}");
    }
    if (path == "/stats")
    {
        json::object calls;
        for (auto const& [name, count] : state.call_counts_)
        {
            calls[name] = count;
        }
        return make_response(
            200, json::serialize(json::object{
                     {"calls", calls}, {"revision", state.data_.revision()}}));
    }
    return make_response(404, "{}");
}

// One connection of a machine, or of the --control address (port 0).
class session : public std::enable_shared_from_this<session>
{
public:
    session(store_state& state, std::uint16_t port,
            asio::ip::tcp::socket socket)
        : state_(state), port_(port),
          connection_number_(state.next_connection_++),
          stream_(std::move(socket)), timer_(stream_.get_executor())
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
    void handle()
    {
        std::string const target(parser_->get().target());
        auto const path = target.substr(0, target.find('?'));
        if (port_ == 0)
        {
            try
            {
                write(command(state_, path,
                              parse_query(parser_->get().target()),
                              parser_->get().body()));
            }
            catch (std::exception const& failure)
            {
                write(make_response(400, failure.what(), "text/plain"));
            }
            return;
        }
        ++state_.call_counts_[path.substr(0, path.find_first_of("0123456789"))];
        run_after(machine().answer_delay_,
                  [self = shared_from_this(), path] { self->answer(path); });
    }

    machine_faults const& machine() const
    {
        return state_.machines_.at(port_);
    }

    void run_after(milliseconds time, std::function<void()> next)
    {
        timer_.expires_after(time);
        timer_.async_wait([next = std::move(next)](beast::error_code code)
                          { code ? void() : next(); });
    }

    void answer(std::string const& path)
    {
        switch (machine().mode_)
        {
        case answer_mode::never_answer:
            hold_open();
            return;
        case answer_mode::unavailable:
            write(make_response(503, "{}"));
            return;
        case answer_mode::too_many_requests:
            write(make_response(429, "{}"));
            return;
        case answer_mode::reset:
            reset();
            return;
        case answer_mode::serve:
        case answer_mode::count:
            break;
        }
        try
        {
            serve(path);
        }
        catch (std::exception const& failure)
        {
            write(make_response(400, failure.what(), "text/plain"));
        }
    }

    void serve(std::string const& path)
    {
        auto const query = parse_query(parser_->get().target());
        state_.data_.expire_leases();
        if (path == "/api/kv-watch")
        {
            watch_prefix_ = query.at("prefix");
            watch_after_ = number_of(query, "after");
            watch_deadline_ =
                steady_clock::now() + milliseconds(number_of(query, "waitMs"));
            wait_for_event();
            return;
        }
        write(run(path, query));
    }

    http_response run(std::string const& path,
                      std::map<std::string, std::string> const& query)
    {
        constexpr std::string_view keep_path = "/api/kv-keep/";
        auto& data = state_.data_;
        if (path == "/api/kv-key")
        {
            return data.read_key(query.at("key"));
        }
        if (path == "/api/kv-range")
        {
            return data.read_range(query.at("prefix"));
        }
        if (path.starts_with(keep_path))
        {
            return data.renew_lease(std::stoll(path.substr(keep_path.size())));
        }
        auto const body = json::parse(parser_->get().body()).as_object();
        if (path == "/api/kv-txn")
        {
            return data.transact(body);
        }
        return path == "/api/kv-lease" ? data.grant_lease(body)
                                       : make_response(404, "{}");
    }

    void wait_for_event()
    {
        if (machine().mode_ != answer_mode::serve)
        {
            answer("/api/kv-watch");
            return;
        }
        if (!state_.data_.has_history(watch_after_))
        {
            write(make_response(410, "{}"));
            return;
        }
        auto const events = state_.data_.events(watch_prefix_, watch_after_);
        if (events.empty() && steady_clock::now() < watch_deadline_)
        {
            run_after(poll_interval,
                      [self = shared_from_this()] { self->wait_for_event(); });
            return;
        }
        write(make_response(200,
                            json::serialize(json::object{
                                {"events", events},
                                {"storeRevision", state_.data_.revision()}})));
    }

    void write(http_response response)
    {
        bool const is_silenced =
            port_ != 0 &&
            (connection_number_ < machine().first_unsilenced_connection_ ||
             state_.draw_answer_loss(machine()));
        if (is_silenced)
        {
            hold_open();
            return;
        }
        response_ = std::move(response);
        response_.set("Store-Era", std::to_string(state_.data_.era()));
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

    // Discards all input without an answer until the client closes the
    // connection.
    void hold_open()
    {
        stream_.async_read_some(
            asio::buffer(discarded_),
            [self = shared_from_this()](beast::error_code code, std::size_t)
            {
                if (!code)
                {
                    self->hold_open();
                }
            });
    }

    void reset()
    {
        stream_.socket().set_option(asio::socket_base::linger(true, 0));
        stream_.close();
    }

    store_state& state_;
    std::uint16_t port_;
    std::uint64_t connection_number_;
    beast::tcp_stream stream_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_response response_;
    std::array<char, 256> discarded_{};
    std::string watch_prefix_;
    std::int64_t watch_after_ = 0;
    steady_clock::time_point watch_deadline_;
};

// Accepts the connections at one address.
class listener
{
public:
    listener(asio::io_context& io, store_state& state,
             daisytrail::endpoint const& at, bool is_control)
        : state_(state), port_(is_control ? std::uint16_t{0} : at.port_),
          acceptor_(io, {asio::ip::address_v4(at.address_), at.port_})
    {
        accept();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](beast::error_code code, asio::ip::tcp::socket socket)
            {
                if (!code)
                {
                    std::make_shared<session>(state_, port_, std::move(socket))
                        ->read();
                }
                accept();
            });
    }

    store_state& state_;
    std::uint16_t port_;
    asio::ip::tcp::acceptor acceptor_;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform's metadata store");
    std::vector<std::string> listen;
    std::string control;
    app.add_option("--listen", listen, "address and port of one machine's way")
        ->required();
    app.add_option("--control", control, "address and port for commands")
        ->required();
    CLI11_PARSE(app, argc, argv);
    try
    {
        asio::io_context io;
        store_state state;
        std::deque<listener> listeners;
        for (auto const& address : listen)
        {
            auto const at = daisytrail::parse_endpoint(address);
            state.machines_[at.port_];
            listeners.emplace_back(io, state, at, false);
        }
        listeners.emplace_back(io, state, daisytrail::parse_endpoint(control),
                               true);
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](beast::error_code, int) { io.stop(); });
        io.run();
    }
    catch (std::exception const& failure)
    {
        std::cerr << "stand-in-platform-store: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
