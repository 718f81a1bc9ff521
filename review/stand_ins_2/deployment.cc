// A small deployment on loopback for the cases of review/: the project's own
// balancers and agents as processes, the project's stand-in of the platform's
// store, and simulated routers, clients and targets, which behave as the
// platform's pages say. Each machine has a loopback address of its own.
//
// deployment MODE --programs DIR --stand-ins DIR --work DIR --record FILE
//            [--calm]
// Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
#include "support/child_process.hpp"
#include "support/trial_timeline.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;
using boost::beast::http::verb;
using daisytrail::child_process;
using daisytrail::endpoint;
using daisytrail::trial_timeline;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

// Bounds and behaviour that the platform's pages state.
constexpr milliseconds stable_window{4'000};
constexpr milliseconds idle_timeout{15'000};
constexpr milliseconds flow_lifetime{60'000};
constexpr milliseconds lead_time{10'000};
constexpr milliseconds recovery_time{12'000};
constexpr milliseconds seed_lag{3'000};
constexpr milliseconds heartbeat_interval{770};
constexpr milliseconds heartbeat_timeout{1'000};
constexpr milliseconds readiness_interval{500};
constexpr int misses_until_removal = 2;
constexpr std::array<milliseconds, 3> syn_times{
    milliseconds(0), milliseconds(200), milliseconds(600)};
constexpr milliseconds syn_lifetime{1'400};
constexpr milliseconds first_retransmission{200};
constexpr milliseconds max_retransmission{1'600};
constexpr std::uint32_t window_bytes = 76'800;
constexpr milliseconds client_deadline{3'000};
constexpr milliseconds work_time{20};
constexpr std::uint32_t request_bytes = 200;
constexpr std::uint32_t response_bytes = 1'000;

constexpr std::uint8_t flag_ack = 1;
constexpr std::uint8_t flag_fin = 8;
constexpr std::uint8_t flag_returned = 32;
constexpr std::uint8_t flag_syn = 64;
constexpr std::uint8_t flag_reset = 128;
constexpr std::size_t head_bytes = 32;

using bytes = std::vector<unsigned char>;

struct packet
{
    std::uint8_t flags_ = 0;
    endpoint from_;
    endpoint to_;
    std::uint32_t sum_ = 0;
    std::uint32_t data_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t acknowledgement_ = 0;

    bool has(std::uint8_t flag) const
    {
        return (flags_ & flag) != 0;
    }
};

std::uint32_t get(bytes const& from, std::size_t at, std::size_t width)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
    {
        value |= std::uint32_t{from[at + i]} << (8 * i);
    }
    return value;
}

void put(bytes& to, std::size_t at, std::size_t width, std::uint32_t value)
{
    for (std::size_t i = 0; i < width; ++i)
    {
        to[at + i] = static_cast<unsigned char>(value >> (8 * i));
    }
}

std::optional<packet> read_packet(bytes const& from)
{
    if (from.size() < head_bytes ||
        from.size() != head_bytes + get(from, 22, 2))
    {
        return std::nullopt;
    }
    packet result;
    result.flags_ = from[0];
    result.from_ = {get(from, 4, 4),
                    static_cast<std::uint16_t>(get(from, 2, 2))};
    result.to_ = {get(from, 10, 4),
                  static_cast<std::uint16_t>(get(from, 8, 2))};
    result.sum_ = get(from, 18, 4);
    result.data_ = get(from, 22, 2);
    result.sequence_ = get(from, 24, 4);
    result.acknowledgement_ = get(from, 28, 4);
    return result;
}

bytes write_packet(packet const& value)
{
    bytes result(head_bytes + value.data_);
    result[0] = value.flags_;
    put(result, 2, 2, value.from_.port_);
    put(result, 4, 4, value.from_.address_);
    put(result, 8, 2, value.to_.port_);
    put(result, 10, 4, value.to_.address_);
    put(result, 18, 4, 0x5a5a5a5a); // the key of the sum isn't disclosed
    put(result, 22, 2, value.data_);
    put(result, 24, 4, value.sequence_);
    put(result, 28, 4, value.acknowledgement_);
    return result;
}

std::string name_of(endpoint const& value)
{
    return to_string(value);
}

endpoint to_endpoint(udp::endpoint const& value)
{
    return {value.address().to_v4().to_uint(), value.port()};
}

udp::endpoint to_udp(endpoint const& value)
{
    return {asio::ip::address_v4(value.address_), value.port_};
}

// A UDP socket that passes each datagram to a handler.
class udp_port
{
public:
    using handler = std::function<void(bytes const&, endpoint const&)>;

    udp_port(asio::io_context& io, endpoint const& local, handler on_datagram)
        : socket_(io, to_udp(local)), on_datagram_(std::move(on_datagram))
    {
        socket_.set_option(udp::socket::receive_buffer_size(1 << 21));
        // The processes that are started later must not hold the address.
        ::fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);
        receive();
    }

    void send(bytes const& datagram, endpoint const& to)
    {
        boost::system::error_code ignored;
        socket_.send_to(asio::buffer(datagram), to_udp(to), 0, ignored);
    }

private:
    void receive()
    {
        buffer_.resize(2'048);
        socket_.async_receive_from(
            asio::buffer(buffer_), sender_,
            [this](boost::system::error_code code, std::size_t size)
            {
                if (code == asio::error::operation_aborted)
                {
                    return;
                }
                if (!code)
                {
                    buffer_.resize(size);
                    on_datagram_(buffer_, to_endpoint(sender_));
                }
                receive();
            });
    }

    udp::socket socket_;
    handler on_datagram_;
    bytes buffer_;
    udp::endpoint sender_;
};

// A way to the store that can lose the answer of one write, which is executed
// later. Each connection carries one call.
class store_way
{
public:
    using tcp = asio::ip::tcp;
    using note_function = std::function<void(std::string const&)>;

    store_way(asio::io_context& io, endpoint const& local,
              endpoint const& store, note_function note)
        : io_(io), acceptor_(io, to_tcp(local)), store_(store),
          note_(std::move(note))
    {
        ::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
        accept();
    }

    // Loses the answer of the next call whose body has `text`, and executes the
    // call after `delay`.
    void lose_next(std::string text, milliseconds delay)
    {
        lost_text_ = std::move(text);
        delay_ = delay;
    }

private:
    struct call
    {
        explicit call(asio::io_context& io)
            : client_(io), store_(io), timer_(io)
        {
        }

        tcp::socket client_;
        tcp::socket store_;
        asio::steady_timer timer_;
        std::string request_;
        std::array<char, 16'384> up_{};
        std::array<char, 65'536> down_{};
        bool is_lost_ = false;
    };

    using call_ptr = std::shared_ptr<call>;

    static tcp::endpoint to_tcp(endpoint const& value)
    {
        return {asio::ip::address_v4(value.address_), value.port_};
    }

    void accept()
    {
        auto next = std::make_shared<call>(io_);
        acceptor_.async_accept(next->client_,
                               [this, next](boost::system::error_code code)
                               {
                                   if (code == asio::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   if (!code)
                                   {
                                       ::fcntl(next->client_.native_handle(),
                                               F_SETFD, FD_CLOEXEC);
                                       read(next);
                                   }
                                   accept();
                               });
    }

    static bool is_whole(std::string const& request)
    {
        auto const end = request.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            return false;
        }
        auto const at = request.find("Content-Length: ");
        auto const length =
            at < end ? std::stoul(request.substr(at + 16, 12)) : 0;
        return request.size() >= end + 4 + length;
    }

    void read(call_ptr const& each)
    {
        each->client_.async_read_some(
            asio::buffer(each->up_),
            [this, each](boost::system::error_code code, std::size_t size)
            {
                if (code)
                {
                    return;
                }
                each->request_.append(each->up_.data(), size);
                if (!is_whole(each->request_))
                {
                    read(each);
                    return;
                }
                bool const is_lost =
                    !lost_text_.empty() &&
                    each->request_.find("POST /api/kv-txn") == 0 &&
                    each->request_.find(lost_text_) != std::string::npos;
                if (!is_lost)
                {
                    forward(each);
                    return;
                }
                lost_text_.clear();
                each->is_lost_ = true;
                note_("the answer of a write is lost; it is executed " +
                      std::to_string(delay_.count()) + " ms later");
                each->timer_.expires_after(delay_);
                each->timer_.async_wait(
                    [this, each](boost::system::error_code)
                    {
                        note_("the late write is executed");
                        forward(each);
                    });
            });
    }

    void forward(call_ptr const& each)
    {
        each->store_.async_connect(
            to_tcp(store_),
            [this, each](boost::system::error_code code)
            {
                if (code)
                {
                    return;
                }
                ::fcntl(each->store_.native_handle(), F_SETFD, FD_CLOEXEC);
                asio::async_write(
                    each->store_, asio::buffer(each->request_),
                    [this, each](boost::system::error_code failure, std::size_t)
                    {
                        if (!failure)
                        {
                            pass_back(each);
                        }
                    });
            });
    }

    void pass_back(call_ptr const& each)
    {
        each->store_.async_read_some(
            asio::buffer(each->down_),
            [this, each](boost::system::error_code code, std::size_t size)
            {
                if (code)
                {
                    return;
                }
                if (each->is_lost_)
                {
                    pass_back(each);
                    return;
                }
                asio::async_write(
                    each->client_, asio::buffer(each->down_.data(), size),
                    [this, each](boost::system::error_code failure, std::size_t)
                    {
                        if (!failure)
                        {
                            pass_back(each);
                        }
                    });
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    endpoint store_;
    note_function note_;
    std::string lost_text_;
    milliseconds delay_{};
};

// The state of a flow at its target.
struct target_flow
{
    std::uint32_t sequence_ = 0; // of the SYN+ACK
    std::uint32_t expected_ = 0; // next sequence number of the client
    std::uint32_t sent_ = 0;     // bytes after the SYN+ACK
    bool is_open_ = false;
    bool has_ended_ = false;
    time_point opened_at_{};
    std::optional<packet> last_response_;
};

using flow_key = std::pair<endpoint, endpoint>; // client, route

struct machine
{
    std::string name_;
    std::string zone_;
    std::uint32_t ip_ = 0;
    int store_port_ = 0;
    std::unique_ptr<child_process> process_;
    // Last start, signal that ends it or freeze; the machine is in touch again
    // a stable window later.
    time_point disrupted_at_{};
    bool is_gone_ = false;
};

struct target
{
    std::string id_;
    std::string service_;
    machine* machine_ = nullptr;
    std::unique_ptr<udp_port> port_;
    std::uint64_t born_ = 0;
    std::uint64_t beats_ = 0;
    bool is_alive_ = true;
    std::uint32_t next_sequence_ = 0;
    std::map<flow_key, target_flow> flows_;
    std::size_t runs_ = 0;
    std::size_t opened_ = 0;
};

enum class client_state
{
    opening,
    waiting, // for the response
    pausing,
    closing,
    ended
};

struct client_flow
{
    int number_ = 0;
    std::string zone_;
    endpoint client_;
    endpoint route_;
    client_state state_ = client_state::opening;
    bool is_open_ = false; // this end has the SYN+ACK
    time_point started_at_{};
    time_point request_at_{};
    time_point last_packet_at_{};
    time_point due_at_{};
    milliseconds retransmission_{};
    std::uint32_t syns_ = 0;
    std::uint32_t sequence_ = 0; // of the SYN
    std::uint32_t next_ = 0;     // first byte of the request under way
    std::uint32_t received_ = 0; // next byte of the target
    int requests_ = 0;
    std::deque<milliseconds> pauses_;         // before the further requests
    std::map<std::string, time_point> edges_; // that took its packets
};

struct edge_state
{
    machine* machine_ = nullptr;
    int misses_ = misses_until_removal;
};

struct plan
{
    std::string mode_;
    std::string programs_;
    std::string stand_ins_;
    std::string work_;
    std::string record_;
    bool is_calm_ = false;
};

class deployment
{
public:
    explicit deployment(plan options)
        : options_(std::move(options)), record_(options_.record_),
          random_(std::random_device{}())
    {
        choose_addresses();
    }

    int run();

private:
    // Times.
    double since_start() const
    {
        return std::chrono::duration<double>(clock_type::now() - started_at_)
            .count();
    }

    void note(std::string const& text)
    {
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%9.3f ", since_start());
        record_ << time.data() << text << '\n';
    }

    void say(std::string const& text)
    {
        note(text);
        std::cout << text << std::endl;
    }

    void after(milliseconds time, std::function<void()> task)
    {
        timeline_.run_after(time, std::move(task));
    }

    // Addresses.
    std::uint32_t ip(unsigned group, unsigned number) const
    {
        return (127U << 24U) | (network_ << 16U) | (group << 8U) | number;
    }

    std::string text(std::uint32_t address, int port) const
    {
        return to_string(endpoint{address, static_cast<std::uint16_t>(port)});
    }

    endpoint at(std::uint32_t address, int port) const
    {
        return {address, static_cast<std::uint16_t>(port)};
    }

    int data_port() const
    {
        return first_port_;
    }
    int ready_port() const
    {
        return first_port_ + 1;
    }
    int control_port() const
    {
        return first_port_ + 2;
    }
    int outbound_port() const
    {
        return first_port_ + 3;
    }
    int app_port() const
    {
        return first_port_ + 4;
    }
    int commands_port() const
    {
        return first_port_ + 5;
    }
    int range_first() const
    {
        return first_port_ + 10;
    }
    int range_last() const
    {
        return first_port_ + 25;
    }
    endpoint commands() const
    {
        return at(ip(200, 1), commands_port());
    }
    endpoint route_of(std::string const& service) const
    {
        return at(ip(100, service == "depot-orders" ? 1 : 2), 443);
    }

    void choose_addresses();

    // Machines.
    std::string seeds() const;
    machine& add_edge(std::string const& zone);
    machine& replace_edge(std::size_t place);
    void lose(machine& value);
    void announce_seeds();
    void set_store_mode(std::string const& mode);
    void roll(machine& value, milliseconds down);
    machine& add_side(std::string const& zone);
    void write_edge_settings(machine const& value);
    void start_edge(machine& value);
    void start_side(machine& value, std::string const& service);
    void write_side_settings(machine const& value, std::string const& service);
    void start_store();
    void put_config();
    bool is_in_touch(machine const& value) const
    {
        return !value.is_gone_ && value.process_ &&
               clock_type::now() >= value.disrupted_at_ + stable_window;
    }

    // Targets.
    target& start_target(machine& on, std::string const& service,
                         std::string const& id);
    void beat(target& value);
    void on_target_packet(target& value, bytes const& datagram);
    void answer(target& value, packet const& from, target_flow& flow,
                std::uint8_t flags, std::uint32_t data);
    void respond(target& value, flow_key const& key, packet const& request);

    // Routers and clients.
    void poll_readiness();
    machine* route(client_flow const& flow) const;
    void open_flow(std::string const& service, std::string const& zone,
                   std::deque<milliseconds> pauses);
    void send(client_flow& flow, std::uint8_t flags, std::uint32_t data,
              std::uint32_t sequence, std::uint32_t acknowledgement);
    void step();
    void step(client_flow& flow, time_point now);
    void on_client_packet(bytes const& datagram, endpoint const& sender);
    void on_reset(client_flow& flow, packet const& from,
                  endpoint const& sender);
    void request(client_flow& flow, time_point now);
    void end(client_flow& flow, std::string const& why);
    target* owner_of(client_flow const& flow);

    // Modes.
    void replace_all_edges();
    void replace_most_edges();
    void replace_lost_edges();
    void replace_all_machines();
    void write_list_late();
    void replace_target(target const& former);
    void end_after(milliseconds time);
    void scale_out(int count, milliseconds gap);
    void traffic(double per_second, std::deque<milliseconds> const& pauses);

    plan options_;
    std::ofstream record_;
    std::mt19937_64 random_;
    asio::io_context io_;
    trial_timeline timeline_{io_};
    time_point started_at_ = clock_type::now();
    unsigned network_ = 0;
    int first_port_ = 0;
    std::unique_ptr<child_process> store_;
    std::unique_ptr<store_way> way_; // of all machines, if set
    std::deque<machine> machines_;
    std::deque<edge_state> edges_;
    std::deque<target> targets_;
    std::map<std::string, std::unique_ptr<udp_port>> clients_; // by zone
    std::map<endpoint, client_flow> flows_;                    // by client
    std::uint16_t next_client_port_ = 1'025;
    unsigned edge_count_ = 0;
    unsigned side_count_ = 0;
    int next_flow_ = 0;
    int version_ = 0;
    bool is_over_ = false;
    // Seeds that the platform still writes into settings; empty if it knows
    // those of now.
    std::string old_seeds_;
    std::size_t asked_before_ = 0; // flows opened before the fault
    std::size_t served_before_ = 0;
    std::size_t asked_after_ = 0; // later than the recovery time
    std::size_t served_after_ = 0;
    time_point fault_at_ = time_point::max();
    time_point recovered_at_ = time_point::max();
    time_point last_counted_at_ = time_point::max();
    bool is_planned_work_ = false;
    std::size_t requests_sent_ = 0;
    std::size_t requests_answered_ = 0;
    std::size_t requests_given_up_ = 0;
    std::size_t refused_ = 0;
    std::vector<std::string> broken_;
    std::size_t excused_ = 0;
};

constexpr std::array<char const*, 3> zones{"north-ind", "lafrenz",
                                           "klein-windhoek"};

// Finds a network of 127.0.0.0/8 and ports that nobody uses.
void deployment::choose_addresses()
{
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        network_ = static_cast<unsigned>(10 + random_() % 200);
        first_port_ = static_cast<int>(20'000 + random_() % 10'000);
        try
        {
            for (int offset = 0; offset <= 60; ++offset)
            {
                udp::socket probe(io_,
                                  to_udp(at(ip(1, 1), first_port_ + offset)));
                asio::ip::tcp::acceptor listener(
                    io_, {asio::ip::address_v4(ip(1, 1)),
                          static_cast<std::uint16_t>(first_port_ + offset)});
            }
            return;
        }
        catch (boost::system::system_error const&)
        {
        }
    }
    throw std::runtime_error("no free ports");
}

// The control addresses of three edge machines that run.
std::string deployment::seeds() const
{
    if (!old_seeds_.empty())
    {
        return old_seeds_;
    }
    std::string result;
    int count = 0;
    for (auto const& each : edges_)
    {
        if (!each.machine_->is_gone_ && count < 3)
        {
            result += (count++ == 0 ? "\"" : ", \"") +
                      text(each.machine_->ip_, control_port()) + '"';
        }
    }
    return result;
}

constexpr char const* keys =
    "\"6b1f0c5d9e3a47824f60b7d2851ce39a0d7f46b8c25e91a3f8047bd6ce123590\"";

machine& deployment::add_edge(std::string const& zone)
{
    auto& value = machines_.emplace_back();
    value.name_ = "edge-" + zone + "-" + std::to_string(++edge_count_);
    value.zone_ = zone;
    value.ip_ = ip(1, edge_count_);
    value.store_port_ = first_port_ + 30 + static_cast<int>(edge_count_);
    edges_.push_back({&value});
    return value;
}

// Another machine, at a new address, takes the place of one that was lost.
machine& deployment::replace_edge(std::size_t place)
{
    auto const zone = edges_[place].machine_->zone_;
    auto& added = add_edge(zone);
    edges_.pop_back();
    edges_[place] = {&added};
    return added;
}

void deployment::lose(machine& value)
{
    value.disrupted_at_ = clock_type::now();
    value.process_->signal(SIGKILL);
    value.is_gone_ = true;
    note(value.name_ + " is lost for good");
}

// Writes the seeds of now into the settings of all running machines, and sends
// SIGHUP. Those that have just started have read them already.
void deployment::announce_seeds()
{
    auto const is_older = [](machine const& value)
    {
        return !value.is_gone_ &&
               clock_type::now() > value.disrupted_at_ + milliseconds(500);
    };
    for (auto const& each : edges_)
    {
        if (is_older(*each.machine_))
        {
            write_edge_settings(*each.machine_);
            each.machine_->process_->signal(SIGHUP);
        }
    }
    for (auto& each : targets_)
    {
        if (is_older(*each.machine_) && each.is_alive_)
        {
            write_side_settings(*each.machine_, each.service_);
            each.machine_->process_->signal(SIGHUP);
        }
    }
    note("all settings have the new seeds " + seeds() + "; SIGHUP is sent");
}

void deployment::set_store_mode(std::string const& mode)
{
    note("the store's mode is to be " + mode);
    timeline_.call(commands(), verb::post, "/fault",
                   json::serialize(json::object{{"mode", mode}}),
                   milliseconds(1'000),
                   [this, mode](bool done)
                   {
                       if (!done)
                       {
                           throw std::runtime_error("no fault at the store");
                       }
                   });
}

// SIGTERM, and a new start once the process has ended.
void deployment::roll(machine& value, milliseconds down)
{
    is_planned_work_ = true;
    note(value.name_ + " gets SIGTERM");
    value.disrupted_at_ = clock_type::now();
    value.process_->signal(SIGTERM);
    timeline_.when_ended(*value.process_, down,
                         [this, &value] { start_edge(value); });
}

machine& deployment::add_side(std::string const& zone)
{
    auto& value = machines_.emplace_back();
    value.name_ = "side-" + zone + "-" + std::to_string(++side_count_);
    value.zone_ = zone;
    value.ip_ = ip(2, side_count_);
    return value;
}

// deploy/balancer.json, filled in.
void deployment::write_edge_settings(machine const& value)
{
    std::ofstream(options_.work_ + "/" + value.name_ + ".json")
        << "{\"name\": \"" << value.name_ << "\", \"failure_domain\": \""
        << value.zone_ << "\", \"data\": \"" << text(value.ip_, data_port())
        << "\", \"relay\": \"" << text(value.ip_, range_last())
        << "\", \"control\": \"" << text(value.ip_, range_first())
        << "\", \"http\": \"" << text(value.ip_, ready_port())
        << "\", \"stores\": [\""
        << (way_ ? text(ip(201, 1), commands_port())
                 : text(ip(200, 1), value.store_port_))
        << "\"], \"store_watchers\": 128, \"store_value_bytes\": 1048576, "
        << "\"apply_within_ms\": 3000, \"seeds\": [" << seeds()
        << "], \"seed_port\": " << range_first() << ", \"keys\": [" << keys
        << "]}";
}

void deployment::start_edge(machine& value)
{
    write_edge_settings(value);
    value.process_ = std::make_unique<child_process>(
        options_.programs_ + "/daisytrail-platform-balancer",
        std::vector<std::string>{"--settings",
                                 options_.work_ + "/" + value.name_ + ".json"},
        options_.work_ + "/" + value.name_ + ".log");
    value.disrupted_at_ = clock_type::now();
    note("start " + value.name_ + " at " + text(value.ip_, control_port()));
}

// deploy/agent.json, filled in.
void deployment::write_side_settings(machine const& value,
                                     std::string const& service)
{
    std::ofstream(options_.work_ + "/" + value.name_ + ".json")
        << "{\"name\": \"" << value.name_ << "\", \"failure_domain\": \""
        << value.zone_ << "\", \"organisation\": \"site\", \"service\": \""
        << service << "\", \"tunnel\": \"" << text(value.ip_, data_port())
        << "\", \"backend\": \"" << text(value.ip_, app_port())
        << "\", \"outbound\": \"" << text(value.ip_, outbound_port())
        << "\", \"control\": \"" << text(value.ip_, range_first())
        << "\", \"http\": \"" << text(value.ip_, control_port())
        << "\", \"seeds\": [" << seeds()
        << "], \"seed_port\": " << range_first() << ", \"keys\": [" << keys
        << "]}";
}

void deployment::start_side(machine& value, std::string const& service)
{
    write_side_settings(value, service);
    value.process_ = std::make_unique<child_process>(
        options_.programs_ + "/daisytrail-platform-agent",
        std::vector<std::string>{"--settings",
                                 options_.work_ + "/" + value.name_ + ".json"},
        options_.work_ + "/" + value.name_ + ".log");
    value.disrupted_at_ = clock_type::now();
    note("start " + value.name_);
}

void deployment::start_store()
{
    std::vector<std::string> arguments{"--control", name_of(commands())};
    for (int i = 1; i <= 20; ++i)
    {
        arguments.emplace_back("--listen");
        arguments.push_back(text(ip(200, 1), first_port_ + 30 + i));
    }
    store_ = std::make_unique<child_process>(
        options_.stand_ins_ + "/stand-in-platform-store", arguments,
        options_.work_ + "/store.log");
}

void deployment::put_config()
{
    json::array routes;
    for (auto const* service : {"depot-orders", "delivery-proofs"})
    {
        auto const vip = route_of(service);
        routes.push_back(
            json::object{{"name", std::string("r-") + service},
                         {"host", daisytrail::ipv4_to_string(vip.address_)},
                         {"prefix", "/" + std::to_string(vip.port_) + "/"},
                         {"type", "safe"},
                         {"timeoutMs", 3'000},
                         {"sloMs", 200},
                         {"prio", 1},
                         {"service", service},
                         {"attempts", 2}});
    }
    json::array services;
    for (auto const* service : {"depot-orders", "delivery-proofs"})
    {
        services.push_back(json::object{{"name", service},
                                        {"healthPath", "/health"},
                                        {"maxConns", 2'000},
                                        {"protocol", "h1"},
                                        {"tls", false}});
    }
    auto const version = ++version_;
    json::object const document{
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits", json::object{{"maxHeaderBytes", 16'384},
                                {"maxBodyBytes", 262'144},
                                {"headerTimeoutMs", 3'000},
                                {"idleTimeoutMs", idle_timeout.count()}}}};
    timeline_.call(commands(), verb::post, "/operator?key=op/config",
                   json::serialize(document), milliseconds(1'000),
                   [this, version](bool done)
                   {
                       note("version " + std::to_string(version) +
                            (done ? " acknowledged" : " not written"));
                       if (!done && !is_over_)
                       {
                           --version_;
                           after(milliseconds(100), [this] { put_config(); });
                       }
                   });
}

// Targets.

target& deployment::start_target(machine& on, std::string const& service,
                                 std::string const& id)
{
    auto& value = targets_.emplace_back();
    value.id_ = id;
    value.service_ = service;
    value.machine_ = &on;
    value.next_sequence_ = static_cast<std::uint32_t>(random_());
    value.born_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    value.port_ = std::make_unique<udp_port>(
        io_, at(on.ip_, app_port()),
        [this, &value](bytes const& datagram, endpoint const&)
        { on_target_packet(value, datagram); });
    note("target " + id + " of " + service + " starts on " + on.name_);
    beat(value);
    return value;
}

void deployment::beat(target& value)
{
    if (!value.is_alive_ || is_over_)
    {
        return;
    }
    json::object const body{{"service", value.service_},
                            {"address", text(value.machine_->ip_, app_port())},
                            {"zone", value.machine_->zone_},
                            {"version", "v1"},
                            {"slots", 4},
                            {"state", "ready"},
                            {"coldLeftMs", 0},
                            {"born", value.born_},
                            {"seq", ++value.beats_}};
    timeline_.call(
        at(value.machine_->ip_, control_port()), verb::put,
        "/api/instances/" + value.id_, json::serialize(body), heartbeat_timeout,
        [this, &value, number = value.beats_](bool ok)
        {
            if (ok && number == 1)
            {
                note("first heartbeat of " + value.id_ + " acknowledged");
            }
        });
    auto const number = value.beats_;
    // The agent of the machine may start a moment after its target.
    auto const interval = number == 1 ? milliseconds(200) : heartbeat_interval;
    after(interval,
          [this, &value, number]
          {
              if (value.beats_ == number)
              {
                  beat(value);
              }
          });
}

void deployment::answer(target& value, packet const& from, target_flow& flow,
                        std::uint8_t flags, std::uint32_t data)
{
    packet result;
    result.flags_ = flags;
    result.from_ = from.to_;
    result.to_ = from.from_;
    result.data_ = data;
    result.sequence_ = flow.sequence_ + 1 + flow.sent_;
    result.acknowledgement_ = flow.expected_;
    flow.sent_ += data;
    if (data > 0)
    {
        flow.last_response_ = result;
    }
    value.port_->send(write_packet(result),
                      at(value.machine_->ip_, outbound_port()));
}

void deployment::on_target_packet(target& value, bytes const& datagram)
{
    auto const from = read_packet(datagram);
    if (!value.is_alive_ || !from)
    {
        return;
    }
    flow_key const key{from->from_, from->to_};
    auto const outbound = at(value.machine_->ip_, outbound_port());
    if (from->has(flag_syn))
    {
        auto const [entry, is_new] = value.flows_.try_emplace(key);
        auto& flow = entry->second;
        if (is_new)
        {
            flow.sequence_ = value.next_sequence_;
            value.next_sequence_ += 1'000'003;
            flow.expected_ = from->sequence_ + 1;
        }
        packet result;
        result.flags_ = flag_syn | flag_ack;
        result.from_ = from->to_;
        result.to_ = from->from_;
        result.sequence_ = flow.sequence_;
        result.acknowledgement_ = from->sequence_ + 1;
        value.port_->send(write_packet(result), outbound);
        return;
    }
    auto const found = value.flows_.find(key);
    bool const is_held =
        found != value.flows_.end() &&
        (found->second.is_open_ ||
         from->acknowledgement_ - (found->second.sequence_ + 1) <=
             window_bytes);
    if (!is_held)
    {
        auto returned = datagram;
        returned[0] |= flag_returned;
        returned[1] = 0;
        value.port_->send(returned, outbound);
        return;
    }
    auto& flow = found->second;
    if (!flow.is_open_)
    {
        flow.is_open_ = true;
        flow.opened_at_ = clock_type::now();
        ++value.opened_;
    }
    if (flow.has_ended_)
    {
        if (from->has(flag_fin))
        {
            answer(value, *from, flow, flag_ack, 0);
        }
        return;
    }
    if (from->data_ > 0)
    {
        if (from->sequence_ == flow.expected_)
        {
            flow.expected_ += from->data_;
            ++value.runs_;
            note("run at " + value.id_ + " for flow " +
                 std::to_string(from->from_.port_));
            after(work_time, [this, &value, key, request = *from]
                  { respond(value, key, request); });
        }
        else if (flow.last_response_ &&
                 from->sequence_ + from->data_ == flow.expected_)
        {
            value.port_->send(write_packet(*flow.last_response_), outbound);
        }
        return;
    }
    if (from->has(flag_fin))
    {
        flow.has_ended_ = true;
        ++flow.expected_;
        answer(value, *from, flow, flag_fin | flag_ack, 0);
    }
}

void deployment::respond(target& value, flow_key const& key,
                         packet const& request)
{
    auto const found = value.flows_.find(key);
    if (!value.is_alive_ || found == value.flows_.end())
    {
        return;
    }
    answer(value, request, found->second, flag_ack, response_bytes);
}

// Routers: a zone's ready machines, or all of them if fewer than half are
// ready, or those of the other zones if none is.

void deployment::poll_readiness()
{
    if (is_over_)
    {
        return;
    }
    for (auto& each : edges_)
    {
        if (each.machine_->is_gone_)
        {
            continue;
        }
        timeline_.call(
            at(each.machine_->ip_, ready_port()), verb::get, "/api/ready", {},
            readiness_interval,
            [this, &each, polled = each.machine_](bool is_ready)
            {
                if (each.machine_ != polled)
                {
                    return;
                }
                bool const was_out = each.misses_ >= misses_until_removal;
                each.misses_ = is_ready ? 0 : each.misses_ + 1;
                bool const is_out = each.misses_ >= misses_until_removal;
                if (was_out != is_out)
                {
                    note(each.machine_->name_ +
                         (is_out ? " leaves" : " joins") + " the rotation");
                }
            });
    }
    after(readiness_interval, [this] { poll_readiness(); });
}

machine* deployment::route(client_flow const& flow) const
{
    std::hash<std::uint64_t> const hash;
    auto const choice =
        hash((std::uint64_t{flow.client_.address_} << 32U) ^
             (std::uint64_t{flow.client_.port_} * 2'654'435'761U) ^
             flow.route_.address_) >>
        8U;
    auto const pick = [&](auto const& is_wanted) -> machine*
    {
        std::vector<machine*> ready;
        std::vector<machine*> all;
        for (auto const& each : edges_)
        {
            if (each.machine_->is_gone_ || !is_wanted(*each.machine_))
            {
                continue;
            }
            all.push_back(each.machine_);
            if (each.misses_ < misses_until_removal)
            {
                ready.push_back(each.machine_);
            }
        }
        auto const& from =
            !ready.empty() && 2 * ready.size() < all.size() ? all : ready;
        return from.empty() ? nullptr : from[choice % from.size()];
    };
    if (auto* const own =
            pick([&](machine const& each) { return each.zone_ == flow.zone_; }))
    {
        return own;
    }
    if (auto* const other = pick([](machine const&) { return true; }))
    {
        return other;
    }
    // None is in rotation anywhere.
    std::vector<machine*> running;
    for (auto const& each : edges_)
    {
        if (!each.machine_->is_gone_)
        {
            running.push_back(each.machine_);
        }
    }
    return running.empty() ? nullptr : running[choice % running.size()];
}

// Clients.

void deployment::open_flow(std::string const& service, std::string const& zone,
                           std::deque<milliseconds> pauses)
{
    auto const index =
        static_cast<unsigned>(std::ranges::find(zones, zone) - zones.begin());
    endpoint const client{ip(9, index + 1), ++next_client_port_};
    auto& flow = flows_[client];
    flow.number_ = ++next_flow_;
    flow.zone_ = zone;
    flow.client_ = client;
    flow.route_ = route_of(service);
    flow.started_at_ = clock_type::now();
    flow.due_at_ = flow.started_at_;
    flow.sequence_ = static_cast<std::uint32_t>(random_());
    flow.next_ = flow.sequence_ + 1;
    flow.pauses_ = std::move(pauses);
    auto const now = flow.started_at_;
    asked_before_ += now < fault_at_ ? 1 : 0;
    asked_after_ += now >= recovered_at_ && now < last_counted_at_ ? 1 : 0;
    step(flow, now);
}

void deployment::send(client_flow& flow, std::uint8_t flags, std::uint32_t data,
                      std::uint32_t sequence, std::uint32_t acknowledgement)
{
    flow.last_packet_at_ = clock_type::now();
    auto* const edge = route(flow);
    if (edge == nullptr)
    {
        return;
    }
    flow.edges_[edge->name_] = flow.last_packet_at_;
    packet value;
    value.flags_ = flags;
    value.from_ = flow.client_;
    value.to_ = flow.route_;
    value.data_ = data;
    value.sequence_ = sequence;
    value.acknowledgement_ = acknowledgement;
    clients_.at(flow.zone_)
        ->send(write_packet(value), at(edge->ip_, data_port()));
}

void deployment::request(client_flow& flow, time_point now)
{
    flow.state_ = client_state::waiting;
    flow.request_at_ = now;
    flow.retransmission_ = first_retransmission;
    flow.due_at_ = now + flow.retransmission_;
    ++flow.requests_;
    ++requests_sent_;
    note("request " + std::to_string(flow.requests_) + " of flow " +
         std::to_string(flow.client_.port_) + " is sent");
    send(flow, flag_ack, request_bytes, flow.next_, flow.received_);
}

void deployment::end(client_flow& flow, std::string const& why)
{
    flow.state_ = client_state::ended;
    note("flow " + std::to_string(flow.client_.port_) + " " + why);
}

void deployment::step()
{
    if (is_over_)
    {
        return;
    }
    auto const now = clock_type::now();
    for (auto& [client, flow] : flows_)
    {
        if (flow.state_ != client_state::ended && now >= flow.due_at_)
        {
            step(flow, now);
        }
    }
    std::erase_if(flows_, [](auto const& entry)
                  { return entry.second.state_ == client_state::ended; });
    after(milliseconds(5), [this] { step(); });
}

void deployment::step(client_flow& flow, time_point now)
{
    switch (flow.state_)
    {
    case client_state::opening:
        if (flow.syns_ == syn_times.size())
        {
            end(flow, "never opened");
            return;
        }
        send(flow, flag_syn, 0, flow.sequence_, flow.syns_);
        ++flow.syns_;
        flow.due_at_ = flow.started_at_ + (flow.syns_ == syn_times.size()
                                               ? syn_lifetime
                                               : syn_times[flow.syns_]);
        break;
    case client_state::waiting:
        if (now >= flow.request_at_ + client_deadline)
        {
            ++requests_given_up_;
            end(flow, "gives up at the deadline");
            return;
        }
        send(flow, flag_ack, request_bytes, flow.next_, flow.received_);
        flow.retransmission_ =
            std::min(2 * flow.retransmission_, max_retransmission);
        flow.due_at_ = std::min<time_point>(now + flow.retransmission_,
                                            flow.request_at_ + client_deadline);
        break;
    case client_state::pausing:
        if (!flow.pauses_.empty())
        {
            flow.pauses_.pop_front();
            request(flow, now);
            return;
        }
        flow.state_ = client_state::closing;
        flow.request_at_ = now;
        flow.retransmission_ = first_retransmission;
        [[fallthrough]];
    case client_state::closing:
        if (now >= flow.request_at_ + client_deadline)
        {
            end(flow, "is closed without an answer");
            return;
        }
        send(flow, flag_fin | flag_ack, 0, flow.next_, flow.received_);
        flow.due_at_ = now + flow.retransmission_;
        flow.retransmission_ =
            std::min(2 * flow.retransmission_, max_retransmission);
        break;
    case client_state::ended:
        break;
    }
}

target* deployment::owner_of(client_flow const& flow)
{
    flow_key const key{flow.client_, flow.route_};
    for (auto& each : targets_)
    {
        auto const found = each.flows_.find(key);
        if (found != each.flows_.end() && found->second.is_open_ &&
            !found->second.has_ended_)
        {
            return &each;
        }
    }
    return nullptr;
}

// FLOW: a reset that the flow's target didn't send.
void deployment::on_reset(client_flow& flow, packet const& from,
                          endpoint const& sender)
{
    auto const port = std::to_string(flow.client_.port_);
    if (!flow.is_open_)
    {
        ++refused_;
        end(flow, "is refused");
        return;
    }
    auto* const owner = owner_of(flow);
    auto const now = clock_type::now();
    machine const* edge = nullptr;
    for (auto const& each : machines_)
    {
        edge = each.ip_ == sender.address_ ? &each : edge;
    }
    bool const is_open = owner != nullptr && owner->is_alive_;
    bool const is_own = edge == nullptr || owner == nullptr ||
                        edge == owner->machine_ || from.sum_ != 0;
    if (!is_open || is_own)
    {
        end(flow, "is reset by its target or without one");
        return;
    }
    bool all_in_touch = is_in_touch(*edge) && is_in_touch(*owner->machine_);
    for (auto const& each : machines_)
    {
        auto const took = flow.edges_.find(each.name_);
        bool const is_recent = took != flow.edges_.end() &&
                               now < took->second + milliseconds(3'000);
        all_in_touch = all_in_touch && (!is_recent || is_in_touch(each));
    }
    auto const age =
        now - owner->flows_.at({flow.client_, flow.route_}).opened_at_;
    bool const counts =
        (all_in_touch || is_planned_work_) && age < flow_lifetime;
    auto const text =
        "flow " + port + ", open at " + owner->id_ + " on " +
        owner->machine_->name_ + " for " +
        std::to_string(std::chrono::duration_cast<milliseconds>(age).count()) +
        " ms, is reset by " + edge->name_;
    if (counts)
    {
        broken_.push_back(text);
        say("FLOW broken: " + text);
    }
    else
    {
        ++excused_;
        note("excused: " + text);
    }
    end(flow, "is reset");
}

void deployment::on_client_packet(bytes const& datagram, endpoint const& sender)
{
    auto const from = read_packet(datagram);
    auto const found = from ? flows_.find(from->to_) : flows_.end();
    if (found == flows_.end() || found->second.state_ == client_state::ended)
    {
        return;
    }
    auto& flow = found->second;
    auto const now = clock_type::now();
    if (from->has(flag_reset))
    {
        on_reset(flow, *from, sender);
        return;
    }
    if (from->has(flag_syn))
    {
        if (flow.state_ == client_state::opening)
        {
            flow.is_open_ = true;
            flow.received_ = from->sequence_ + 1;
            request(flow, now);
        }
        return;
    }
    bool const is_response = flow.state_ == client_state::waiting &&
                             from->data_ > 0 &&
                             from->sequence_ == flow.received_;
    if (is_response)
    {
        flow.received_ += from->data_;
        flow.next_ += request_bytes;
        ++requests_answered_;
        bool const is_first = flow.requests_ == 1;
        auto const asked_at = flow.started_at_;
        served_before_ += is_first && asked_at < fault_at_ ? 1 : 0;
        served_after_ +=
            is_first && asked_at >= recovered_at_ && asked_at < last_counted_at_
                ? 1
                : 0;
        note("request " + std::to_string(flow.requests_) + " of flow " +
             std::to_string(flow.client_.port_) + " is answered");
        if (from->has(flag_fin))
        {
            send(flow, flag_fin | flag_ack, 0, flow.next_, flow.received_ + 1);
            end(flow, "is closed by its target");
            return;
        }
        send(flow, flag_ack, 0, flow.next_, flow.received_);
        flow.state_ = client_state::pausing;
        flow.due_at_ = now + (flow.pauses_.empty() ? milliseconds(0)
                                                   : flow.pauses_.front());
        return;
    }
    if (flow.state_ == client_state::closing && from->has(flag_fin))
    {
        end(flow, "is closed");
    }
}

// Opens flows all the while; each sends a request at once and one after each
// pause.
void deployment::traffic(double per_second,
                         std::deque<milliseconds> const& pauses)
{
    if (is_over_)
    {
        return;
    }
    auto const zone = zones[random_() % zones.size()];
    auto const service =
        random_() % 10 < 8 ? "depot-orders" : "delivery-proofs";
    open_flow(service, zone, pauses);
    std::exponential_distribution<double> gap(per_second);
    after(milliseconds(static_cast<int>(1'000 * gap(random_))),
          [this, per_second, pauses] { traffic(per_second, pauses); });
}

// Targets of depot-orders are added, each on a machine of its own.
void deployment::scale_out(int count, milliseconds gap)
{
    for (int i = 0; i < count; ++i)
    {
        after(i * gap,
              [this, i]
              {
                  auto& side = add_side(zones[1 + static_cast<unsigned>(i)]);
                  start_side(side, "depot-orders");
                  after(milliseconds(100),
                        [this, &side, i] {
                            start_target(side, "depot-orders",
                                         "i-added-" + std::to_string(i + 1));
                        });
              });
    }
}

// All edge machines are lost for good while targets are being added, and others
// are added at new addresses.
void deployment::replace_all_edges()
{
    constexpr milliseconds growth_at{18'000};
    constexpr milliseconds loss_after{1'900};
    constexpr milliseconds down{1'600};
    after(lead_time + milliseconds(1'000),
          [this] {
              traffic(40, {milliseconds(9'500), milliseconds(500)});
          });
    after(growth_at,
          [this]
          {
              note("2 targets are added over 2 s");
              scale_out(2, milliseconds(1'000));
          });
    if (!options_.is_calm_)
    {
        after(growth_at + loss_after,
              [this]
              {
                  say("all edge machines are lost for good");
                  for (auto& each : edges_)
                  {
                      lose(*each.machine_);
                  }
              });
        after(growth_at + loss_after + down,
              [this]
              {
                  say("6 edge machines are added at new addresses");
                  replace_lost_edges();
              });
    }
    end_after(milliseconds(48'000));
}

// All that were lost are replaced at the same moment.
void deployment::replace_lost_edges()
{
    std::vector<machine*> added;
    for (std::size_t i = 0; i < edges_.size(); ++i)
    {
        if (edges_[i].machine_->is_gone_)
        {
            added.push_back(&replace_edge(i));
        }
    }
    for (auto* const each : added)
    {
        start_edge(*each);
    }
    announce_seeds();
}

// Four of six edge machines are lost for good while the store is down, and
// others are added at new addresses. Later a target is added, and an edge
// machine is stopped and started as planned.
void deployment::replace_most_edges()
{
    constexpr milliseconds outage_at{18'000};
    constexpr milliseconds outage{4'500};
    constexpr milliseconds loss_after{500};
    constexpr milliseconds down{1'600};
    constexpr milliseconds growth_at{34'000};
    constexpr milliseconds roll_at{40'000};
    after(lead_time + milliseconds(1'000),
          [this]
          {
              traffic(40, {milliseconds(2'000), milliseconds(2'000),
                           milliseconds(2'000)});
          });
    if (!options_.is_calm_)
    {
        after(outage_at, [this] { set_store_mode("silent"); });
        after(outage_at + outage, [this] { set_store_mode("serve"); });
        after(outage_at + loss_after,
              [this]
              {
                  say("4 of 6 edge machines are lost for good");
                  for (std::size_t const lost : {0U, 1U, 2U, 4U})
                  {
                      lose(*edges_[lost].machine_);
                  }
              });
        after(outage_at + loss_after + down,
              [this]
              {
                  say("4 edge machines are added at new addresses");
                  replace_lost_edges();
              });
    }
    after(growth_at,
          [this]
          {
              say("2 targets are added over 2 s");
              scale_out(2, milliseconds(1'000));
          });
    after(roll_at,
          [this]
          {
              say("an edge machine is stopped and started as planned");
              roll(*edges_[2].machine_, milliseconds(500));
          });
    end_after(milliseconds(52'000));
}

// All machines lose power for good, and others are added at new addresses. The
// seeds in their settings lag, and are the former ones at first.
void deployment::replace_all_machines()
{
    constexpr milliseconds loss_at{20'000};
    constexpr milliseconds down{1'600};
    constexpr milliseconds end{54'000};
    fault_at_ = started_at_ + loss_at;
    recovered_at_ = fault_at_ + down + recovery_time;
    last_counted_at_ = started_at_ + end - client_deadline - syn_lifetime;
    after(lead_time + milliseconds(1'000),
          [this] {
              traffic(40, {milliseconds(200), milliseconds(200)});
          });
    if (!options_.is_calm_)
    {
        after(loss_at,
              [this]
              {
                  say("all machines are lost for good");
                  old_seeds_ = seeds();
                  for (auto& each : edges_)
                  {
                      lose(*each.machine_);
                  }
                  for (auto& each : targets_)
                  {
                      lose(*each.machine_);
                      each.is_alive_ = false;
                      each.port_.reset();
                  }
              });
        after(loss_at + down,
              [this]
              {
                  say("as many machines are added at new addresses; their "
                      "seeds are the former ones");
                  auto const count = targets_.size();
                  replace_lost_edges();
                  for (std::size_t i = 0; i < count; ++i)
                  {
                      replace_target(targets_[i]);
                  }
              });
        after(loss_at + seed_lag + down,
              [this]
              {
                  old_seeds_.clear();
                  say("the settings of all machines change to the new seeds, "
                      "and SIGHUP is sent");
                  announce_seeds();
              });
    }
    end_after(end);
}

// A target of the same service starts on another machine.
void deployment::replace_target(target const& former)
{
    auto& side = add_side(former.machine_->zone_);
    start_side(side, former.service_);
    after(milliseconds(150), [this, &side, &former]
          { start_target(side, former.service_, former.id_ + "-new"); });
}

// The answer of a write of the stored list is lost, and the write is executed
// later, after the next ones. Much later all edge machines are replaced.
void deployment::write_list_late()
{
    constexpr milliseconds growth_at{18'000};
    constexpr milliseconds late{5'500};
    constexpr milliseconds loss_at{36'000};
    constexpr milliseconds down{1'600};
    way_ = std::make_unique<store_way>(
        io_, at(ip(201, 1), commands_port()), at(ip(200, 1), first_port_ + 31),
        [this](std::string const& text) { say(text); });
    after(lead_time + milliseconds(1'000),
          [this] {
              traffic(40, {milliseconds(9'500), milliseconds(500)});
          });
    after(growth_at,
          [this]
          {
              say("2 targets are added over 2 s");
              if (!options_.is_calm_)
              {
                  way_->lose_next("daisytrail/targets", late);
              }
              scale_out(2, milliseconds(1'000));
          });
    after(loss_at,
          [this]
          {
              say("all edge machines are lost for good");
              for (auto& each : edges_)
              {
                  lose(*each.machine_);
              }
          });
    after(loss_at + down,
          [this]
          {
              say("6 edge machines are added at new addresses");
              replace_lost_edges();
          });
    end_after(milliseconds(56'000));
}

void deployment::end_after(milliseconds time)
{
    after(time,
          [this]
          {
              is_over_ = true;
              io_.stop();
          });
}

int deployment::run()
{
    for (unsigned i = 0; i < zones.size(); ++i)
    {
        clients_[zones[i]] = std::make_unique<udp_port>(
            io_, at(ip(9, i + 1), data_port()),
            [this](bytes const& datagram, endpoint const& sender)
            { on_client_packet(datagram, sender); });
    }
    start_store();
    after(milliseconds(300),
          [this]
          {
              put_config();
              std::vector<machine*> added;
              for (auto const* zone : zones)
              {
                  added.push_back(&add_edge(zone));
                  added.push_back(&add_edge(zone));
              }
              for (auto* const each : added)
              {
                  start_edge(*each);
              }
              constexpr std::array<int, 7> order_zones{0, 1, 2, 0, 1, 2, 0};
              std::vector<std::pair<machine*, std::string>> sides;
              for (auto const zone : order_zones)
              {
                  sides.emplace_back(&add_side(zones[zone]), "depot-orders");
              }
              for (auto const* zone : zones)
              {
                  sides.emplace_back(&add_side(zone), "delivery-proofs");
              }
              for (auto& [side, service] : sides)
              {
                  start_side(*side, service);
              }
              after(milliseconds(150),
                    [this, sides]
                    {
                        int number = 0;
                        for (auto const& [side, service] : sides)
                        {
                            start_target(*side, service,
                                         "i-" + std::to_string(++number));
                        }
                    });
          });
    poll_readiness();
    step();
    if (options_.mode_ == "replace-all-machines")
    {
        replace_all_machines();
    }
    else if (options_.mode_ == "write-list-late")
    {
        write_list_late();
    }
    else if (options_.mode_ == "replace-all-edges")
    {
        replace_all_edges();
    }
    else if (options_.mode_ == "replace-most-edges")
    {
        replace_most_edges();
    }
    else
    {
        throw std::runtime_error("unknown mode " + options_.mode_);
    }
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    bool is_ended_early = false;
    signals.async_wait(
        [&](boost::system::error_code code, int)
        {
            if (!code)
            {
                is_ended_early = true;
                io_.stop();
            }
        });
    io_.run();
    for (auto const& each : targets_)
    {
        note("target " + each.id_ + " on " + each.machine_->name_ + ": " +
             std::to_string(each.opened_) + " flows opened, " +
             std::to_string(each.runs_) + " requests run");
    }
    say(std::to_string(requests_sent_) + " requests sent, " +
        std::to_string(requests_answered_) + " answered, " +
        std::to_string(requests_given_up_) + " given up, " +
        std::to_string(refused_) + " flows refused; " +
        std::to_string(broken_.size()) + " open flows reset, " +
        std::to_string(excused_) + " more excused");
    if (is_ended_early || requests_answered_ == 0)
    {
        return 2;
    }
    if (asked_after_ > 0)
    {
        say("before the fault " + std::to_string(served_before_) + " of " +
            std::to_string(asked_before_) + " flows were served, later than " +
            "the recovery time " + std::to_string(served_after_) + " of " +
            std::to_string(asked_after_));
        bool const was_served = 4 * served_before_ >= asked_before_;
        if (was_served && 4 * served_after_ < asked_after_)
        {
            broken_.emplace_back("RECOVER");
            say("RECOVER broken");
        }
    }
    return broken_.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("A small deployment on loopback");
    plan options;
    app.add_option("mode", options.mode_, "what happens")->required();
    app.add_option("--programs", options.programs_, "folder")->required();
    app.add_option("--stand-ins", options.stand_ins_, "folder")->required();
    app.add_option("--work", options.work_, "temporary folder")->required();
    app.add_option("--record", options.record_, "file")->required();
    app.add_flag("--calm", options.is_calm_, "without the disruption");
    CLI11_PARSE(app, argc, argv);
    try
    {
        return deployment(options).run();
    }
    catch (std::exception const& failure)
    {
        std::cerr << "deployment: " << failure.what() << '\n';
        return 2;
    }
}
