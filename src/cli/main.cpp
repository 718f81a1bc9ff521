// Main program of the operator's command, `daisytrail`.
#include "cli/commands.hpp"
#include "store/etcd_store.hpp"

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

namespace
{

using namespace daisytrail;

constexpr char const* footer = R"(examples:
  daisytrail check hamutenya.json
  daisytrail plan hamutenya.json
  daisytrail apply hamutenya.json --base 41 --wait --process 10.0.0.1:7002
  daisytrail history hamutenya
  daisytrail rollback hamutenya --to 7
  daisytrail status --process 10.0.0.1:7002 --process 10.0.0.2:7002
  daisytrail explain 203.0.113.10:80 198.51.100.7:40000

exit status:
  0 done        2 faults in the arguments or the template
  3 not allowed 4 conflict or stale   5 not found    6 a limit was passed
  7 not in force in time              8 unavailable: nothing was changed
  9 unknown: the change may have taken effect; run the command that is printed
  1 a fault in this program)";

struct options
{
    std::vector<std::string> stores_;
    std::vector<std::string> processes_;
    bool json_ = false;
    double timeout_seconds_ = 15;
    std::vector<std::string> files_;
    std::string organisation_;
    std::string vip_;
    std::string caller_;
    std::string base_;
    std::uint64_t change_number_ = 0;
    double wait_seconds_ = 30;
    change_options change_;
};

// Formats the current time in UTC, for example "20261204T010203Z" or
// "2026-12-04T01:02:03Z".
std::string utc_now(char const* format)
{
    auto const now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    auto const size = std::strftime(text.data(), text.size(), format, &parts);
    return {text.data(), size};
}

std::uint64_t unix_ms_now()
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count());
}

std::string new_change_id()
{
    std::random_device device;
    std::array<char, 9> digits{};
    std::snprintf(digits.data(), digits.size(), "%08x", device());
    return utc_now("%Y%m%dT%H%M%SZ-") + digits.data();
}

std::string user_name()
{
    auto const* name = std::getenv("USER");
    return name == nullptr ? "unknown" : name;
}

template_file read_file(std::string const& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        throw error(error_kind::invalid_argument, "can't read " + name);
    }
    return {name, std::string(std::istreambuf_iterator<char>(file), {})};
}

std::vector<endpoint> parse_endpoints(std::vector<std::string> const& texts)
{
    std::vector<endpoint> result;
    result.reserve(texts.size());
    for (auto const& text : texts)
    {
        result.push_back(parse_endpoint(text));
    }
    return result;
}

std::chrono::milliseconds to_milliseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(seconds));
}

command_environment make_environment(boost::asio::io_context& io)
{
    return {[&io]
            {
                io.restart();
                io.run_one();
            },
            [](std::chrono::milliseconds delay)
            {
                // Jitter keeps commands that failed at the same time from
                // retrying at the same time.
                std::random_device device;
                std::uniform_real_distribution<double> factor(0.5, 1.0);
                std::this_thread::sleep_for(delay * factor(device));
            },
            []
            {
                return time_point(std::chrono::steady_clock::now());
            }};
}

change_options complete_change_options(options const& given)
{
    auto change = given.change_;
    change.change_id_ =
        change.change_id_.empty() ? new_change_id() : change.change_id_;
    change.who_ = change.who_.empty() ? user_name() : change.who_;
    change.when_ = utc_now("%Y-%m-%dT%H:%M:%SZ");
    change.unix_ms_ = unix_ms_now();
    change.wait_timeout_ = to_milliseconds(given.wait_seconds_);
    change.current_base_ = given.base_ == "current";
    if (!given.base_.empty() && !change.current_base_)
    {
        change.base_ = std::stoull(given.base_);
    }
    return change;
}

using runner = command_result (*)(command_context const&, options const&);

struct command_entry
{
    char const* name_;
    char const* help_;
    void (*add_options_)(CLI::App&, options&);
    runner run_;
};

void add_file(CLI::App& command, options& given)
{
    command.add_option("file", given.files_, "template: JSON with comments")
        ->required()
        ->expected(1);
}

void add_organisation(CLI::App& command, options& given)
{
    command.add_option("organisation", given.organisation_)->required();
}

void add_change(CLI::App& command, options& given)
{
    command
        .add_option("--base", given.base_,
                    "version that the change builds on, as plan and show "
                    "print it, or 'current'")
        ->check(CLI::Number | CLI::IsMember({"current"}));
    command.add_option("--change-id", given.change_.change_id_,
                       "a change with the same id is never applied twice");
    command.add_option("--who", given.change_.who_, "for the audit trail");
    command.add_flag("--allow-breaking", given.change_.allow_breaking_,
                     "send a change that cuts off open flows");
    command.add_flag("--wait", given.change_.wait_,
                     "until in force on every --process");
    command.add_option("--wait-timeout", given.wait_seconds_, "seconds");
}

constexpr std::array<command_entry, 8> commands{{
    {"check", "find every fault in templates, without the store",
     [](CLI::App& command, options& given)
     { command.add_option("files", given.files_, "templates")->required(); },
     [](command_context const&, options const& given)
     {
         std::vector<template_file> files;
         for (auto const& name : given.files_)
         {
             files.push_back(read_file(name));
         }
         return check_command(files);
     }},
    {"plan", "show what a template would change and do to open flows", add_file,
     [](command_context const& context, options const& given)
     {
         return plan_command(context, read_file(given.files_.at(0)));
     }},
    {"apply", "make a template the one in force",
     [](CLI::App& command, options& given)
     {
         add_file(command, given);
         add_change(command, given);
     },
     [](command_context const& context, options const& given)
     {
         return apply_command(context, read_file(given.files_.at(0)),
                              complete_change_options(given));
     }},
    {"show", "print the template in force", add_organisation,
     [](command_context const& context, options const& given)
     {
         return show_command(context, given.organisation_);
     }},
    {"history", "list changes, newest first",
     [](CLI::App& command, options& given)
     {
         add_organisation(command, given);
         command.add_option("--before", given.change_number_,
                            "the page up to this change");
     },
     [](command_context const& context, options const& given)
     {
         return history_command(context, given.organisation_,
                                given.change_number_);
     }},
    {"rollback", "make an earlier template the next change",
     [](CLI::App& command, options& given)
     {
         add_organisation(command, given);
         command
             .add_option("--to", given.change_number_, "number in the history")
             ->required();
         add_change(command, given);
     },
     [](command_context const& context, options const& given)
     {
         return rollback_command(context, given.organisation_,
                                 given.change_number_,
                                 complete_change_options(given));
     }},
    {"status", "show who runs what, who is behind, and what drains",
     [](CLI::App&, options&) {},
     [](command_context const& context, options const&)
     {
         return status_command(context);
     }},
    {"explain", "show which agent a flow goes to, and why",
     [](CLI::App& command, options& given)
     {
         command.add_option("vip", given.vip_, "ADDRESS:PORT")->required();
         command.add_option("caller", given.caller_, "ADDRESS:PORT")
             ->required();
     },
     [](command_context const& context, options const& given)
     {
         return explain_command(context, parse_endpoint(given.vip_),
                                parse_endpoint(given.caller_));
     }},
}};

void add_common(CLI::App& app, options& given)
{
    app.add_option("--store", given.stores_,
                   "configuration store, ADDRESS:PORT; may be repeated")
        ->envname("DAISYTRAIL_STORE")
        ->delimiter(',');
    app.add_option("--process", given.processes_,
                   "HTTP page of a balancer or agent, ADDRESS:PORT; may be "
                   "repeated")
        ->envname("DAISYTRAIL_PROCESSES")
        ->delimiter(',');
    app.add_option("--timeout", given.timeout_seconds_,
                   "seconds for the store's answers");
    app.add_flag("--json", given.json_, "one JSON object instead of text");
}

// Returns the program's name with its --store options.
std::string program_with(std::vector<std::string> const& stores)
{
    std::string text = "daisytrail";
    for (auto const& store : stores)
    {
        text.append(" --store ").append(store);
    }
    return text;
}

command_result run(command_entry const& command, options const& given)
{
    boost::asio::io_context io;
    auto stores = parse_endpoints(given.stores_);
    if (stores.empty())
    {
        stores.push_back(parse_endpoint("127.0.0.1:2379"));
    }
    etcd_store store(io, std::move(stores));
    blocking_store calls(store, make_environment(io));
    auto const timeout = to_milliseconds(given.timeout_seconds_);
    constexpr std::chrono::milliseconds page_timeout{2'000};
    command_context const context{calls,
                                  make_fleet_client(io, page_timeout),
                                  parse_endpoints(given.processes_),
                                  timeout,
                                  [](std::string const& line)
                                  { std::cerr << line << std::endl; },
                                  program_with(given.stores_)};
    return command.run_(context, given);
}

int print(command_result const& result, bool as_json)
{
    if (as_json)
    {
        auto object = result.json_;
        object["exit_status"] = result.exit_code_;
        std::cout << boost::json::serialize(object) << "\n";
    }
    else
    {
        std::cout << result.text_;
    }
    std::cout.flush();
    return result.exit_code_;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app("daisytrail: templates of organisations");
    app.set_version_flag("--version", DAISYTRAIL_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    add_common(app, given);
    command_entry const* chosen = nullptr;
    for (auto const& entry : commands)
    {
        auto* command = app.add_subcommand(entry.name_, entry.help_);
        entry.add_options_(*command, given);
        command->callback([&chosen, &entry] { chosen = &entry; });
    }
    try
    {
        app.parse(argc, argv);
        return print(run(*chosen, given), given.json_);
    }
    catch (CLI::ParseError const& caught_error)
    {
        return app.exit(caught_error) == 0
                   ? 0
                   : response_for(error_kind::invalid_argument).exit_code_;
    }
    catch (error const& caught_error)
    {
        return print(failure(caught_error.kind(), caught_error.what()),
                     given.json_);
    }
    catch (std::exception const& caught_error)
    {
        return print(failure(error_kind::internal, caught_error.what()),
                     given.json_);
    }
}
