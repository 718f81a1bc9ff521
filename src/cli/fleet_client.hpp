// Queries the HTTP pages of several processes concurrently.
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

// A process's answer to a GET request; body_ is valid if error_ is empty.
struct page_answer
{
    endpoint process_;
    std::optional<error_kind> error_;
    std::string detail_;
    std::string body_;
};

// Requests `target` from every process and returns the answers in the order of
// the processes.
using process_query = std::function<std::vector<page_answer>(
    std::vector<endpoint> const&, std::string const& target)>;

process_query make_fleet_client(boost::asio::io_context& io,
                                std::chrono::milliseconds timeout);

// A target as a process reports it.
struct reported_target
{
    std::string service_;
    std::string name_;
    std::string state_;
};

// The template versions that a process runs and the targets that it reports.
struct process_status
{
    endpoint process_;
    std::string name_;
    std::string failure_domain_;
    std::string detail_; // why the status is unknown; empty if known
    // A balancer runs the templates of all organisations, an agent only that of
    // its service's organisation.
    bool is_balancer_ = false;
    std::map<std::string, template_version> versions_; // by organisation
    // "organisation@version: reason" of each version that the process refused
    // and that is newer than the one it runs.
    std::vector<std::string> refusals_;
    std::vector<reported_target> targets_;
};

// Parses the answers to GET /adopted, which every process serves, and GET
// /view, which only balancers serve.
process_status read_status(page_answer const& adopted, page_answer const& view);

} // namespace daisytrail
