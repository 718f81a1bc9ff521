// The operator's commands. Each returns what it found as text and as JSON;
// main.cpp prints one of the two.
#pragma once

#include "cli/blocking_store.hpp"
#include "cli/fleet_client.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytrail
{

struct command_result
{
    int exit_code_ = 0; // 0, or that of an error_response
    std::string text_;
    boost::json::object json_;
};

// Where the commands look and what they tell on the way.
struct command_context
{
    blocking_store& store_;
    process_query query_processes_;
    std::vector<endpoint> processes_; // HTTP pages of balancers
    std::chrono::milliseconds timeout_{15'000};
    std::function<void(std::string const&)> progress_;
    // How the operator called this program: "daisytrail --store 10.0.0.9:2379".
    // Commands that are printed to be run next start with it.
    std::string program_ = "daisytrail";
};

// What apply and rollback have in common.
struct change_options
{
    std::string change_id_;
    std::string who_;
    std::string when_;
    std::optional<revision> base_; // empty: only if there is nothing yet
    bool current_base_ = false;    // take whatever is in force as the base
    bool allow_breaking_ = false;
    bool wait_ = false;
    std::chrono::milliseconds wait_timeout_{30'000};
};

// `files` are names and texts. VIPs may not overlap among the files.
struct template_file
{
    std::string name_;
    std::string text_;
};

command_result check_command(std::vector<template_file> const& files);
command_result plan_command(command_context const& context,
                            template_file const& file);
command_result apply_command(command_context const& context,
                             template_file const& file,
                             change_options const& options);
command_result show_command(command_context const& context,
                            std::string const& organisation);
// The page of changes up to `before`; 0: the latest.
command_result history_command(command_context const& context,
                               std::string const& organisation,
                               std::uint64_t before);
// Makes the template after change `number` the next change.
command_result rollback_command(command_context const& context,
                                std::string const& organisation,
                                std::uint64_t number,
                                change_options const& options);
command_result status_command(command_context const& context);
command_result explain_command(command_context const& context,
                               endpoint const& vip, endpoint const& caller);

// The result for a failure: explain the error and take its exit code.
command_result failure(error_kind kind, std::string const& detail);

} // namespace daisytrail
