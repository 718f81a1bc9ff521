// The platform's programs as processes on loopback: a stand-in of its store,
// balancers, and an agent beside each backend server.
#pragma once

#include "support/child_process.hpp"

#include <daisytrail/types.hpp>

#include <map>
#include <memory>
#include <string>

namespace daisytrail
{

struct fleet_plan
{
    std::string programs_; // folder of the programs
    std::string work_;     // folder for settings and logs
    std::uint16_t first_port_ = 0;
    int balancers_ = 3;
    int agents_ = 4;
    int store_watchers_ = 32;
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
    endpoint store_way(int balancer) const; // of one machine
    endpoint balancer_data(int number) const;
    endpoint balancer_page(int number) const;
    endpoint agent_page(int number) const;
    endpoint outbound(int agent) const;
    endpoint backend(int agent) const;
    endpoint callers() const;
    static std::string service(int agent);

private:
    endpoint balancer_port(int number, int offset) const;
    endpoint agent_port(int number, int offset) const;
    std::string seeds() const;
    std::unique_ptr<child_process> launch(std::string const& name,
                                          std::string const& program,
                                          std::string const& settings) const;

    fleet_plan plan_;
    std::unique_ptr<child_process> store_;
    std::map<int, std::unique_ptr<child_process>> balancers_;
    std::map<int, std::unique_ptr<child_process>> agents_;
};

} // namespace daisytrail
