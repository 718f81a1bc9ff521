// Stand-in for the network fabric. It accepts ordinary TCP connections on
// loopback, converts each into a flow of raw IPv4 packets and sprays the
// packets over the balancers, each packet to a random balancer. A seed
// determines which packets it loses, duplicates and reorders.
#include "lwip/splice.hpp"
#include "net/http_server.hpp"
#include "net/log.hpp"
#include "net/metrics.hpp"

#include <daisytrail/error.hpp>
#include <daisytrail/packet.hpp>
#include <daisytrail/tunnel.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <iostream>
#include <random>
#include <unordered_set>

namespace
{

namespace asio = boost::asio;
using namespace daisytrail;
using asio::ip::tcp;
using asio::ip::udp;

// Callers get addresses from 198.18.0.0/15, which RFC 2544 reserves for tests.
constexpr ipv4 first_caller_address = 0xC6120001;
constexpr std::uint16_t first_caller_port = 10'000;
constexpr std::uint16_t last_caller_port = 60'000;
constexpr std::chrono::milliseconds refused_retry_delay{200};
constexpr std::size_t socket_buffer_bytes = 8U << 20U;

// Probabilities of faults, from 0 to 1, and the longest delay of a reordered
// packet.
struct faults
{
    double loss_ = 0;
    double duplicate_ = 0;
    double reorder_ = 0;
    std::chrono::microseconds max_reorder_delay_{2'000};
};

// The fabric's link to one balancer. After a refused packet the link gets no
// packets for refused_retry_delay, as if a link check had failed.
struct balancer_link
{
    explicit balancer_link(asio::io_context& io) : socket_(io) {}

    endpoint address_;
    udp::socket socket_;
    std::chrono::steady_clock::time_point down_until_{};
};

class fabric
{
public:
    fabric(asio::io_context& io, endpoint const& from_agents,
           std::uint64_t seed)
        : io_(io), random_(seed), agent_socket_(io, to_udp(from_agents)),
          stack_(io, tunnel_mtu_bytes,
                 [this](std::span<std::byte const> packet) { spray(packet); })
    {
        agent_socket_.non_blocking(true);
        agent_socket_.set_option(
            asio::socket_base::receive_buffer_size(socket_buffer_bytes));
        receive();
    }

    void add_balancer(endpoint const& address)
    {
        auto added = std::make_unique<balancer_link>(io_);
        added->address_ = address;
        added->socket_.open(udp::v4());
        added->socket_.connect(to_udp(address));
        added->socket_.non_blocking(true);
        balancer_links_.push_back(std::move(added));
    }

    void remove_balancer(endpoint const& address)
    {
        std::erase_if(balancer_links_,
                      [&](std::unique_ptr<balancer_link> const& link)
                      { return link->address_ == address; });
    }

    // Accepts connections at `local` and opens a flow to `vip` for each.
    void listen(endpoint const& local, endpoint const& vip)
    {
        auto const acceptor = std::make_shared<tcp::acceptor>(io_);
        tcp::endpoint const at(asio::ip::address_v4(local.address_),
                               local.port_);
        acceptor->open(at.protocol());
        acceptor->set_option(asio::socket_base::reuse_address(true));
        acceptor->bind(at);
        acceptor->listen(4'096);
        accept(acceptor, vip);
    }

    void set_faults(faults const& value)
    {
        faults_ = value;
    }

    faults const& current_faults() const
    {
        return faults_;
    }

    void register_metrics(metrics& registry)
    {
        registry.gauge("fabric_flows_open", [this] { return open_flows_; });
        registry.gauge("fabric_flows_opened", [this] { return opened_flows_; });
        registry.gauge("fabric_flows_failed", [this] { return failed_flows_; });
        registry.gauge("fabric_flows_reset", [this] { return reset_flows_; });
        registry.gauge("fabric_packets_out", [this] { return packets_sent_; });
        registry.gauge("fabric_packets_in",
                       [this] { return packets_received_; });
        registry.gauge("fabric_packets_unsent",
                       [this] { return packets_unsent_; });
    }

private:
    static udp::endpoint to_udp(endpoint const& value)
    {
        return {asio::ip::address_v4(value.address_), value.port_};
    }

    bool chance(double probability)
    {
        return probability > 0 &&
               std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    void spray(std::span<std::byte const> packet)
    {
        if (chance(faults_.loss_))
        {
            return;
        }
        if (chance(faults_.duplicate_))
        {
            send_to_any(packet);
        }
        if (!chance(faults_.reorder_))
        {
            send_to_any(packet);
            return;
        }
        std::uniform_int_distribution<std::int64_t> spread(
            0, faults_.max_reorder_delay_.count());
        auto const timer = std::make_shared<asio::steady_timer>(
            io_, std::chrono::microseconds(spread(random_)));
        timer->async_wait(
            [this, timer, link = std::vector(packet.begin(), packet.end())](
                boost::system::error_code) { send_to_any(link); });
    }

    // Tries the balancers in random order until a send isn't refused.
    void send_to_any(std::span<std::byte const> packet)
    {
        auto const now = std::chrono::steady_clock::now();
        std::vector<balancer_link*> available;
        for (auto const& link : balancer_links_)
        {
            if (link->down_until_ <= now)
            {
                available.push_back(link.get());
            }
        }
        while (!available.empty())
        {
            std::uniform_int_distribution<std::size_t> any(0, available.size() -
                                                                  1);
            auto const at = any(random_);
            boost::system::error_code code;
            available[at]->socket_.send(
                asio::buffer(packet.data(), packet.size()), 0, code);
            if (code != asio::error::connection_refused)
            {
                ++packets_sent_;
                return;
            }
            available[at]->down_until_ = now + refused_retry_delay;
            available.erase(available.begin() +
                            static_cast<std::ptrdiff_t>(at));
        }
        ++packets_unsent_;
    }

    void receive()
    {
        agent_socket_.async_wait(udp::socket::wait_read,
                                 [this](boost::system::error_code code)
                                 {
                                     if (code)
                                     {
                                         return;
                                     }
                                     receive_all();
                                     receive();
                                 });
    }

    void receive_all()
    {
        constexpr int batch = 256;
        for (int i = 0; i < batch; ++i)
        {
            udp::endpoint from;
            boost::system::error_code code;
            auto const count = agent_socket_.receive_from(asio::buffer(buffer_),
                                                          from, 0, code);
            if (code)
            {
                return;
            }
            ++packets_received_;
            if (!chance(faults_.loss_))
            {
                stack_.input(std::span(buffer_).first(count));
            }
        }
    }

    void accept(std::shared_ptr<tcp::acceptor> const& acceptor,
                endpoint const& vip)
    {
        acceptor->async_accept(
            [this, acceptor, vip](boost::system::error_code code,
                                  tcp::socket socket)
            {
                if (!code)
                {
                    open(std::make_shared<tcp::socket>(std::move(socket)), vip);
                }
                accept(acceptor, vip);
            });
    }

    // Takes callers' addresses and ports in sequence, so that an address isn't
    // reused while balancers or agents may still hold state of its last flow.
    endpoint next_caller()
    {
        endpoint const caller{
            first_caller_address +
                next_caller_index_ / (last_caller_port - first_caller_port),
            static_cast<std::uint16_t>(
                first_caller_port +
                next_caller_index_ % (last_caller_port - first_caller_port))};
        ++next_caller_index_;
        return caller;
    }

    void open(std::shared_ptr<tcp::socket> const& socket, endpoint const& vip)
    {
        auto const flow = std::make_shared<std::weak_ptr<tcp_flow>>();
        tcp_handlers handlers;
        handlers.on_connected_ = [this, flow, socket]
        {
            ++opened_flows_;
            ++open_flows_;
            auto const flow_splice = std::make_shared<daisytrail::splice>(
                flow->lock(), std::move(*socket),
                [this](splice_outcome outcome, splice_bytes const&)
                {
                    --open_flows_;
                    reset_flows_ +=
                        outcome == splice_outcome::flow_reset ? 1 : 0;
                });
            flow_splice->start();
        };
        handlers.on_closed_ = [this, socket](bool)
        {
            ++failed_flows_;
            boost::system::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        };
        *flow = stack_.connect({next_caller(), vip}, std::move(handlers));
    }

    asio::io_context& io_;
    std::mt19937_64 random_;
    udp::socket agent_socket_;
    tcp_stack stack_;
    std::vector<std::unique_ptr<balancer_link>> balancer_links_;
    faults faults_;
    std::array<std::byte, 65'536> buffer_{};
    std::uint32_t next_caller_index_ = 0;
    double open_flows_ = 0;   // flows with a running splice
    double opened_flows_ = 0; // completed handshakes
    double failed_flows_ = 0; // flows closed before the handshake completed
    double reset_flows_ = 0;  // open flows that the VIP's side reset
    double packets_sent_ = 0;
    double packets_received_ = 0;
    double packets_unsent_ = 0; // packets that every balancer refused
};

faults parse_faults(faults value, boost::json::object const& fields)
{
    for (auto const& [name, field] : fields)
    {
        if (name == "loss")
        {
            value.loss_ = field.to_number<double>();
        }
        else if (name == "duplicate")
        {
            value.duplicate_ = field.to_number<double>();
        }
        else if (name == "reorder")
        {
            value.reorder_ = field.to_number<double>();
        }
        else if (name == "delay_us")
        {
            value.max_reorder_delay_ =
                std::chrono::microseconds(field.to_number<std::int64_t>());
        }
        else
        {
            throw error(error_kind::invalid_argument,
                        "unknown fault '" + std::string(name) + "'");
        }
    }
    return value;
}

// Parses "LOCAL=VIP" into two endpoints.
std::pair<endpoint, endpoint> parse_mapping(std::string const& text)
{
    auto const equals = text.find('=');
    if (equals == std::string::npos)
    {
        throw error(error_kind::invalid_argument,
                    "found '" + text + "', expected LOCAL=VIP");
    }
    return {parse_endpoint(text.substr(0, equals)),
            parse_endpoint(text.substr(equals + 1))};
}

int run(int argc, char** argv)
{
    CLI::App app{"Fabric stand-in for tests: sprays flows over balancers."};
    std::vector<std::string> mappings;
    std::vector<std::string> balancers;
    std::string from_agents = "127.0.0.1:7100";
    std::string http = "127.0.0.1:7101";
    std::uint64_t seed = 1;
    faults initial;
    app.add_option("--listen", mappings,
                   "LOCAL=VIP, for example "
                   "127.0.0.1:18080=203.0.113.10:80");
    app.add_option("--balancer", balancers, "data endpoint of a balancer");
    app.add_option("--from-agents", from_agents, "where agents send packets");
    app.add_option("--http", http, "control and metrics page");
    app.add_option("--seed", seed, "seed of the spray and of the faults");
    app.add_option("--loss", initial.loss_, "probability of a lost packet");
    app.add_option("--duplicate", initial.duplicate_, "of a doubled packet");
    app.add_option("--reorder", initial.reorder_, "of a delayed packet");
    CLI11_PARSE(app, argc, argv);

    start_log("stand-in-fabric", "fabric");
    asio::io_context io(1);
    metrics registry;
    fabric spray(io, parse_endpoint(from_agents), seed);
    spray.set_faults(initial);
    spray.register_metrics(registry);
    for (auto const& balancer : balancers)
    {
        spray.add_balancer(parse_endpoint(balancer));
    }
    for (auto const& mapping : mappings)
    {
        auto const [local, vip] = parse_mapping(mapping);
        spray.listen(local, vip);
    }
    http_server page(io, parse_endpoint(http));
    page.route("GET", "/metrics",
               [&](http_request const&)
               { return make_response(200, registry.text(), "text/plain"); });
    page.route("POST", "/fault",
               [&](http_request const& request)
               {
                   spray.set_faults(parse_faults(
                       spray.current_faults(),
                       boost::json::parse(request.body()).as_object()));
                   return make_response(200, "{}");
               });
    page.route(
        "POST", "/balancers",
        [&](http_request const& request)
        {
            auto const body = boost::json::parse(request.body()).as_object();
            if (auto const* added = body.if_contains("add"))
            {
                spray.add_balancer(parse_endpoint(added->as_string()));
            }
            if (auto const* removed = body.if_contains("remove"))
            {
                spray.remove_balancer(parse_endpoint(removed->as_string()));
            }
            return make_response(200, "{}");
        });
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "stand-in-fabric: " << failure.what() << '\n';
        return 1;
    }
}
