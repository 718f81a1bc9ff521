#include "fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t header_bytes = 32;
constexpr std::uint32_t window = 76'800;
constexpr milliseconds first_retransmission{200};
constexpr milliseconds longest_retransmission{1'600};
constexpr int max_retransmissions = 8;
constexpr std::array<int, 3> syn_times_ms{0, 200, 600};
constexpr int syn_lifetime_ms = 1'400;

void put(std::string& out, std::size_t at, std::uint32_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i)
    {
        out[at + static_cast<std::size_t>(i)] =
            static_cast<char>(value >> (8 * i));
    }
}

std::uint32_t get(std::string const& in, std::size_t at, int bytes)
{
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i)
    {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(
                     in[at + static_cast<std::size_t>(i)]))
                 << (8 * i);
    }
    return value;
}

// A sum over all fields but echo, pad and BOUNCED; never 0.
std::uint32_t sum_of(packet const& value)
{
    std::uint32_t hash = 2'166'136'261U;
    auto const add = [&hash](std::uint32_t word)
    {
        hash = (hash ^ word) * 16'777'619U;
    };
    for (std::uint32_t const word :
         {static_cast<std::uint32_t>(value.flags & ~flag_bounced),
          static_cast<std::uint32_t>(value.sport), value.src,
          static_cast<std::uint32_t>(value.dport), value.dst, value.seq,
          value.ack})
    {
        add(word);
    }
    for (char const byte : value.data)
    {
        add(static_cast<unsigned char>(byte));
    }
    return hash == 0 ? 1 : hash;
}

sockaddr_in address_of(std::string const& ip, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

bool can_bind(std::string const& ip, std::uint16_t port, int type)
{
    int const fd = ::socket(AF_INET, type, 0);
    auto const address = address_of(ip, port);
    bool const result = ::bind(fd, reinterpret_cast<sockaddr const*>(&address),
                               sizeof(address)) == 0;
    ::close(fd);
    return result;
}

void replace_all(std::string& text, std::string const& from,
                 std::string const& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

std::string quoted(std::string const& text)
{
    return '"' + text + '"';
}

std::string at_port(std::string const& ip, std::uint16_t port)
{
    return ip + ':' + std::to_string(port);
}

} // namespace

std::string encode(packet value)
{
    if (value.sum == 0)
    {
        value.sum = sum_of(value);
    }
    std::string out(header_bytes, '\0');
    out[0] = static_cast<char>(value.flags);
    out[1] = static_cast<char>(value.pad);
    put(out, 2, value.sport, 2);
    put(out, 4, value.src, 4);
    put(out, 8, value.dport, 2);
    put(out, 10, value.dst, 4);
    put(out, 14, value.echo, 4);
    put(out, 18, value.sum, 4);
    put(out, 22, static_cast<std::uint32_t>(value.data.size()), 2);
    put(out, 24, value.seq, 4);
    put(out, 28, value.ack, 4);
    return out + value.data;
}

bool decode(std::string const& bytes, packet& out)
{
    if (bytes.size() < header_bytes ||
        bytes.size() != header_bytes + get(bytes, 22, 2))
    {
        return false;
    }
    out.flags = static_cast<std::uint8_t>(bytes[0]);
    out.pad = static_cast<std::uint8_t>(bytes[1]);
    out.sport = static_cast<std::uint16_t>(get(bytes, 2, 2));
    out.src = get(bytes, 4, 4);
    out.dport = static_cast<std::uint16_t>(get(bytes, 8, 2));
    out.dst = get(bytes, 10, 4);
    out.echo = get(bytes, 14, 4);
    out.sum = get(bytes, 18, 4);
    out.seq = get(bytes, 24, 4);
    out.ack = get(bytes, 28, 4);
    out.data = bytes.substr(header_bytes);
    return true;
}

flow_key key_of(packet const& value)
{
    return {value.src, value.sport, value.dst, value.dport};
}

std::uint32_t parse_ip(std::string const& text)
{
    in_addr address{};
    inet_pton(AF_INET, text.c_str(), &address);
    return ntohl(address.s_addr);
}

std::string format_ip(std::uint32_t address)
{
    in_addr const value{htonl(address)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &value, text.data(), text.size());
    return text.data();
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::string free_net()
{
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        auto const net = "127." + std::to_string(32 + random() % 200) + '.';
        bool is_free = true;
        for (std::string const last : {"1.1", "1.2", "2.1", "3.1", "4.1"})
        {
            is_free = is_free && can_bind(net + last, data_port, SOCK_DGRAM) &&
                      can_bind(net + last, control_port, SOCK_STREAM) &&
                      can_bind(net + last, store_port, SOCK_STREAM);
        }
        if (is_free)
        {
            return net;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

record::record(std::string const& path) : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr)
    {
        throw std::runtime_error("can't write " + path);
    }
}

record::~record()
{
    std::fclose(file_);
}

double record::now() const
{
    return std::chrono::duration<double>(clock::now() - started_at_).count();
}

void record::line(std::string const& text)
{
    std::scoped_lock const lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", now(), text.c_str());
    std::fflush(file_);
}

int http_call(std::string const& ip, std::uint16_t port,
              std::string const& method, std::string const& path,
              std::string const& body, milliseconds timeout,
              std::string* answer)
{
    auto const deadline = clock::now() + timeout;
    int const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const address = address_of(ip, port);
    auto const wait = [&](short events)
    {
        pollfd entry{fd, events, 0};
        auto const left =
            std::chrono::duration_cast<milliseconds>(deadline - clock::now());
        return left.count() > 0 &&
               ::poll(&entry, 1, static_cast<int>(left.count())) == 1;
    };
    int status = 0;
    bool is_connected =
        ::connect(fd, reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0;
    if (!is_connected && errno == EINPROGRESS && wait(POLLOUT))
    {
        int code = 0;
        socklen_t size = sizeof(code);
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
        is_connected = code == 0;
    }
    std::string text = method + ' ' + path +
                       " HTTP/1.1\r\nHost: " + at_port(ip, port) +
                       "\r\nContent-Type: application/json\r\nConnection: "
                       "close\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string in;
    if (is_connected)
    {
        std::size_t sent = 0;
        while (sent < text.size() && wait(POLLOUT))
        {
            auto const count = ::send(fd, text.data() + sent,
                                      text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                break;
            }
            sent += static_cast<std::size_t>(count);
        }
        std::array<char, 65'536> buffer{};
        while (wait(POLLIN))
        {
            auto const count = ::recv(fd, buffer.data(), buffer.size(), 0);
            if (count <= 0)
            {
                break;
            }
            in.append(buffer.data(), static_cast<std::size_t>(count));
        }
        if (in.starts_with("HTTP/1.1 ") && in.size() >= 12)
        {
            status = std::atoi(in.c_str() + 9);
        }
    }
    ::close(fd);
    if (answer != nullptr)
    {
        auto const at = in.find("\r\n\r\n");
        *answer = at == std::string::npos ? "" : in.substr(at + 4);
    }
    return status;
}

udp_socket::udp_socket(std::string const& ip, std::uint16_t port)
    : fd_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    int const bytes = 4 << 20;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    auto const address = address_of(ip, port);
    if (::bind(fd_, reinterpret_cast<sockaddr const*>(&address),
               sizeof(address)) != 0)
    {
        throw std::runtime_error("can't bind " + at_port(ip, port));
    }
}

udp_socket::~udp_socket()
{
    ::close(fd_);
}

void udp_socket::send(std::string const& ip, std::uint16_t port,
                      std::string const& bytes) const
{
    auto const address = address_of(ip, port);
    ::sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<sockaddr const*>(&address), sizeof(address));
}

bool udp_socket::receive(std::string& out) const
{
    std::array<char, 2'048> buffer{};
    auto const count = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0)
    {
        return false;
    }
    out.assign(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

// Targets.

target::target(machine const& beside, std::string id, std::uint64_t born,
               std::uint32_t number, record& log)
    : beside_(beside), id_(std::move(id)), born_(born), number_(number),
      log_(log), socket_(beside.ip, app_port), random_(std::random_device{}()),
      beats_([this] { beat(); })
{
}

target::~target()
{
    is_stopped_ = true;
    beats_.join();
}

void target::beat()
{
    std::uint64_t seq = 0;
    auto next = clock::now();
    bool said_draining = false;
    while (!is_stopped_)
    {
        bool const drains = is_draining_;
        if (clock::now() < next && drains == said_draining)
        {
            std::this_thread::sleep_for(milliseconds(10));
            continue;
        }
        said_draining = drains;
        next = clock::now() + heartbeat_interval;
        std::ostringstream body;
        body << R"({"service":")" << beside_.service << R"(","address":")"
             << at_port(beside_.ip, app_port) << R"(","zone":")" << beside_.zone
             << R"(","version":"v1","slots":4,"state":")"
             << (drains ? "draining" : "ready") << R"(","coldLeftMs":0,)"
             << R"("seq":)" << ++seq << R"(,"born":)" << born_ << '}';
        int const status =
            http_call(beside_.ip, control_port, "PUT", "/api/instances/" + id_,
                      body.str(), milliseconds(1'000));
        if (status == 200)
        {
            ++acknowledged_;
            if (drains && draining_acknowledged_at_ == 0)
            {
                draining_acknowledged_at_ =
                    clock::now().time_since_epoch().count();
                log_.line("target " + id_ + ": `draining` is acknowledged");
            }
        }
        else
        {
            log_.line("target " + id_ + ": heartbeat " + std::to_string(seq) +
                      " got " + std::to_string(status));
        }
    }
}

bool target::was_acknowledged_draining(milliseconds ago) const
{
    auto const at = draining_acknowledged_at_.load();
    return at != 0 &&
           clock::now() > clock::time_point(clock::duration(at)) + ago;
}

void target::read()
{
    std::string bytes;
    while (socket_.receive(bytes))
    {
        packet value;
        if (decode(bytes, value))
        {
            handle(value);
        }
    }
}

void target::send(packet const& value)
{
    socket_.send(beside_.ip, outbound_port, encode(value));
}

void target::handle(packet const& value)
{
    auto const key = key_of(value);
    packet answer;
    answer.src = value.dst;
    answer.sport = value.dport;
    answer.dst = value.src;
    answer.dport = value.sport;
    if ((value.flags & flag_syn) != 0)
    {
        auto const [at, is_new] = flows_.try_emplace(key);
        auto& flow = at->second;
        if (is_new)
        {
            flow.isn = static_cast<std::uint32_t>(random_());
            flow.expected = value.seq + 1;
            flow.is_late = was_acknowledged_draining(drain_bound);
            answer.flags = flag_syn | flag_ack;
            answer.seq = flow.isn;
            answer.ack = value.seq + 1;
            flow.syn_ack = answer;
            flow.next_syn_ack =
                clock::now() + milliseconds(handshake_delay_ms.load());
            tick();
        }
        return;
    }
    auto const found = flows_.find(key);
    bool const acknowledges = found != flows_.end() &&
                              (found->second.is_open ||
                               value.ack - (found->second.isn + 1) <= window);
    if (found != flows_.end() && !acknowledges)
    {
        // Half open here, and the client acknowledges another SYN+ACK.
        answer.flags = flag_rst;
        answer.seq = value.ack;
        answer.ack = number_;
        if ((value.flags & flag_rst) == 0)
        {
            ++resets_sent_;
            send(answer);
        }
        flows_.erase(found);
        return;
    }
    if (!acknowledges)
    {
        packet returned = value;
        returned.flags |= flag_bounced;
        returned.pad = 0;
        send(returned);
        return;
    }
    auto& flow = found->second;
    flow.is_open = true;
    if ((value.flags & flag_rst) != 0)
    {
        flows_.erase(found);
        return;
    }
    answer.flags = flag_ack;
    answer.seq = flow.isn + 1 + flow.sent;
    if (!value.data.empty())
    {
        if (value.seq == flow.expected)
        {
            flow.expected += static_cast<std::uint32_t>(value.data.size());
            ++requests_run_;
            late_flows_ += flow.is_late ? 1 : 0;
            log_.line("target " + id_ + " ran " + value.data +
                      (flow.is_late ? " LATE: its flow was opened later than "
                                      "drainMs after the acknowledgement"
                                    : ""));
            answer.data = id_;
            flow.sent += static_cast<std::uint32_t>(answer.data.size());
        }
        else
        {
            // A retransmission of the last request: its answer again.
            answer.seq -= static_cast<std::uint32_t>(id_.size());
            answer.data = id_;
        }
        answer.ack = flow.expected;
        send(answer);
    }
}

void target::tick()
{
    auto const now = clock::now();
    for (auto at = flows_.begin(); at != flows_.end();)
    {
        auto& flow = at->second;
        if (flow.is_open || now < flow.next_syn_ack)
        {
            ++at;
            continue;
        }
        if (flow.retransmissions > max_retransmissions)
        {
            at = flows_.erase(at);
            continue;
        }
        send(flow.syn_ack);
        auto const pause = std::min<milliseconds>(
            first_retransmission * (1 << flow.retransmissions),
            longest_retransmission);
        ++flow.retransmissions;
        flow.next_syn_ack = now + pause;
        ++at;
    }
}

// The fleet.

fleet::fleet(std::string work, std::string programs, std::string store_program,
             record& log)
    : work_(std::move(work)), programs_(std::move(programs)),
      store_program_(std::move(store_program)), log_(log), net_(free_net()),
      client_ip_(net_ + "4.1"),
      client_(std::make_unique<udp_socket>(client_ip_, data_port)),
      router_([this] { probe(); })
{
}

fleet::~fleet()
{
    is_stopped_ = true;
    router_.join();
    targets_.clear();
    for (auto& value : machines_)
    {
        if (value->pid > 0)
        {
            ::kill(value->pid, SIGCONT);
            ::kill(value->pid, SIGKILL);
            ::waitpid(value->pid, nullptr, 0);
        }
    }
    if (store_pid_ > 0)
    {
        ::kill(store_pid_, SIGKILL);
        ::waitpid(store_pid_, nullptr, 0);
    }
}

machine& fleet::add_edge(std::string const& zone)
{
    std::scoped_lock const lock(machines_mutex_);
    auto const count = 1 + std::ranges::count_if(machines_, [](auto const& each)
                                                 { return each->is_edge; });
    auto value = std::make_unique<machine>();
    value->name = "edge-" + zone + '-' + std::to_string(count);
    value->ip = net_ + "1." + std::to_string(count);
    value->zone = zone;
    value->is_edge = true;
    machines_.push_back(std::move(value));
    return *machines_.back();
}

machine& fleet::add_side(std::string const& zone, std::string const& service)
{
    std::scoped_lock const lock(machines_mutex_);
    auto const count = 1 + std::ranges::count_if(machines_, [](auto const& each)
                                                 { return !each->is_edge; });
    auto value = std::make_unique<machine>();
    value->name = "side-" + zone + '-' + std::to_string(count);
    value->ip = net_ + "2." + std::to_string(count);
    value->zone = zone;
    value->service = service;
    machines_.push_back(std::move(value));
    return *machines_.back();
}

// The control addresses of the first three edge machines.
std::string fleet::seeds() const
{
    std::string result;
    int count = 0;
    for (auto const& each : machines_)
    {
        if (each->is_edge && count < 3)
        {
            result += (count++ == 0 ? "" : ",") +
                      quoted(at_port(each->ip, control_port));
        }
    }
    return result;
}

// Fills in the template of the deploy file.
std::string fleet::settings_of(machine const& value) const
{
    std::ifstream file(value.is_edge ? "deploy/balancer.json"
                                     : "deploy/agent.json");
    std::stringstream stream;
    stream << file.rdbuf();
    auto text = stream.str();
    replace_all(text, "{{nodeName|json}}", quoted(value.name));
    replace_all(text, "{{zone|json}}", quoted(value.zone));
    replace_all(text, "{{service|json}}", quoted(value.service));
    replace_all(text, "{{listen.dataAddr|json}}",
                quoted(at_port(value.ip, data_port)));
    replace_all(text, "{{listen.readyAddr|json}}",
                quoted(at_port(value.ip, ready_port)));
    replace_all(text, "{{listen.control|json}}",
                quoted(at_port(value.ip, control_port)));
    replace_all(text, "{{listen.outbound|json}}",
                quoted(at_port(value.ip, outbound_port)));
    replace_all(text, "{{app|json}}", quoted(at_port(value.ip, app_port)));
    replace_all(text, "{{ip}}", value.ip);
    replace_all(text, "{{portRange.0}}", std::to_string(first_inner_port));
    replace_all(text, "{{portRange.1}}", std::to_string(last_inner_port));
    replace_all(text, "{{platform.address|json}}",
                quoted(at_port(net_ + "3.1", store_port)));
    replace_all(text, "{{#bounds.configApplyMs}}", "");
    replace_all(text, "{{/bounds.configApplyMs}}", "");
    replace_all(text, "{{bounds.configApplyMs}}", "3000");
    replace_all(text, "{{#seeds}}{{.|json}}{{,}}{{/seeds}}",
                value.seeds.empty() ? seeds() : value.seeds);
    return text;
}

void fleet::start_store()
{
    auto const address = at_port(net_ + "3.1", store_port);
    auto const command = at_port(net_ + "3.1", store_command_port);
    store_pid_ = ::fork();
    if (store_pid_ == 0)
    {
        int const out = ::open((work_ + "/store.log").c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(store_program_.c_str(), store_program_.c_str(), "--listen",
                address.c_str(), "--control", command.c_str(), nullptr);
        ::_exit(127);
    }
    for (int i = 0; i < 200; ++i)
    {
        if (http_call(net_ + "3.1", store_command_port, "GET", "/stats", "",
                      milliseconds(200)) == 200)
        {
            return;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    throw std::runtime_error("the store doesn't answer");
}

bool fleet::put_config(int version, std::string const& json)
{
    int const status = http_call(net_ + "3.1", store_command_port, "POST",
                                 "/operator", json, milliseconds(3'000));
    log_.line("operator: version " + std::to_string(version) + ", " +
              std::to_string(json.size()) + " bytes, acknowledged with " +
              std::to_string(status));
    return status == 200;
}

void fleet::start(machine& value)
{
    auto const path = work_ + '/' + value.name + ".conf";
    std::ofstream(path) << settings_of(value);
    auto const program =
        programs_ + (value.is_edge ? "/daisytrail-platform-balancer"
                                   : "/daisytrail-platform-agent");
    auto const log_path = work_ + '/' + value.name + ".log";
    ++value.starts;
    value.pid = ::fork();
    if (value.pid == 0)
    {
        int const out =
            ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
                nullptr);
        ::_exit(127);
    }
    log_.line("start " + value.name + ", pid " + std::to_string(value.pid));
}

void fleet::signal(machine& value, int number)
{
    log_.line("signal " + std::to_string(number) + " to " + value.name);
    ::kill(value.pid, number);
}

bool fleet::has_ended(machine& value)
{
    if (value.pid > 0 && ::waitpid(value.pid, nullptr, WNOHANG) == value.pid)
    {
        value.pid = -1;
        log_.line(value.name + " has ended");
    }
    return value.pid <= 0;
}

target& fleet::add_target(machine const& beside, std::string const& id,
                          std::uint64_t born)
{
    targets_.push_back(std::make_unique<target>(
        beside, id, born, static_cast<std::uint32_t>(targets_.size()) + 1,
        log_));
    return *targets_.back();
}

// Twice a second; two misses put a node out of rotation until it answers 200.
void fleet::probe()
{
    while (!is_stopped_)
    {
        std::vector<std::string> addresses;
        {
            std::scoped_lock const lock(machines_mutex_);
            for (auto const& each : machines_)
            {
                if (each->is_edge && each->zone == client_zone)
                {
                    addresses.push_back(each->ip);
                }
            }
        }
        for (auto const& ip : addresses)
        {
            bool const is_ready = http_call(ip, ready_port, "GET", "/api/ready",
                                            "", milliseconds(300)) == 200;
            std::scoped_lock const lock(rotation_mutex_);
            auto& misses = misses_[ip];
            misses = is_ready ? 0 : misses + 1;
            auto& in = in_rotation_[ip];
            bool const was_in = in;
            in = is_ready || (in && misses < 2);
            if (in != was_in)
            {
                log_.line("router: " + ip + (in ? " joins" : " leaves") +
                          " the rotation");
            }
        }
        for (int i = 0; i < 50 && !is_stopped_; ++i)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
}

std::vector<std::string> fleet::rotation() const
{
    std::scoped_lock const lock(rotation_mutex_);
    std::vector<std::string> result;
    for (auto const& [ip, in] : in_rotation_)
    {
        if (in)
        {
            result.push_back(ip);
        }
    }
    return result;
}

// By `mod` of a hash over the four addresses and ports.
std::string fleet::router_choice(client_flow const& value) const
{
    auto const nodes = rotation();
    if (nodes.empty())
    {
        return {};
    }
    std::uint64_t hash = 1'469'598'103'934'665'603ULL;
    for (std::uint64_t const word :
         {std::uint64_t{parse_ip(client_ip_)}, std::uint64_t{value.port},
          std::uint64_t{vip_}, std::uint64_t{vip_port_}})
    {
        hash = (hash ^ word) * 1'099'511'628'211ULL;
        hash ^= hash >> 29U;
    }
    return nodes[hash % nodes.size()];
}

client_flow& fleet::open_flow(std::string const& vip, std::uint16_t vip_port)
{
    vip_ = parse_ip(vip);
    vip_port_ = vip_port;
    auto value = std::make_unique<client_flow>();
    value->number = static_cast<int>(flows_.size()) + 1;
    value->port = next_port_++;
    value->isn = static_cast<std::uint32_t>(random_());
    value->next = value->isn + 1;
    value->unacked = value->next;
    value->opened_at = clock::now();
    value->next_send = value->opened_at;
    by_port_[value->port] = value.get();
    flows_.push_back(std::move(value));
    return *flows_.back();
}

void fleet::send_request(client_flow& value, milliseconds deadline)
{
    value.request = "request-" + std::to_string(value.number) + '-' +
                    std::to_string(value.answers + 1);
    value.waits = true;
    value.retransmissions = 0;
    value.deadline = clock::now() + deadline;
    value.next_send = clock::now();
    value.next += static_cast<std::uint32_t>(value.request.size());
}

void fleet::send(client_flow& value, packet p)
{
    p.src = parse_ip(client_ip_);
    p.sport = value.port;
    p.dst = vip_;
    p.dport = vip_port_;
    auto const node = router_choice(value);
    if (!node.empty())
    {
        client_->send(node, data_port, encode(p));
    }
}

void fleet::tick(client_flow& value)
{
    auto const now = clock::now();
    if (value.end != flow_end::none)
    {
        return;
    }
    if (!value.is_open)
    {
        auto const age = now - value.opened_at;
        if (value.syns < 3 &&
            age >= milliseconds(
                       syn_times_ms[static_cast<std::size_t>(value.syns)]))
        {
            packet syn;
            syn.flags = flag_syn;
            syn.seq = value.isn;
            syn.ack = static_cast<std::uint32_t>(value.syns++);
            send(value, syn);
        }
        else if (age > milliseconds(syn_lifetime_ms))
        {
            value.end = flow_end::no_answer;
            value.ended_at = log_.now();
        }
        return;
    }
    if (!value.waits)
    {
        return;
    }
    if (now >= value.deadline)
    {
        value.end = flow_end::no_answer;
        value.ended_at = log_.now();
        log_.line("client: " + value.request + " has no answer");
        return;
    }
    if (now >= value.next_send)
    {
        packet data;
        data.flags = flag_ack;
        data.seq = value.unacked;
        data.ack = value.expected;
        data.data = value.request;
        send(value, data);
        if (value.retransmissions == 0)
        {
            log_.line("client: sends " + value.request + " through " +
                      router_choice(value));
        }
        auto const pause = std::min<milliseconds>(
            first_retransmission * (1 << std::min(value.retransmissions, 4)),
            longest_retransmission);
        ++value.retransmissions;
        value.next_send = now + pause;
    }
}

void fleet::on_client_packet(packet const& value)
{
    auto const found = by_port_.find(value.dport);
    if (found == by_port_.end() || found->second->end != flow_end::none)
    {
        return;
    }
    auto& flow = *found->second;
    if ((value.flags & flag_rst) != 0)
    {
        flow.end =
            value.sum == 0 ? flow_end::system_reset : flow_end::target_reset;
        flow.ended_at = log_.now();
        log_.line("client: flow " + std::to_string(flow.number) + " (" +
                  (flow.is_open ? "open at " + flow.owner : "not open") +
                  ") gets a reset " +
                  (value.sum == 0
                       ? "of the system's own"
                       : "of target number " + std::to_string(value.ack)));
        flow.reset_by = value.sum == 0 ? 0 : value.ack;
        return;
    }
    if ((value.flags & flag_syn) != 0)
    {
        if (!flow.is_open)
        {
            flow.is_open = true;
            flow.expected = value.seq + 1;
            packet ack;
            ack.flags = flag_ack;
            ack.seq = flow.next;
            ack.ack = flow.expected;
            send(flow, ack);
        }
        return;
    }
    if (!value.data.empty() && flow.waits && value.seq == flow.expected)
    {
        flow.expected += static_cast<std::uint32_t>(value.data.size());
        flow.unacked = flow.next;
        flow.waits = false;
        ++flow.answers;
        if (flow.owner.empty())
        {
            flow.owner = value.data;
        }
        log_.line("client: " + flow.request + " answered by " + value.data);
        packet ack;
        ack.flags = flag_ack;
        ack.seq = flow.next;
        ack.ack = flow.expected;
        send(flow, ack);
    }
}

bool fleet::run(milliseconds time, std::function<bool()> const& done)
{
    auto const until = clock::now() + time;
    while (clock::now() < until)
    {
        std::vector<pollfd> entries{{client_->fd(), POLLIN, 0}};
        for (auto const& each : targets_)
        {
            entries.push_back({each->fd(), POLLIN, 0});
        }
        ::poll(entries.data(), entries.size(), 5);
        std::string bytes;
        while (client_->receive(bytes))
        {
            packet value;
            if (decode(bytes, value))
            {
                on_client_packet(value);
            }
        }
        for (auto const& each : targets_)
        {
            each->read();
            each->tick();
        }
        for (auto const& each : flows_)
        {
            tick(*each);
        }
        if (done && done())
        {
            return true;
        }
    }
    return !done;
}

} // namespace review
