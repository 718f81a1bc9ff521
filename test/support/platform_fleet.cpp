// Ports, settings files and processes of a fleet on loopback.
#include "support/platform_fleet.hpp"

#include <algorithm>
#include <fstream>
#include <utility>

namespace daisytrail
{

namespace
{

constexpr ipv4 loopback = 0x7f000001;
// Port numbers, relative to the fleet's first port.
constexpr int commands_offset = 0;
constexpr int callers_offset = 1;
constexpr int store_ports_offset =
    2; // a port per balancer; balancers' own ports follow
constexpr int ports_per_process = 5;
constexpr int max_seeds = 3;

constexpr char const* fleet_key =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

constexpr char const* newer_key =
    "101112131415161718191a1b1c1d1e1f000102030405060708090a0b0c0d0e0f";

endpoint loopback_endpoint(int port)
{
    return {loopback, static_cast<std::uint16_t>(port)};
}

std::string quoted(std::string const& text)
{
    return '"' + text + '"';
}

std::string quoted(endpoint const& value)
{
    return quoted(to_string(value));
}

} // namespace

platform_fleet::platform_fleet(fleet_plan plan) : plan_(std::move(plan)) {}

endpoint platform_fleet::store_commands() const
{
    return loopback_endpoint(plan_.first_port_ + commands_offset);
}

endpoint platform_fleet::store_address(int balancer) const
{
    return loopback_endpoint(plan_.first_port_ + store_ports_offset + balancer);
}

endpoint platform_fleet::callers() const
{
    return loopback_endpoint(plan_.first_port_ + callers_offset);
}

endpoint platform_fleet::balancer_port(int number, int offset) const
{
    int const first = plan_.first_port_ + store_ports_offset + plan_.balancers_;
    return loopback_endpoint(first + ports_per_process * number + offset);
}

endpoint platform_fleet::agent_port(int number, int offset) const
{
    auto const last = balancer_port(plan_.balancers_, 0);
    return loopback_endpoint(last.port_ + ports_per_process * number + offset);
}

endpoint platform_fleet::balancer_data(int number) const
{
    return balancer_port(number, 0);
}

endpoint platform_fleet::balancer_http(int number) const
{
    return balancer_port(number, 2);
}

endpoint platform_fleet::agent_http(int number) const
{
    return agent_port(number, 2);
}

endpoint platform_fleet::outbound(int agent) const
{
    return agent_port(agent, 3);
}

endpoint platform_fleet::backend(int agent) const
{
    return agent_port(agent, 4);
}

std::string platform_fleet::service(int agent)
{
    return "till-" + std::to_string(agent % 2);
}

std::string platform_fleet::seeds() const
{
    std::string result;
    for (int i = 1; i <= std::min(plan_.balancers_, max_seeds); ++i)
    {
        result += (i == 1 ? "" : ", ") + quoted(balancer_port(i, 1));
    }
    return result;
}

std::string platform_fleet::balancer_keys(int number) const
{
    bool const is_restarted = balancers_.contains(number);
    bool const rejects_newer_key =
        (plan_.newer_key_acceptance_ ==
             newer_key_acceptance::all_but_last_balancer &&
         number == plan_.balancers_) ||
        (plan_.newer_key_acceptance_ ==
             newer_key_acceptance::all_but_old_balancers &&
         !is_restarted);
    return rejects_newer_key ? quoted(fleet_key) : keys(is_restarted);
}

std::string platform_fleet::agent_keys(int number) const
{
    return keys(number > plan_.agents_);
}

// Returns the list of keys. A process signs with the first key and accepts
// messages that are signed with any of them.
std::string platform_fleet::keys(bool signs_with_newer) const
{
    if (plan_.newer_key_acceptance_ == newer_key_acceptance::everywhere)
    {
        return quoted(fleet_key);
    }
    return signs_with_newer ? quoted(newer_key) + ", " + quoted(fleet_key)
                            : quoted(fleet_key) + ", " + quoted(newer_key);
}

std::unique_ptr<child_process>
platform_fleet::launch(std::string const& name, std::string const& program,
                       std::string const& settings) const
{
    auto const path = plan_.work_ + "/" + name + ".json";
    std::ofstream(path) << settings;
    return std::make_unique<child_process>(
        plan_.programs_ + "/" + program,
        std::vector<std::string>{"--settings", path},
        plan_.work_ + "/" + name + ".log");
}

void platform_fleet::start_store()
{
    std::vector<std::string> arguments{"--control",
                                       to_string(store_commands())};
    for (int i = 1; i <= plan_.balancers_; ++i)
    {
        arguments.emplace_back("--listen");
        arguments.push_back(to_string(store_address(i)));
    }
    store_ = std::make_unique<child_process>(
        plan_.programs_ + "/stand-in-platform-store", arguments,
        plan_.work_ + "/store.log");
}

void platform_fleet::start_balancer(int number)
{
    auto const name = "balancer-" + std::to_string(number);
    balancers_[number] = launch(
        name, "daisytrail-platform-balancer",
        "{\"name\": " + quoted(name) + ", \"failure_domain\": \"lafrenz\"" +
            ", \"data\": " + quoted(balancer_data(number)) +
            ", \"control\": " + quoted(balancer_port(number, 1)) +
            ", \"http\": " + quoted(balancer_http(number)) +
            ", \"relay\": " + quoted(balancer_port(number, 3)) +
            ", \"stores\": [" + quoted(store_address(number)) + "]" +
            ", \"store_watchers\": " + std::to_string(plan_.store_watchers_) +
            ", \"apply_within_ms\": 3000" + ", \"caller_port\": " +
            std::to_string(callers().port_) + ", \"seeds\": [" + seeds() +
            "], \"keys\": [" + balancer_keys(number) + "]}");
}

void platform_fleet::start_agent(int number)
{
    auto const name = "agent-" + std::to_string(number);
    agents_[number] = launch(
        name, "daisytrail-platform-agent",
        "{\"name\": " + quoted(name) + ", \"failure_domain\": \"lafrenz\"" +
            ", \"organisation\": \"site\", \"service\": " +
            quoted(service(number)) +
            ", \"tunnel\": " + quoted(agent_port(number, 0)) +
            ", \"control\": " + quoted(agent_port(number, 1)) +
            ", \"http\": " + quoted(agent_http(number)) +
            ", \"outbound\": " + quoted(outbound(number)) +
            ", \"backend\": " + quoted(backend(number)) +
            ", \"caller_port\": " + std::to_string(callers().port_) +
            ", \"seeds\": [" + seeds() + "], \"keys\": [" + agent_keys(number) +
            "]}");
}

} // namespace daisytrail
