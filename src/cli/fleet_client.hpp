// Questions to the HTTP pages of balancers, all asked at once.
#pragma once

#include <daisytrail/error.hpp>
#include <daisytrail/types.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

// One process's answer to a GET; body_ is valid if error_ is empty.
struct page_answer
{
    endpoint process_;
    std::optional<error_kind> error_;
    std::string detail_;
    std::string body_;
};

// Asks every process for `target` and returns the answers in order.
using process_query = std::function<std::vector<page_answer>(
    std::vector<endpoint> const&, std::string const& target)>;

process_query make_fleet_client(boost::asio::io_context& io,
                                std::chrono::milliseconds timeout);

// A target as one process sees it.
struct reported_target
{
    std::string service_;
    std::string name_;
    std::string state_;
};

// What one process runs.
struct process_status
{
    endpoint process_;
    std::string name_;
    std::string failure_domain_;
    std::string detail_; // why there is no answer; empty if there is one
    // A balancer runs every organisation; an agent runs that of its service.
    bool is_balancer_ = false;
    std::map<std::string, revision> revisions_; // by organisation
    std::vector<reported_target> targets_;
};

// Reads the answers of GET /adopted, which every process has, and GET /view,
// which balancers have.
process_status read_status(page_answer const& adopted, page_answer const& view);

} // namespace daisytrail
