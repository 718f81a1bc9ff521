// Proxy for UDP and TCP links between two processes, which injects faults on
// command. Each link listens on one address and forwards to another:
//   stand-in-fault-proxy --http 127.0.0.1:9000 --seed 7
//       --udp 127.0.0.1:9001=127.0.0.1:7001 --tcp 127.0.0.1:9002=127.0.0.1:2379
//   POST /fault {"link": "127.0.0.1:9001", "direction": "forward",
//                "set": {"loss": 0.05}}
// "link" may be "*" for all links; "direction" is "forward", "back" or "both".
// A cut of both directions of a TCP link closes its connections; a cut of one
// direction delays its bytes until the cut ends. GET /stats returns the counts
// of packets and bytes.
#include "net/http_server.hpp"
#include "support/link_faults.hpp"

#include <daisytrail/error.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <memory>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace daisytrail;
using asio::ip::tcp;
using asio::ip::udp;
using error_code = boost::system::error_code;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t max_datagram_bytes = 65'536;
constexpr std::size_t stream_chunk_bytes = 16'384;
constexpr std::size_t max_clients = 1'024; // per UDP link
constexpr std::chrono::milliseconds cut_poll_interval{20};

template <typename Protocol>
typename Protocol::endpoint to_asio(endpoint const& value)
{
    return {asio::ip::address_v4(value.address_), value.port_};
}

// Faults and counters of one direction of a link.
struct direction
{
    explicit direction(std::uint64_t seed) : faults_(seed) {}

    link_faults faults_;
    std::uint64_t packets_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t lost_ = 0;
};

class link_base
{
public:
    link_base(std::string name, std::uint64_t seed)
        : name_(std::move(name)), forward_(seed), back_(seed + 1)
    {
    }
    virtual ~link_base() = default;

    // Called after each change of the link's fault settings.
    virtual void on_settings_changed() {}

    std::string name_;
    direction forward_;
    direction back_;
};

using payload = std::shared_ptr<std::vector<char>>;

// UDP link. Each client has its own socket towards the peer, so that the peer's
// answers can be returned to the client that sent the request.
class udp_link : public link_base
{
public:
    udp_link(asio::io_context& io, endpoint const& listen, endpoint const& peer,
             std::uint64_t seed)
        : link_base(to_string(listen), seed), io_(io),
          socket_(io, to_asio<udp>(listen)), peer_(to_asio<udp>(peer))
    {
        receive();
    }

private:
    struct client
    {
        client(asio::io_context& io, udp::endpoint from)
            : socket_(io, udp::endpoint(udp::v4(), 0)), from_(std::move(from))
        {
        }

        udp::socket socket_;
        udp::endpoint from_;
        udp::endpoint sender_;
        std::vector<char> buffer_ = std::vector<char>(max_datagram_bytes);
    };

    void receive()
    {
        socket_.async_receive_from(
            asio::buffer(buffer_), from_,
            [this](error_code code, std::size_t size)
            {
                if (code == asio::error::operation_aborted)
                {
                    return;
                }
                if (auto* const sending_client = code ? nullptr : find_client())
                {
                    send(forward_, sending_client->socket_, peer_, buffer_,
                         size);
                }
                receive();
            });
    }

    client* find_client()
    {
        auto& slot = clients_[from_];
        if (!slot && clients_.size() > max_clients)
        {
            clients_.erase(from_);
            return nullptr;
        }
        if (!slot)
        {
            slot = std::make_unique<client>(io_, from_);
            receive_back(*slot);
        }
        return slot.get();
    }

    void receive_back(client& from)
    {
        from.socket_.async_receive_from(
            asio::buffer(from.buffer_), from.sender_,
            [this, &from](error_code code, std::size_t size)
            {
                if (code == asio::error::operation_aborted)
                {
                    return;
                }
                if (!code)
                {
                    send(back_, socket_, from.from_, from.buffer_, size);
                }
                receive_back(from);
            });
    }

    void send(direction& link_direction, udp::socket& socket,
              udp::endpoint const& to, std::vector<char> const& buffer,
              std::size_t size)
    {
        ++link_direction.packets_;
        link_direction.bytes_ += size;
        auto const now = clock_type::now();
        auto const times = link_direction.faults_.arrival_times(size, now);
        link_direction.lost_ += times.empty() ? 1 : 0;
        for (auto const at : times)
        {
            if (at <= now)
            {
                error_code ignored;
                socket.send_to(asio::buffer(buffer.data(), size), to, 0,
                               ignored);
                continue;
            }
            send_later(at, socket, to,
                       std::make_shared<std::vector<char>>(
                           buffer.begin(),
                           buffer.begin() + static_cast<std::ptrdiff_t>(size)));
        }
    }

    void send_later(clock_type::time_point at, udp::socket& socket,
                    udp::endpoint const& to, payload const& data)
    {
        auto const timer = std::make_shared<asio::steady_timer>(io_, at);
        timer->async_wait(
            [timer, &socket, to, data](error_code code)
            {
                error_code ignored;
                if (!code)
                {
                    socket.send_to(asio::buffer(*data), to, 0, ignored);
                }
            });
    }

    asio::io_context& io_;
    udp::socket socket_;
    udp::endpoint peer_;
    udp::endpoint from_;
    std::vector<char> buffer_ = std::vector<char>(max_datagram_bytes);
    std::map<udp::endpoint, std::unique_ptr<client>> clients_;
};

// A client's TCP connection and the proxy's connection to the peer.
class relayed_connection
    : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(asio::io_context& io, tcp::socket client_socket,
                       direction& forward, direction& back)
        : client_socket_(std::move(client_socket)), peer_socket_(io),
          forward_timer_(io), back_timer_(io), forward_(forward), back_(back)
    {
    }

    void start(tcp::endpoint const& peer)
    {
        peer_socket_.async_connect(
            peer,
            [self = shared_from_this()](error_code code)
            {
                if (code)
                {
                    self->close();
                    return;
                }
                self->relay(self->client_socket_, self->peer_socket_,
                            self->forward_timer_, self->forward_);
                self->relay(self->peer_socket_, self->client_socket_,
                            self->back_timer_, self->back_);
            });
    }

    void close()
    {
        error_code ignored;
        client_socket_.close(ignored);
        peer_socket_.close(ignored);
        forward_timer_.cancel();
        back_timer_.cancel();
    }

private:
    void relay(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer,
               direction& link_direction)
    {
        auto const data =
            std::make_shared<std::vector<char>>(stream_chunk_bytes);
        from.async_read_some(
            asio::buffer(*data),
            [this, self = shared_from_this(), &from, &to, &timer,
             &link_direction, data](error_code code, std::size_t size)
            {
                if (code == asio::error::eof)
                {
                    error_code ignored;
                    to.shutdown(tcp::socket::shutdown_send, ignored);
                    return;
                }
                if (code)
                {
                    close();
                    return;
                }
                data->resize(size);
                link_direction.bytes_ += size;
                ++link_direction.packets_;
                timer.expires_at(link_direction.faults_.stream_arrival_time(
                    size, clock_type::now()));
                deliver(from, to, timer, link_direction, data);
            });
    }

    // Writes the data at its arrival time, or later once the direction is no
    // longer cut.
    void deliver(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer,
                 direction& link_direction, payload const& data)
    {
        timer.async_wait(
            [this, self = shared_from_this(), &from, &to, &timer,
             &link_direction, data](error_code code)
            {
                if (code)
                {
                    return;
                }
                if (link_direction.faults_.settings_.cut_)
                {
                    timer.expires_after(cut_poll_interval);
                    deliver(from, to, timer, link_direction, data);
                    return;
                }
                write(from, to, timer, link_direction, data);
            });
    }

    void write(tcp::socket& from, tcp::socket& to, asio::steady_timer& timer,
               direction& link_direction, payload const& data)
    {
        asio::async_write(to, asio::buffer(*data),
                          [this, self = shared_from_this(), &from, &to, &timer,
                           &link_direction, data](error_code code, std::size_t)
                          {
                              if (code)
                              {
                                  close();
                                  return;
                              }
                              relay(from, to, timer, link_direction);
                          });
    }

    tcp::socket client_socket_;
    tcp::socket peer_socket_;
    asio::steady_timer forward_timer_;
    asio::steady_timer back_timer_;
    direction& forward_;
    direction& back_;
};

class tcp_link : public link_base
{
public:
    tcp_link(asio::io_context& io, endpoint const& listen, endpoint const& peer,
             std::uint64_t seed)
        : link_base(to_string(listen), seed), io_(io),
          acceptor_(io, to_asio<tcp>(listen)), peer_(to_asio<tcp>(peer))
    {
        accept();
    }

    void on_settings_changed() override
    {
        if (!is_cut())
        {
            return;
        }
        for (auto const& weak : connections_)
        {
            if (auto const pair = weak.lock())
            {
                pair->close();
            }
        }
        connections_.clear();
    }

private:
    bool is_cut() const
    {
        return forward_.faults_.settings_.cut_ && back_.faults_.settings_.cut_;
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code code, tcp::socket socket)
            {
                if (code == asio::error::operation_aborted)
                {
                    return;
                }
                if (!code && !is_cut())
                {
                    auto const pair = std::make_shared<relayed_connection>(
                        io_, std::move(socket), forward_, back_);
                    std::erase_if(connections_, [](auto const& weak)
                                  { return weak.expired(); });
                    connections_.push_back(pair);
                    pair->start(peer_);
                }
                accept();
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint peer_;
    std::vector<std::weak_ptr<relayed_connection>> connections_;
};

using link_list = std::vector<std::unique_ptr<link_base>>;

std::string require_string(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        throw error(error_kind::invalid_argument,
                    "no string '" + std::string(name) + "'");
    }
    return std::string(value->get_string());
}

void change_link(link_base& link, std::string const& link_direction,
                 json::object const& wanted)
{
    if (link_direction != "forward" && link_direction != "back" &&
        link_direction != "both")
    {
        throw error(error_kind::invalid_argument,
                    "direction: expected 'forward', 'back' or 'both'");
    }
    if (link_direction != "back")
    {
        change_settings(link.forward_.faults_.settings_, wanted);
    }
    if (link_direction != "forward")
    {
        change_settings(link.back_.faults_.settings_, wanted);
    }
    link.on_settings_changed();
}

http_response change_faults(link_list& links, http_request const& request)
{
    json::error_code code;
    auto const value = json::parse(request.body(), code);
    if (code || !value.is_object() ||
        value.get_object().if_contains("set") == nullptr ||
        !value.get_object().at("set").is_object())
    {
        throw error(error_kind::invalid_argument,
                    "expected {\"link\", \"direction\", \"set\": {...}}");
    }
    auto const& object = value.get_object();
    auto const name = require_string(object, "link");
    std::size_t changed = 0;
    for (auto const& link : links)
    {
        if (name == "*" || name == link->name_)
        {
            change_link(*link, require_string(object, "direction"),
                        object.at("set").get_object());
            ++changed;
        }
    }
    if (changed == 0)
    {
        throw error(error_kind::not_found, "no link " + name);
    }
    return make_response(200,
                         json::serialize(json::object{{"links", changed}}));
}

json::object to_json(direction const& link_direction)
{
    return {{"packets", link_direction.packets_},
            {"bytes", link_direction.bytes_},
            {"lost", link_direction.lost_}};
}

http_response stats(link_list const& links)
{
    json::object all;
    for (auto const& link : links)
    {
        all[link->name_] = json::object{{"forward", to_json(link->forward_)},
                                        {"back", to_json(link->back_)}};
    }
    return make_response(200, json::serialize(all));
}

struct link_addresses
{
    endpoint listen_;
    endpoint peer_;
};

link_addresses parse_link_addresses(std::string const& text)
{
    auto const equals = text.find('=');
    if (equals == std::string::npos)
    {
        throw error(error_kind::invalid_argument,
                    text + ": expected LISTEN=PEER");
    }
    return {parse_endpoint(text.substr(0, equals)),
            parse_endpoint(text.substr(equals + 1))};
}

template <typename Link>
void add_links(asio::io_context& io, std::vector<std::string> const& pairs,
               std::uint64_t& seed, link_list& links)
{
    constexpr std::uint64_t directions = 2;
    for (auto const& text : pairs)
    {
        auto const pair = parse_link_addresses(text);
        links.push_back(
            std::make_unique<Link>(io, pair.listen_, pair.peer_, seed));
        seed += directions;
    }
}

struct options
{
    std::string http_;
    std::vector<std::string> udp_;
    std::vector<std::string> tcp_;
    std::uint64_t seed_ = 1;
};

int run(options const& given)
{
    asio::io_context io;
    link_list links;
    auto seed = given.seed_;
    add_links<udp_link>(io, given.udp_, seed, links);
    add_links<tcp_link>(io, given.tcp_, seed, links);
    http_server page(io, parse_endpoint(given.http_));
    page.route("POST", "/fault",
               [&](http_request const& request)
               { return change_faults(links, request); });
    page.route("GET", "/stats",
               [&](http_request const&) { return stats(links); });
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](error_code, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("Proxy with faults by command");
    app.add_option("--http", given.http_, "address of the command page")
        ->required();
    app.add_option("--udp", given.udp_, "LISTEN=PEER; may be repeated");
    app.add_option("--tcp", given.tcp_, "LISTEN=PEER; may be repeated");
    app.add_option("--seed", given.seed_, "of every random decision");
    CLI11_PARSE(app, argc, argv);
    try
    {
        return run(given);
    }
    catch (std::exception const& fault)
    {
        std::cerr << fault.what() << "\n";
        return 1;
    }
}
