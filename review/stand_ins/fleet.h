// Runs the programs of the deploy file on loopback as the platform would, with
// small stand-ins for its routers, its targets and its clients. Every machine
// has a loopback address of its own and the ports of DEPLOY.md.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint16_t data_port = 8172;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t outbound_port = 8162;
constexpr std::uint16_t app_port = 8165;
constexpr std::uint16_t first_inner_port = 7720;
constexpr std::uint16_t last_inner_port = 7735;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t store_command_port = 8170;
constexpr milliseconds heartbeat_interval{770};
constexpr milliseconds drain_bound{3'000};

constexpr std::uint8_t flag_ack = 1;
constexpr std::uint8_t flag_fin = 8;
constexpr std::uint8_t flag_bounced = 32;
constexpr std::uint8_t flag_syn = 64;
constexpr std::uint8_t flag_rst = 128;

// A packet of PROTOCOL.md.
struct packet
{
    std::uint8_t flags = 0;
    std::uint8_t pad = 0;
    std::uint16_t sport = 0;
    std::uint32_t src = 0;
    std::uint16_t dport = 0;
    std::uint32_t dst = 0;
    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data;
};

std::string encode(packet value);
bool decode(std::string const& bytes, packet& out);

// An end of a flow, for use as a key.
using flow_key = std::array<std::uint32_t, 4>;
flow_key key_of(packet const& value); // as the client sends it

std::uint32_t parse_ip(std::string const& text);
std::string format_ip(std::uint32_t address);

// Lines of record.txt, with seconds since the start.
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    void line(std::string const& text);
    double now() const;

private:
    std::mutex mutex_;
    std::FILE* file_;
    clock::time_point started_at_ = clock::now();
};

// Sends one HTTP request; returns the status, or 0 if there is no answer.
int http_call(std::string const& ip, std::uint16_t port,
              std::string const& method, std::string const& path,
              std::string const& body, milliseconds timeout,
              std::string* answer = nullptr);

class udp_socket
{
public:
    udp_socket(std::string const& ip, std::uint16_t port);
    ~udp_socket();
    udp_socket(udp_socket const&) = delete;
    void send(std::string const& ip, std::uint16_t port,
              std::string const& bytes) const;
    bool receive(std::string& out) const; // without waiting
    int fd() const
    {
        return fd_;
    }

private:
    int fd_;
};

// One machine of the system and its process.
struct machine
{
    std::string name;
    std::string ip;
    std::string zone;
    bool is_edge = false;
    std::string service; // of the target beside it
    std::string seeds;   // comma-separated control addresses
    pid_t pid = -1;
    int starts = 0;
};

// A target: ends flows, answers requests with its id and counts what it ran.
class target
{
public:
    target(machine const& beside, std::string id, std::uint64_t born,
           std::uint32_t number, record& log);
    ~target();

    // Called by the thread of the packets.
    void read();
    void tick();

    std::string const& id() const
    {
        return id_;
    }
    std::uint32_t number() const
    {
        return number_;
    } // from 1
    std::uint64_t resets_sent() const
    {
        return resets_sent_;
    }
    std::uint64_t requests_run() const
    {
        return requests_run_;
    }
    std::uint64_t heartbeats_acknowledged() const
    {
        return acknowledged_;
    }
    int fd() const
    {
        return socket_.fd();
    }

    // Says `draining` from now on, at once for the first time.
    void drain()
    {
        is_draining_ = true;
    }

    // Since the first acknowledgement of a heartbeat that said `draining`.
    bool was_acknowledged_draining(milliseconds ago) const;

    // Flows whose opening packet arrived later than drainMs after that, and
    // that carried a request.
    std::uint64_t late_flows() const
    {
        return late_flows_;
    }

    // Delay of the SYN+ACKs from now on.
    std::atomic<int> handshake_delay_ms{0};

private:
    struct flow
    {
        std::uint32_t isn = 0;
        std::uint32_t expected = 0; // next byte of the client
        std::uint32_t sent = 0;     // bytes after the SYN+ACK
        bool is_open = false;
        bool is_late = false; // opened after drainMs
        int retransmissions = 0;
        clock::time_point next_syn_ack;
        packet syn_ack;
    };

    void beat();
    void handle(packet const& value);
    void send(packet const& value);

    machine beside_;
    std::string id_;
    std::uint64_t born_;
    std::uint32_t number_;
    record& log_;
    std::uint64_t resets_sent_ = 0;
    udp_socket socket_;
    std::map<flow_key, flow> flows_;
    std::mt19937_64 random_;
    std::uint64_t requests_run_ = 0;
    std::uint64_t late_flows_ = 0;
    std::atomic<bool> is_draining_{false};
    std::atomic<clock::rep> draining_acknowledged_at_{0};
    std::atomic<std::uint64_t> acknowledged_{0};
    std::atomic<bool> is_stopped_{false};
    std::thread beats_; // last: it uses the other members
};

enum class flow_end
{
    none,
    system_reset, // an RST of the system's own: its sum is 0
    target_reset,
    no_answer // the deadline of a request passed
};

// A client's flow, which carries one request after another.
struct client_flow
{
    int number = 0;
    std::uint16_t port = 0;
    std::uint32_t isn = 0;
    std::uint32_t next = 0;     // next byte to send
    std::uint32_t unacked = 0;  // oldest byte without an acknowledgement
    std::uint32_t expected = 0; // next byte of the target
    bool is_open = false;
    bool waits = false; // for a response
    int syns = 0;
    int retransmissions = 0;
    clock::time_point opened_at;
    clock::time_point next_send;
    clock::time_point deadline;
    std::string owner; // id of the target that answered first
    std::string request;
    int answers = 0;
    flow_end end = flow_end::none;
    double ended_at = 0;
    std::uint32_t reset_by = 0; // number of the target that reset it
    clock::time_point next_request;
    clock::time_point closes_at;
};

// Starts and stops processes, routes packets and plays the clients of a zone.
class fleet
{
public:
    fleet(std::string work, std::string programs, std::string store_program,
          record& log);
    ~fleet();

    machine& add_edge(std::string const& zone);
    machine& add_side(std::string const& zone, std::string const& service);
    void start_store();
    bool put_config(int version, std::string const& json);
    void start(machine& value);
    void signal(machine& value, int number);
    bool has_ended(machine& value); // reaps the process
    target& add_target(machine const& beside, std::string const& id,
                       std::uint64_t born);

    // Runs the routers, clients and targets until `done` or the time is over.
    bool run(milliseconds time, std::function<bool()> const& done = {});

    std::vector<std::string> rotation() const;
    bool all_ready(std::size_t count) const
    {
        return rotation().size() == count;
    }

    client_flow& open_flow(std::string const& vip, std::uint16_t vip_port);
    void send_request(client_flow& value, milliseconds deadline);

    std::vector<std::unique_ptr<client_flow>>& flows()
    {
        return flows_;
    }
    std::vector<std::unique_ptr<target>>& targets()
    {
        return targets_;
    }
    std::string net() const
    {
        return net_;
    }
    record& log()
    {
        return log_;
    }
    std::string client_zone;

private:
    std::string settings_of(machine const& value) const;
    std::string seeds() const;
    void probe();
    std::string router_choice(client_flow const& value) const;
    void send(client_flow& value, packet p);
    void tick(client_flow& value);
    void on_client_packet(packet const& value);

    std::string work_;
    std::string programs_;
    std::string store_program_;
    record& log_;
    std::string net_;
    std::string client_ip_;
    std::unique_ptr<udp_socket> client_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<std::unique_ptr<client_flow>> flows_;
    std::map<std::uint16_t, client_flow*> by_port_;
    std::uint32_t vip_ = 0;
    std::uint16_t vip_port_ = 0;
    std::uint16_t next_port_ = 40'001;
    std::mt19937_64 random_{std::random_device{}()};
    pid_t store_pid_ = -1;
    mutable std::mutex rotation_mutex_;
    std::map<std::string, int> misses_;       // by address
    std::map<std::string, bool> in_rotation_; // by address
    std::atomic<bool> is_stopped_{false};
    std::mutex machines_mutex_;
    std::thread router_; // last: it uses the other members
};

// "127.77." for the addresses of one run, chosen so that the ports are free.
std::string free_net();

std::uint64_t unix_ms();

} // namespace review
