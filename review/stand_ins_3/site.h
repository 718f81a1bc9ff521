// A small site on loopback for the scripts of the third review: the platform's
// programs and a stand-in of its store as child processes, and clients, targets
// and the operator as objects in this process. Each machine has an address of
// its own in 127.0.0.0/8; the ports are the same on all machines.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Ports of every machine.
struct ports
{
    static constexpr std::uint16_t data = 28172;     // dataAddr
    static constexpr std::uint16_t app = 28165;      // of a target
    static constexpr std::uint16_t outbound = 28162; // of a side machine
    static constexpr std::uint16_t ready = 28167;    // readyAddr
    static constexpr std::uint16_t beats = 28166;    // control
    static constexpr std::uint16_t control = 28720;  // first of portRange
    static constexpr std::uint16_t relay = 28735;    // last of portRange
    static constexpr std::uint16_t lock = 28171;     // of second_byte()
    static constexpr std::uint16_t store = 28169;
    static constexpr std::uint16_t store_command = 28170;
};

struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(address const&) const = default;
};

// Address of a machine of this play, such as 127.90.1.2 for (1, 2).
std::string machine_at(int third, int fourth);

std::uint32_t parse_ip(std::string const& text);
std::string to_string(std::uint32_t ip);

// Flags of a packet.
enum : std::uint8_t
{
    flag_ack = 1,
    flag_fin = 8,
    flag_bounced = 32,
    flag_syn = 64,
    flag_rst = 128
};

struct packet
{
    std::uint8_t flags = 0;
    address source;
    address destination;
    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data;

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

std::string encode(packet const& value);
std::optional<packet> decode(std::string const& bytes);

// Lines of record.txt, with milliseconds since the start.
class record
{
public:
    explicit record(std::string const& path);
    void line(std::string const& text);
    std::int64_t now_ms() const;

private:
    std::ofstream out_;
    std::mutex mutex_;
    clock::time_point started_at_;
};

// Child processes, ended at the latest when the object ends.
class processes
{
public:
    ~processes();
    void start(std::string const& name, std::vector<std::string> const& words,
               std::string const& log);
    void signal(std::string const& name, int number);
    void kill_and_wait(std::string const& name);
    bool has_ended(std::string const& name);
    void end_all();

private:
    std::map<std::string, pid_t> pids_;
};

// One HTTP/1.1 call; returns the status, or 0 without an answer in time.
int call(address const& to, std::string const& method, std::string const& path,
         std::string const& body, milliseconds timeout,
         std::string* answer = nullptr);

class site;

// A target beside an agent. It runs `slots` requests at a time, for `work`
// each, and queues others.
class target
{
public:
    target(site& owner, std::string machine, std::string service, int slots,
           milliseconds work);
    ~target();

    // Begins to serve, and to announce itself every 770 ms, for the first time
    // after `first_beat`.
    void start(std::string id, milliseconds first_beat = milliseconds(0));
    // Ends without a word.
    void crash();

    bool is_running() const
    {
        return socket_ >= 0;
    }

    void on_readable();
    void on_time(clock::time_point now);

    std::string const& service() const
    {
        return service_;
    }

    std::string const& machine() const
    {
        return machine_;
    }

    int socket() const
    {
        return socket_;
    }

private:
    struct flow
    {
        std::uint32_t own_seq = 0; // of the SYN+ACK
        std::uint32_t next_seq = 0;
        std::uint32_t client_next = 0;
        bool is_open = false;
        std::string request;
        clock::time_point answer_at{};
        packet opening; // the SYN that this target took
    };
    using key = std::pair<address, address>;

    void handle(packet const& value);
    void send(packet value);
    void begin_runs(clock::time_point now);
    void beat(std::stop_token stop, std::string id, std::uint64_t born,
              milliseconds first_beat);

    site& site_;
    std::string machine_;
    std::string service_;
    int slots_;
    milliseconds work_;
    int socket_ = -1;
    std::uint32_t next_own_seq_;
    std::map<key, flow> flows_;
    std::vector<key> waiting_;
    std::vector<key> running_;
    std::jthread beats_;
};

enum class end
{
    pending,
    answered,
    reset,    // after the flow had opened
    refused,  // reset before the flow opened
    no_answer // to any SYN, or to the request
};

char const* to_string(end value);

// One attempt of a client: a flow with one request, or a flow that stays open
// for more of them.
struct attempt
{
    std::string id;
    address source;
    address vip;
    std::string balancer; // machine that the router selects
    clock::time_point started_at{};
    clock::time_point last_syn_at{};
    int syns = 0;
    bool is_open = false; // the client has a SYN+ACK
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string request;
    clock::time_point resend_at{};
    milliseconds resend_after{200};
    end outcome = end::pending;
    std::string answer;
    bool stays_open = false;
};

class site
{
public:
    // `record_path` is that of record.txt; logs and settings go to a temporary
    // folder.
    site(std::string const& record_path, std::string programs);
    ~site();

    record& log()
    {
        return record_;
    }

    processes& children()
    {
        return children_;
    }

    void start_store();
    // Writes a configuration; returns when the store has acknowledged it.
    bool configure(std::string const& document);
    void start_balancer(std::string const& machine);
    void start_agent(std::string const& machine, std::string const& service);
    bool is_ready(std::string const& machine);
    // Page of a process on its readyAddr or control address.
    std::string page(std::string const& machine, std::uint16_t port,
                     std::string const& path);

    target& add_target(std::string const& machine, std::string const& service,
                       int slots, milliseconds work);

    // Begins an attempt of a client through this balancer.
    std::shared_ptr<attempt> request(std::string const& vip, std::uint16_t port,
                                     std::string const& balancer);

    // Begins an attempt whose flow stays open after its answer.
    std::shared_ptr<attempt> open(std::string const& vip, std::uint16_t port,
                                  std::string const& balancer);

    // Sends another request in an open flow, now through this balancer.
    void request_again(attempt& value, std::string const& balancer);

    void set_seeds(std::vector<std::string> machines)
    {
        seeds_ = std::move(machines);
    }

    // Plays for this long.
    void run(milliseconds time);
    // Plays until the condition holds; false after `limit`.
    bool run_until(std::function<bool()> const& condition, milliseconds limit);

    // Called when a target begins to run a request.
    std::function<void(target const&, std::string const& id,
                       clock::time_point opening_sent_at)>
        on_run;
    // When the client of this flow last sent the SYN with this copy number.
    std::map<std::string, clock::time_point> syn_sent_at;

    std::string path(std::string const& name) const;

private:
    friend class target;
    void step();
    void on_client_packet(packet const& value);
    void tick_attempt(attempt& value, clock::time_point now);
    void send_from_client(attempt& value, packet head);

    std::string programs_;
    std::string work_;
    record record_;
    processes children_;
    std::vector<std::string> seeds_;
    std::vector<std::unique_ptr<target>> targets_;
    std::map<std::uint16_t, std::shared_ptr<attempt>> attempts_;
    int client_socket_ = -1;
    std::uint32_t client_ip_ = 0;
    std::uint16_t next_port_ = 40'001;
};

} // namespace review
