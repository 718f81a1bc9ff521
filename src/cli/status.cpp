// Reports the template versions that processes run and the targets that aren't
// ready.
#include "cli/status.hpp"

#include "cli/report.hpp"
#include "net/adopted_template.hpp"

#include <daisytrail/record.hpp>

#include <algorithm>
#include <set>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds poll_interval{250};

std::vector<process_status> query_all_processes(command_context const& context)
{
    auto const adopted =
        context.query_processes_(context.processes_, "/adopted");
    auto const views = context.query_processes_(context.processes_, "/view");
    std::vector<process_status> result;
    result.reserve(adopted.size());
    for (std::size_t i = 0; i < adopted.size(); ++i)
    {
        result.push_back(read_status(adopted[i], views[i]));
    }
    return result;
}

std::string label(process_status const& process)
{
    auto const address = to_string(process.process_);
    return process.name_.empty() ? address : process.name_ + " " + address;
}

// Returns the stored version of each organisation; empty if the store can't be
// read.
std::map<std::string, template_version>
stored_versions(command_context const& context)
{
    std::map<std::string, template_version> result;
    auto const answer = context.store_.range(std::string(template_prefix), 0);
    for (auto const& entry : answer.entries_)
    {
        result[entry.key_.substr(template_prefix.size())] = version_of(entry);
    }
    return result;
}

// Returns for each organisation the newest version that any process runs.
std::map<std::string, template_version>
newest_versions(std::vector<process_status> const& processes)
{
    std::map<std::string, template_version> result;
    for (auto const& process : processes)
    {
        for (auto const& [organisation, version] : process.versions_)
        {
            result[organisation] = std::max(result[organisation], version);
        }
    }
    return result;
}

// Returns "service/target state" for each target that isn't ready.
std::set<std::string>
unready_targets(std::vector<process_status> const& processes)
{
    std::set<std::string> result;
    for (auto const& process : processes)
    {
        for (auto const& target : process.targets_)
        {
            if (target.state_ != to_string(member_state::ready))
            {
                result.insert(target.service_ + "/" + target.name_ + " " +
                              target.state_);
            }
        }
    }
    return result;
}

// Returns "process organisation@version: reason" for each version that a
// process refused and that is newer than the one it runs.
std::vector<std::string> refusals(std::vector<process_status> const& processes)
{
    std::vector<std::string> result;
    for (auto const& process : processes)
    {
        for (auto const& refusal : process.refusals_)
        {
            result.push_back(label(process) + " " + refusal);
        }
    }
    return result;
}

json::object to_json(process_status const& process)
{
    json::object versions;
    for (auto const& [organisation, version] : process.versions_)
    {
        versions[organisation] = version;
    }
    return {{"process", to_string(process.process_)},
            {"name", process.name_},
            {"failure_domain", process.failure_domain_},
            {"detail", process.detail_},
            {"versions", std::move(versions)},
            {"targets", process.targets_.size()}};
}

std::string process_line(process_status const& process)
{
    if (!process.detail_.empty())
    {
        return label(process) + "  " + process.detail_ + "\n";
    }
    std::string text = label(process) + "  " + process.failure_domain_;
    for (auto const& [organisation, version] : process.versions_)
    {
        text += "  " + organisation + "@" + std::to_string(version);
    }
    return text + "  targets " + std::to_string(process.targets_.size()) + "\n";
}

template <typename Lines>
json::array lines_to_json(Lines const& lines)
{
    json::array result;
    for (auto const& line : lines)
    {
        result.emplace_back(line);
    }
    return result;
}

template <typename Lines>
std::string section(std::string const& title, Lines const& lines)
{
    std::string text;
    for (auto const& line : lines)
    {
        text.append(title).append(": ").append(line).append("\n");
    }
    return text;
}

} // namespace

std::vector<std::string>
lagging_processes(std::vector<process_status> const& processes,
                  std::map<std::string, template_version> const& wanted)
{
    std::vector<std::string> result;
    for (auto const& process : processes)
    {
        if (!process.detail_.empty())
        {
            result.push_back(label(process) + " (" + process.detail_ + ")");
            continue;
        }
        for (auto const& [organisation, version] : wanted)
        {
            auto const found = process.versions_.find(organisation);
            bool const must_have_revision =
                process.is_balancer_ || process.versions_.empty();
            if (found == process.versions_.end() && !must_have_revision)
            {
                continue;
            }
            auto const running_revision =
                found == process.versions_.end() ? 0 : found->second;
            if (running_revision < version)
            {
                result.push_back(label(process) + " (" + organisation + "@" +
                                 std::to_string(running_revision) + ", not @" +
                                 std::to_string(version) + ")");
            }
        }
    }
    return result;
}

std::vector<std::string> wait_until_in_force(command_context const& context,
                                             std::string const& organisation,
                                             template_version wanted,
                                             std::chrono::milliseconds timeout)
{
    auto const& environment = context.store_.environment();
    auto const deadline = environment.now_() + timeout;
    std::size_t reported = context.processes_.size() + 1;
    while (true)
    {
        auto lagging = lagging_processes(query_all_processes(context),
                                         {{organisation, wanted}});
        if (lagging.size() != reported)
        {
            reported = lagging.size();
            context.progress_(
                "in force on " +
                std::to_string(context.processes_.size() - reported) + " of " +
                std::to_string(context.processes_.size()));
        }
        if (lagging.empty() || environment.now_() >= deadline)
        {
            return lagging;
        }
        environment.pause_(poll_interval);
    }
}

command_result status_command(command_context const& context)
{
    if (context.processes_.empty())
    {
        return failure(error_kind::invalid_argument,
                       "nobody to ask; pass --process ADDRESS:PORT");
    }
    auto const processes = query_all_processes(context);
    auto wanted = stored_versions(context);
    bool const has_stored_versions = !wanted.empty();
    if (!has_stored_versions)
    {
        wanted = newest_versions(processes);
    }
    auto const lagging = lagging_processes(processes, wanted);
    auto const unready = unready_targets(processes);
    command_result result;
    json::array list;
    for (auto const& process : processes)
    {
        list.emplace_back(to_json(process));
        result.text_ += process_line(process);
    }
    auto const refused = refusals(processes);
    result.text_ += section("behind", lagging) + section("refused", refused) +
                    section("target", unready);
    if (!has_stored_versions)
    {
        result.text_ += "no versions from the store: compared with the "
                        "newest that any process runs\n";
    }
    result.json_ = {{"processes", std::move(list)},
                    {"store_read", has_stored_versions},
                    {"behind", lines_to_json(lagging)},
                    {"refused", lines_to_json(refused)},
                    {"targets_not_ready", lines_to_json(unready)}};
    if (!lagging.empty())
    {
        result.exit_code_ =
            response_for(error_kind::deadline_exceeded).exit_code_;
    }
    return result;
}

} // namespace daisytrail
