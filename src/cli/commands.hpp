// The operator's commands. Each returns its result as text and as JSON, of
// which main.cpp prints one.
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
    int exit_code_ = 0; // 0, or the exit code of an error_response
    std::string text_;
    boost::json::object json_;
};

// The store and processes that commands query, and their progress messages.
struct command_context
{
    blocking_store& store_;
    process_query query_processes_;
    std::vector<endpoint> processes_; // HTTP addresses of processes
    std::chrono::milliseconds timeout_{15'000};
    std::function<void(std::string const&)> progress_;
    // Program name and store options as the operator gave them:
    // "daisytrail --store 10.0.0.9:2379". Printed follow-up commands start with
    // it.
    std::string program_ = "daisytrail";
};

// Options of apply and rollback.
struct change_options
{
    std::string change_id_;
    std::string who_;
    std::string when_;
    std::uint64_t unix_ms_ = 0;
    std::optional<template_version>
        base_;                  // apply: empty if no template exists yet
    bool current_base_ = false; // use the version in the store as the base
    bool allow_breaking_ = false;
    bool wait_ = false;
    std::chrono::milliseconds wait_timeout_{30'000};
};

// The name and content of a template file.
struct template_file
{
    std::string name_;
    std::string text_;
};

// Checks each file, and that no VIP occurs in several files.
command_result check_command(std::vector<template_file> const& files);
command_result plan_command(command_context const& context,
                            template_file const& file);
command_result apply_command(command_context const& context,
                             template_file const& file,
                             change_options const& options);
command_result show_command(command_context const& context,
                            std::string const& organisation);
// Lists a page of changes, newest first, from number `before` down; 0 starts at
// the latest change.
command_result history_command(command_context const& context,
                               std::string const& organisation,
                               std::uint64_t before);
// Applies the template that change `number` stored as a new change.
command_result rollback_command(command_context const& context,
                                std::string const& organisation,
                                std::uint64_t number,
                                change_options const& options);
command_result status_command(command_context const& context);
command_result explain_command(command_context const& context,
                               endpoint const& vip, endpoint const& caller);

// Returns a result with the error's name, `detail` and the error's exit code.
command_result failure(error_kind kind, std::string const& detail);

} // namespace daisytrail
