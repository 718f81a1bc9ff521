// Sockets, processes and the behaviour of clients and targets of a small site.
#include "site.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t head_bytes = 32;
constexpr milliseconds beat_interval{770};
constexpr milliseconds beat_timeout{1'000};
// A client's copies of its SYN, and the end of an attempt without an answer.
constexpr milliseconds first_copy{200};
constexpr milliseconds second_copy{600};
constexpr milliseconds attempt_end{1'400};
constexpr milliseconds request_deadline{8'000};
constexpr milliseconds longest_resend{1'600};
// Last two bytes of the addresses of the clients and of the store.
constexpr int client_bytes[] = {250, 1};
constexpr int store_bytes[] = {251, 1};

void put(std::string& out, std::uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i)
    {
        out += static_cast<char>((value >> (8 * i)) & 0xFF);
    }
}

std::uint32_t get(std::string const& in, std::size_t at, int bytes)
{
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i)
    {
        value |=
            static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + i]))
            << (8 * i);
    }
    return value;
}

sockaddr_in to_sockaddr(address const& value)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(value.ip);
    result.sin_port = htons(value.port);
    return result;
}

int open_udp(address const& local)
{
    int const fd =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const name = to_sockaddr(local);
    int const bytes = 4 << 20;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) != 0)
    {
        throw std::runtime_error("can't bind " + to_string(local.ip) + ":" +
                                 std::to_string(local.port));
    }
    return fd;
}

void send_to(int fd, address const& to, packet const& value)
{
    auto const bytes = encode(value);
    auto const name = to_sockaddr(to);
    ::sendto(fd, bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr const*>(&name), sizeof(name));
}

std::optional<std::string> receive(int fd)
{
    char buffer[2'048];
    auto const count = ::recv(fd, buffer, sizeof(buffer), 0);
    if (count < 0)
    {
        return std::nullopt;
    }
    return std::string(buffer, static_cast<std::size_t>(count));
}

// Stands for the keyed sum, which only clients and targets know.
std::uint32_t sum_of(packet const& value)
{
    std::uint32_t result = 0x9E3779B9U ^ value.seq ^ (value.ack * 31U) ^
                           value.source.ip ^ value.destination.port;
    for (char const byte : value.data)
    {
        result = result * 16'777'619U + static_cast<unsigned char>(byte);
    }
    return result | 1U;
}

std::string request_id(std::string const& text)
{
    constexpr std::string_view name = "X-Request-Id: ";
    auto const at = text.find(name);
    if (at == std::string::npos)
    {
        return "";
    }
    auto const begin = at + name.size();
    return text.substr(begin, text.find('\r', begin) - begin);
}

bool is_whole(std::string const& text)
{
    return text.find("\r\n\r\n") != std::string::npos;
}

} // namespace

// Takes the first second byte whose addresses no other play uses: the clients'
// socket is open as long as the play.
int second_byte()
{
    static int const chosen = []
    {
        constexpr int first = 64;
        constexpr int last = 223;
        for (int second = first; second <= last; ++second)
        {
            int const fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            auto const name =
                to_sockaddr({parse_ip("127." + std::to_string(second) + "." +
                                      std::to_string(client_bytes[0]) + "." +
                                      std::to_string(client_bytes[1])),
                             ports::lock});
            if (::bind(fd, reinterpret_cast<sockaddr const*>(&name),
                       sizeof(name)) == 0)
            {
                return second; // the socket stays open until this process ends
            }
            ::close(fd);
        }
        throw std::runtime_error("no free addresses");
    }();
    return chosen;
}

std::string machine_at(int third, int fourth)
{
    return "127." + std::to_string(second_byte()) + "." +
           std::to_string(third) + "." + std::to_string(fourth);
}

std::uint32_t parse_ip(std::string const& text)
{
    in_addr value{};
    if (::inet_pton(AF_INET, text.c_str(), &value) != 1)
    {
        throw std::runtime_error("not an address: " + text);
    }
    return ntohl(value.s_addr);
}

std::string to_string(std::uint32_t ip)
{
    std::string result;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        result += std::to_string((ip >> shift) & 0xFF) + (shift ? "." : "");
    }
    return result;
}

char const* to_string(end value)
{
    constexpr char const* names[] = {"pending", "answered", "reset", "refused",
                                     "no answer"};
    return names[static_cast<int>(value)];
}

std::string encode(packet const& value)
{
    std::string out;
    put(out, value.flags, 1);
    put(out, 0, 1);
    put(out, value.source.port, 2);
    put(out, value.source.ip, 4);
    put(out, value.destination.port, 2);
    put(out, value.destination.ip, 4);
    put(out, value.echo, 4);
    put(out, value.sum, 4);
    put(out, value.data.size(), 2);
    put(out, value.seq, 4);
    put(out, value.ack, 4);
    return out + value.data;
}

std::optional<packet> decode(std::string const& bytes)
{
    if (bytes.size() < head_bytes)
    {
        return std::nullopt;
    }
    packet result;
    result.flags = static_cast<std::uint8_t>(bytes[0]);
    result.source = {get(bytes, 4, 4),
                     static_cast<std::uint16_t>(get(bytes, 2, 2))};
    result.destination = {get(bytes, 10, 4),
                          static_cast<std::uint16_t>(get(bytes, 8, 2))};
    result.echo = get(bytes, 14, 4);
    result.sum = get(bytes, 18, 4);
    result.seq = get(bytes, 24, 4);
    result.ack = get(bytes, 28, 4);
    result.data = bytes.substr(head_bytes);
    return result;
}

record::record(std::string const& path)
    : out_(path, std::ios::trunc), started_at_(clock::now())
{
}

std::int64_t record::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - started_at_)
        .count();
}

void record::line(std::string const& text)
{
    std::lock_guard const guard(mutex_);
    auto const at = now_ms();
    out_ << at << " ms  " << text << '\n' << std::flush;
}

processes::~processes()
{
    end_all();
}

void processes::start(std::string const& name,
                      std::vector<std::string> const& words,
                      std::string const& log)
{
    auto const pid = ::fork();
    if (pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::vector<char*> arguments;
        for (auto const& word : words)
        {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    if (pid < 0)
    {
        throw std::runtime_error("can't start " + name);
    }
    pids_[name] = pid;
}

void processes::signal(std::string const& name, int number)
{
    ::kill(pids_.at(name), number);
}

void processes::kill_and_wait(std::string const& name)
{
    auto const found = pids_.find(name);
    if (found != pids_.end())
    {
        ::kill(found->second, SIGKILL);
        ::waitpid(found->second, nullptr, 0);
        pids_.erase(found);
    }
}

bool processes::has_ended(std::string const& name)
{
    auto const found = pids_.find(name);
    if (found == pids_.end())
    {
        return true;
    }
    if (::waitpid(found->second, nullptr, WNOHANG) == 0)
    {
        return false;
    }
    pids_.erase(found);
    return true;
}

void processes::end_all()
{
    while (!pids_.empty())
    {
        kill_and_wait(std::string(pids_.begin()->first));
    }
}

int call(address const& to, std::string const& method, std::string const& path,
         std::string const& body, milliseconds timeout, std::string* answer)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{};
    limit.tv_sec = timeout.count() / 1'000;
    limit.tv_usec = (timeout.count() % 1'000) * 1'000;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    auto const name = to_sockaddr(to);
    int status = 0;
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) ==
        0)
    {
        std::ostringstream text;
        text << method << ' ' << path
             << " HTTP/1.1\r\nHost: " << to_string(to.ip)
             << "\r\nConnection: close\r\n"
             << "Content-Type: application/json\r\nContent-Length: "
             << body.size() << "\r\n\r\n"
             << body;
        auto const request = text.str();
        ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        std::string received;
        char buffer[65'536];
        for (ssize_t count = 0;
             (count = ::recv(fd, buffer, sizeof(buffer), 0)) > 0;)
        {
            received.append(buffer, static_cast<std::size_t>(count));
        }
        if (received.starts_with("HTTP/1.1 ") && received.size() > 12)
        {
            status = std::stoi(received.substr(9, 3));
            if (answer != nullptr)
            {
                auto const end = received.find("\r\n\r\n");
                *answer =
                    end == std::string::npos ? "" : received.substr(end + 4);
            }
        }
    }
    ::close(fd);
    return status;
}

target::target(site& owner, std::string machine, std::string service, int slots,
               milliseconds work)
    : site_(owner), machine_(std::move(machine)), service_(std::move(service)),
      slots_(slots), work_(work), next_own_seq_(parse_ip(machine_) * 2'654'435U)
{
}

target::~target()
{
    crash();
}

void target::start(std::string id, milliseconds first_beat)
{
    socket_ = open_udp({parse_ip(machine_), ports::app});
    auto const born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    site_.log().line("target " + id + " of " + service_ + " starts on " +
                     machine_);
    beats_ = std::jthread(
        [this, id, born, first_beat](std::stop_token stop)
        { beat(stop, id, static_cast<std::uint64_t>(born), first_beat); });
}

void target::crash()
{
    if (socket_ < 0)
    {
        return;
    }
    beats_ = {};
    ::close(socket_);
    socket_ = -1;
    flows_.clear();
    waiting_.clear();
    running_.clear();
    site_.log().line("target on " + machine_ + " ends");
}

void target::beat(std::stop_token stop, std::string id, std::uint64_t born,
                  milliseconds first_beat)
{
    std::this_thread::sleep_for(first_beat);
    std::uint64_t seq = 0;
    bool was_acknowledged = false;
    while (!stop.stop_requested())
    {
        std::ostringstream body;
        body << "{\"service\":\"" << service_ << "\",\"address\":\"" << machine_
             << ':' << ports::app
             << "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":" << slots_
             << ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" << ++seq
             << ",\"born\":" << born << '}';
        auto const status =
            call({parse_ip(machine_), ports::beats}, "PUT",
                 "/api/instances/" + id, body.str(), beat_timeout);
        bool const is_acknowledged = status >= 200 && status < 300;
        if (is_acknowledged != was_acknowledged || seq == 1)
        {
            site_.log().line("heartbeat " + std::to_string(seq) + " of " + id +
                             ": " + std::to_string(status));
        }
        was_acknowledged = is_acknowledged;
        for (auto const until = clock::now() + beat_interval;
             clock::now() < until && !stop.stop_requested();)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
}

void target::send(packet value)
{
    value.sum = sum_of(value);
    send_to(socket_, {parse_ip(machine_), ports::outbound}, value);
}

void target::on_readable()
{
    while (auto const bytes = receive(socket_))
    {
        if (auto const value = decode(*bytes))
        {
            handle(*value);
        }
    }
}

void target::handle(packet const& value)
{
    auto const found = flows_.find({value.source, value.destination});
    if (value.has(flag_syn))
    {
        auto& held = flows_[{value.source, value.destination}];
        if (held.own_seq == 0)
        {
            held.own_seq = next_own_seq_ += 1'000'003;
            held.client_next = value.seq + 1;
        }
        held.opening = value;
        packet answer;
        answer.flags = flag_syn | flag_ack;
        answer.source = value.destination;
        answer.destination = value.source;
        answer.seq = held.own_seq;
        answer.ack = held.client_next;
        send(answer);
        return;
    }
    bool const opens = found != flows_.end() && !found->second.is_open &&
                       value.ack == found->second.own_seq + 1;
    if (found == flows_.end() || (!found->second.is_open && !opens))
    {
        packet returned = value;
        returned.flags |= flag_bounced;
        send_to(socket_, {parse_ip(machine_), ports::outbound}, returned);
        return;
    }
    auto& held = found->second;
    if (value.has(flag_rst))
    {
        flows_.erase(found);
        return;
    }
    if (opens)
    {
        held.is_open = true;
        held.next_seq = held.own_seq + 1;
    }
    if (!value.data.empty() && value.seq == held.client_next)
    {
        held.client_next += static_cast<std::uint32_t>(value.data.size());
        held.request += value.data;
        if (is_whole(held.request))
        {
            waiting_.push_back(found->first);
        }
    }
    if (value.data.empty() && !value.has(flag_fin))
    {
        return;
    }
    packet answer;
    answer.flags = value.has(flag_fin) ? flag_ack | flag_fin : flag_ack;
    answer.source = value.destination;
    answer.destination = value.source;
    answer.seq = held.next_seq;
    answer.ack = held.client_next + (value.has(flag_fin) ? 1 : 0);
    send(answer);
    begin_runs(clock::now());
}

void target::begin_runs(clock::time_point now)
{
    while (!waiting_.empty() &&
           running_.size() < static_cast<std::size_t>(slots_))
    {
        auto const next = waiting_.front();
        waiting_.erase(waiting_.begin());
        auto& held = flows_[next];
        held.answer_at = now + work_;
        running_.push_back(next);
        site_.log().line(request_id(held.request) + " runs at " + service_ +
                         " on " + machine_);
        if (site_.on_run)
        {
            auto const& syn = held.opening;
            auto const sent =
                site_.syn_sent_at.find(std::to_string(syn.source.port) + "/" +
                                       std::to_string(syn.ack));
            site_.on_run(*this, request_id(held.request),
                         sent == site_.syn_sent_at.end() ? clock::time_point{}
                                                         : sent->second);
        }
    }
}

void target::on_time(clock::time_point now)
{
    for (auto at = running_.begin(); at != running_.end();)
    {
        auto& held = flows_[*at];
        if (now < held.answer_at)
        {
            ++at;
            continue;
        }
        packet answer;
        answer.flags = flag_ack;
        answer.source = at->second;
        answer.destination = at->first;
        answer.seq = held.next_seq;
        answer.ack = held.client_next;
        std::string const body = request_id(held.request);
        answer.data = "HTTP/1.1 200 OK\r\nX-Server-Stamp: " + service_ +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body;
        held.next_seq += static_cast<std::uint32_t>(answer.data.size());
        send(answer);
        held.request.clear();
        at = running_.erase(at);
    }
    begin_runs(now);
}

site::site(std::string const& record_path, std::string programs)
    : programs_(std::move(programs)), record_(record_path)
{
    std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("can't make a temporary folder");
    }
    work_ = name;
    client_ip_ = parse_ip(machine_at(client_bytes[0], client_bytes[1]));
    client_socket_ = open_udp({client_ip_, ports::data});
}

site::~site()
{
    children_.end_all();
    targets_.clear();
    ::close(client_socket_);
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(work_);
    }
    else
    {
        std::cerr << "logs: " << work_ << '\n';
    }
}

std::string site::path(std::string const& name) const
{
    return work_ + "/" + name;
}

void site::start_store()
{
    auto const store = machine_at(store_bytes[0], store_bytes[1]);
    children_.start("store",
                    {programs_ + "/stand-in-platform-store", "--listen",
                     store + ":" + std::to_string(ports::store), "--control",
                     store + ":" + std::to_string(ports::store_command)},
                    path("store.log"));
    run_until(
        [&]
        {
            return call({parse_ip(store), ports::store_command}, "GET",
                        "/stats", "", milliseconds(500)) == 200;
        },
        milliseconds(5'000));
}

bool site::configure(std::string const& document)
{
    auto const status =
        call({parse_ip(machine_at(store_bytes[0], store_bytes[1])),
              ports::store_command},
             "POST", "/operator", document, milliseconds(2'000));
    record_.line("operator: " + std::to_string(status) + " " + document);
    return status == 200;
}

// The same settings as deploy/balancer.json gives on the platform.
void site::start_balancer(std::string const& machine)
{
    std::string seeds;
    for (auto const& seed : seeds_)
    {
        seeds += (seeds.empty() ? "\"" : ", \"") + seed + ":" +
                 std::to_string(ports::beats) + "\"";
    }
    std::ofstream out(path(machine + ".json"));
    out << "{\n\"name\": \"edge-" << machine
        << "\", \"failure_domain\": \"zone-1\",\n\"data\": \"" << machine << ':'
        << ports::data << "\", \"relay\": \"" << machine << ':' << ports::relay
        << "\",\n\"control\": \"" << machine << ':' << ports::control
        << "\", \"http\": \"" << machine << ':' << ports::ready
        << "\",\n\"stores\": [\"" << machine_at(store_bytes[0], store_bytes[1])
        << ':' << ports::store
        << "\"], \"store_watchers\": 128, \"store_value_bytes\": 1048576,\n"
        << "\"apply_within_ms\": 3000, \"seeds\": [" << seeds
        << "], \"seed_port\": " << ports::control
        << ",\n\"keys\": [\"6b1f0c5d9e3a47824f60b7d2851ce39a0d7f46b8c25e91a3"
           "f8047bd6ce123590\"]\n}\n";
    out.close();
    children_.start(machine,
                    {programs_ + "/../bin/daisytrail-platform-balancer",
                     "--settings", path(machine + ".json")},
                    path(machine + ".log"));
    record_.line("balancer on " + machine + " starts");
}

// The same settings as deploy/agent.json gives on the platform.
void site::start_agent(std::string const& machine, std::string const& service)
{
    std::string seeds;
    for (auto const& seed : seeds_)
    {
        seeds += (seeds.empty() ? "\"" : ", \"") + seed + ":" +
                 std::to_string(ports::beats) + "\"";
    }
    std::ofstream out(path(machine + ".json"));
    out << "{\n\"name\": \"side-" << machine
        << "\", \"failure_domain\": \"zone-1\",\n\"organisation\": \"site\", "
           "\"service\": \""
        << service << "\",\n\"tunnel\": \"" << machine << ':' << ports::data
        << "\", \"backend\": \"" << machine << ':' << ports::app
        << "\",\n\"outbound\": \"" << machine << ':' << ports::outbound
        << "\", \"control\": \"" << machine << ':' << ports::control
        << "\",\n\"http\": \"" << machine << ':' << ports::beats
        << "\", \"seeds\": [" << seeds << "], \"seed_port\": " << ports::control
        << ",\n\"keys\": [\"6b1f0c5d9e3a47824f60b7d2851ce39a0d7f46b8c25e91a3"
           "f8047bd6ce123590\"]\n}\n";
    out.close();
    children_.start(machine,
                    {programs_ + "/../bin/daisytrail-platform-agent",
                     "--settings", path(machine + ".json")},
                    path(machine + ".log"));
    record_.line("agent of " + service + " on " + machine + " starts");
}

bool site::is_ready(std::string const& machine)
{
    return call({parse_ip(machine), ports::ready}, "GET", "/api/ready", "",
                milliseconds(500)) == 200;
}

std::string site::page(std::string const& machine, std::uint16_t port,
                       std::string const& name)
{
    std::string result;
    call({parse_ip(machine), port}, "GET", name, "", milliseconds(1'000),
         &result);
    return result;
}

target& site::add_target(std::string const& machine, std::string const& service,
                         int slots, milliseconds work)
{
    targets_.push_back(
        std::make_unique<target>(*this, machine, service, slots, work));
    return *targets_.back();
}

std::shared_ptr<attempt> site::request(std::string const& vip,
                                       std::uint16_t port,
                                       std::string const& balancer)
{
    auto value = std::make_shared<attempt>();
    value->id = "r-" + std::to_string(next_port_);
    value->source = {client_ip_, next_port_++};
    value->vip = {parse_ip(vip), port};
    value->balancer = balancer;
    value->started_at = clock::now();
    value->seq = 0x11000000U + 65'536U * value->source.port;
    value->request =
        "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + value->id + "\r\n\r\n";
    attempts_[value->source.port] = value;
    record_.line(value->id + ": sent to " + vip + " through " + balancer);
    tick_attempt(*value, value->started_at);
    return value;
}

std::shared_ptr<attempt> site::open(std::string const& vip, std::uint16_t port,
                                    std::string const& balancer)
{
    auto value = request(vip, port, balancer);
    value->stays_open = true;
    return value;
}

void site::request_again(attempt& value, std::string const& balancer)
{
    value.balancer = balancer;
    value.outcome = end::pending;
    value.started_at = clock::now();
    value.resend_at = value.started_at;
    value.resend_after = milliseconds(200);
    value.id += "+";
    value.request =
        "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + value.id + "\r\n\r\n";
    record_.line(value.id + ": sent in the open flow through " + balancer);
}

void site::send_from_client(attempt& value, packet head)
{
    head.source = value.source;
    head.destination = value.vip;
    head.sum = sum_of(head);
    send_to(client_socket_, {parse_ip(value.balancer), ports::data}, head);
}

void site::tick_attempt(attempt& value, clock::time_point now)
{
    if (value.outcome != end::pending)
    {
        return;
    }
    auto const age = now - value.started_at;
    if (!value.is_open)
    {
        int const due = age >= second_copy ? 3 : age >= first_copy ? 2 : 1;
        if (age >= attempt_end)
        {
            value.outcome = end::no_answer;
            record_.line(value.id + ": no answer to its SYNs");
        }
        else if (value.syns < due)
        {
            packet syn;
            syn.flags = flag_syn;
            syn.seq = value.seq;
            syn.ack = static_cast<std::uint32_t>(value.syns);
            value.last_syn_at = now;
            syn_sent_at[std::to_string(value.source.port) + "/" +
                        std::to_string(value.syns)] = now;
            ++value.syns;
            send_from_client(value, syn);
        }
        return;
    }
    if (age >= request_deadline)
    {
        value.outcome = end::no_answer;
        record_.line(value.id + ": its deadline passes");
    }
    else if (now >= value.resend_at)
    {
        packet data;
        data.flags = flag_ack;
        data.seq = value.seq + 1;
        data.ack = value.ack;
        data.data = value.request;
        value.resend_at = now + value.resend_after;
        value.resend_after = std::min(2 * value.resend_after, longest_resend);
        send_from_client(value, data);
    }
}

void site::on_client_packet(packet const& value)
{
    auto const found = attempts_.find(value.destination.port);
    if (found == attempts_.end() || found->second->outcome != end::pending)
    {
        return;
    }
    auto& held = *found->second;
    if (value.has(flag_rst))
    {
        held.outcome = held.is_open ? end::reset : end::refused;
        record_.line(held.id + ": " + to_string(held.outcome) +
                     (value.sum == 0 ? " by the system" : " by a target"));
        return;
    }
    if (value.has(flag_syn))
    {
        if (!held.is_open)
        {
            held.is_open = true;
            held.ack = value.seq + 1;
            held.resend_at = clock::now();
            tick_attempt(held, clock::now());
        }
        return;
    }
    if (!held.is_open || value.seq != held.ack || value.data.empty())
    {
        return;
    }
    held.ack += static_cast<std::uint32_t>(value.data.size());
    held.answer = value.data;
    held.outcome = end::answered;
    record_.line(held.id + ": answered");
    held.seq += static_cast<std::uint32_t>(held.request.size());
    if (held.stays_open)
    {
        packet acknowledgement;
        acknowledgement.flags = flag_ack;
        acknowledgement.seq = held.seq + 1;
        acknowledgement.ack = held.ack;
        send_from_client(held, acknowledgement);
        return;
    }
    packet fin;
    fin.flags = flag_ack | flag_fin;
    fin.seq = held.seq + 1;
    fin.ack = held.ack;
    send_from_client(held, fin);
}

void site::step()
{
    std::vector<pollfd> waits{{client_socket_, POLLIN, 0}};
    std::vector<target*> owners{nullptr};
    for (auto const& each : targets_)
    {
        if (each->is_running())
        {
            waits.push_back({each->socket(), POLLIN, 0});
            owners.push_back(each.get());
        }
    }
    ::poll(waits.data(), waits.size(), 2);
    for (std::size_t i = 1; i < waits.size(); ++i)
    {
        if ((waits[i].revents & POLLIN) != 0)
        {
            owners[i]->on_readable();
        }
    }
    while (auto const bytes = receive(client_socket_))
    {
        if (auto const value = decode(*bytes))
        {
            on_client_packet(*value);
        }
    }
    auto const now = clock::now();
    for (auto const& each : targets_)
    {
        if (each->is_running())
        {
            each->on_time(now);
        }
    }
    for (auto const& [port, each] : attempts_)
    {
        tick_attempt(*each, now);
    }
    std::erase_if(attempts_,
                  [&](auto const& entry)
                  {
                      return entry.second->outcome != end::pending &&
                             !entry.second->stays_open &&
                             now > entry.second->started_at +
                                       2 * request_deadline;
                  });
}

void site::run(milliseconds time)
{
    for (auto const until = clock::now() + time; clock::now() < until;)
    {
        step();
    }
}

bool site::run_until(std::function<bool()> const& condition, milliseconds limit)
{
    for (auto const until = clock::now() + limit; clock::now() < until;)
    {
        if (condition())
        {
            return true;
        }
        run(milliseconds(20));
    }
    return condition();
}

} // namespace review
