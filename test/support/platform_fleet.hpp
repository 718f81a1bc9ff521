// Runs the platform's programs as processes on loopback: a stand-in for the
// store, balancers, and one agent for each backend server.
#pragma once

#include "support/child_process.hpp"

#include <daisytrail/types.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daisytrail
{

// Which processes accept control messages that are signed with the newer key.
// Restarted balancers and agents that are added later sign with the newer key;
// a process that lacks this key drops their messages.
enum class newer_key_acceptance : std::uint8_t
{
    everywhere,            // all processes: only the first key is in use
    all_but_last_balancer, // the last balancer lacks the newer key
    all_but_old_balancers, // balancers get the newer key at their restart
    count
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(
                                                  newer_key_acceptance::count)>
    newer_key_acceptance_names{"whole", "one_deaf", "old_deaf"};

struct fleet_plan
{
    std::string programs_; // directory of the programs
    std::string work_;     // directory for settings and logs
    std::uint16_t first_port_ = 0;
    int balancers_ = 3;
    int agents_ = 4;
    int store_watchers_ = 32;
    newer_key_acceptance newer_key_acceptance_ =
        newer_key_acceptance::everywhere;
};

class platform_fleet
{
public:
    explicit platform_fleet(fleet_plan plan);

    // Balancers and agents are numbered from 1.
    void start_store();
    void start_balancer(int number);
    void start_agent(int number);

    child_process& store()
    {
        return *store_;
    }

    child_process& balancer(int number)
    {
        return *balancers_.at(number);
    }

    child_process& agent(int number)
    {
        return *agents_.at(number);
    }

    fleet_plan const& plan() const
    {
        return plan_;
    }

    endpoint store_commands() const;
    endpoint store_address(int balancer) const; // each balancer has its own
    endpoint balancer_data(int number) const;
    endpoint balancer_http(int number) const;
    endpoint agent_http(int number) const;
    endpoint outbound(int agent) const;
    endpoint backend(int agent) const;
    endpoint callers() const;
    static std::string service(int agent);

private:
    endpoint balancer_port(int number, int offset) const;
    endpoint agent_port(int number, int offset) const;
    std::string seeds() const;
    std::string keys(bool signs_with_newer) const;
    std::string balancer_keys(int number) const;
    std::string agent_keys(int number) const;
    std::unique_ptr<child_process> launch(std::string const& name,
                                          std::string const& program,
                                          std::string const& settings) const;

    fleet_plan plan_;
    std::unique_ptr<child_process> store_;
    std::map<int, std::unique_ptr<child_process>> balancers_;
    std::map<int, std::unique_ptr<child_process>> agents_;
};

} // namespace daisytrail
