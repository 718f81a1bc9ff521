// Read-only commands: check, plan, show, history and explain.
#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "cli/stored_change.hpp"
#include "cli/template_diff.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

json::object to_json(std::string const& file, template_error const& parse_error)
{
    return {{"file", file},
            {"path", parse_error.path_},
            {"line", parse_error.line_},
            {"column", parse_error.column_},
            {"found", parse_error.found_},
            {"expected", parse_error.expected_}};
}

// Adds errors for VIPs that occur in several files.
class vip_overlap_check
{
public:
    void add(template_file const& file, organisation_template const& value,
             std::vector<template_error>& errors)
    {
        for (auto const& service : value.services_)
        {
            for (auto const& vip : service.vips_)
            {
                auto const [claim, is_new] = owners_.emplace(vip, file.name_);
                if (!is_new && claim->second != file.name_)
                {
                    errors.push_back({"services[" + service.name_ + "].vips", 0,
                                      0, "VIP " + to_string(vip),
                                      "no VIP that " + claim->second + " has"});
                }
            }
        }
    }

private:
    std::map<endpoint, std::string> owners_;
};

json::object to_json(audit_entry const& entry)
{
    return {{"number", entry.number_},       {"revision", entry.revision_},
            {"change_id", entry.change_id_}, {"who", entry.who_},
            {"when", entry.when_},           {"before", entry.before_},
            {"after", entry.after_}};
}

std::string describe_change_count(audit_entry const& entry)
{
    auto const before = entry.before_.empty()
                            ? organisation_template{}
                            : parse_stored_organisation(entry.before_).value_;
    auto const after = parse_stored_organisation(entry.after_).value_;
    auto const count = diff_templates(before, after).size();
    return std::to_string(count) + (count == 1 ? " value" : " values");
}

std::string history_line(audit_entry const& entry)
{
    return "#" + std::to_string(entry.number_) + "  revision " +
           std::to_string(entry.revision_) + "  " + entry.when_ + "  " +
           entry.who_ + "  " + entry.change_id_ + "  " +
           describe_change_count(entry) + "\n";
}

std::string explain_text(endpoint const& process, json::object const& body)
{
    std::string text =
        to_string(process) + ": service " + string_member(body, "name") + "\n";
    auto const* ranked = body.if_contains("trail");
    if (ranked == nullptr || !ranked->is_array())
    {
        return text;
    }
    std::size_t rank = 0;
    for (auto const& item : ranked->get_array())
    {
        auto const& candidate = item.as_object();
        auto const* takes_flag = candidate.if_contains("takes_new_flow");
        bool const takes = takes_flag != nullptr && takes_flag->is_bool() &&
                           takes_flag->get_bool();
        text += "  " + std::to_string(++rank) + ". target " +
                string_member(candidate, "target") + " at " +
                string_member(candidate, "tunnel") + ", " +
                string_member(candidate, "state") +
                (takes ? ": takes a new flow, the best-ranked that may" : "") +
                "\n";
    }
    return text;
}

} // namespace

command_result check_command(std::vector<template_file> const& files)
{
    command_result result;
    json::array error_list;
    vip_overlap_check overlaps;
    for (auto const& file : files)
    {
        auto parsed = parse_organisation(file.text_);
        if (parsed.errors_.empty())
        {
            overlaps.add(file, parsed.value_, parsed.errors_);
        }
        for (auto const& parse_error : parsed.errors_)
        {
            error_list.emplace_back(to_json(file.name_, parse_error));
            result.text_ += file.name_ + ":" + to_string(parse_error) + "\n";
        }
        if (parsed.errors_.empty())
        {
            result.text_ += file.name_ + ": good, " +
                            std::to_string(parsed.value_.services_.size()) +
                            " services\n";
        }
    }
    if (!error_list.empty())
    {
        result.exit_code_ =
            response_for(error_kind::invalid_argument).exit_code_;
    }
    result.json_["errors"] = std::move(error_list);
    return result;
}

command_result plan_command(command_context const& context,
                            template_file const& file)
{
    auto checked = check_command({file});
    if (checked.exit_code_ != 0)
    {
        return checked;
    }
    auto const wanted = parse_organisation(file.text_).value_;
    auto const current = read_current(context, wanted.name_);
    auto const changes = diff_templates(current.organisation(), wanted);
    command_result result;
    result.text_ = changes.empty() ? "no difference\n" : to_string(changes);
    std::string const command =
        context.program_ + " apply " + file.name_ +
        base_option(current.version_) +
        (breaks_flows(changes) ? " --allow-breaking" : "");
    if (breaks_flows(changes))
    {
        result.text_ += "WARNING: this change cuts off open flows\n";
    }
    result.text_ += "to apply: " + command + "\n";
    result.json_ = {{"organisation", wanted.name_},
                    {"base", current.version_},
                    {"breaks_flows", breaks_flows(changes)},
                    {"differences", differences_to_json(changes)},
                    {"command", command}};
    return result;
}

command_result show_command(command_context const& context,
                            std::string const& organisation)
{
    auto const current = read_current(context, organisation);
    if (current.revision_ == 0)
    {
        return failure(error_kind::not_found,
                       "no organisation '" + organisation + "'");
    }
    command_result result;
    result.text_ = current.stored_.template_;
    context.progress_("version " + std::to_string(current.version_) +
                      ", change " + current.stored_.change_id_ + " by " +
                      current.stored_.who_ + " at " + current.stored_.when_);
    result.json_ = {{"organisation", organisation},
                    {"revision", current.revision_},
                    {"version", current.version_},
                    {"number", current.stored_.number_},
                    {"change_id", current.stored_.change_id_},
                    {"who", current.stored_.who_},
                    {"when", current.stored_.when_},
                    {"template", current.stored_.template_}};
    return result;
}

command_result history_command(command_context const& context,
                               std::string const& organisation,
                               std::uint64_t before)
{
    auto const current = read_current(context, organisation);
    if (current.revision_ == 0)
    {
        return failure(error_kind::not_found,
                       "no organisation '" + organisation + "'");
    }
    auto const latest = current.stored_.number_;
    auto const from = before == 0 ? latest : std::min(before, latest);
    auto const page = context.store_.range_until(
        audit_page_prefix(organisation, from), audit_page_entries,
        context.store_.environment().now_() + context.timeout_);
    if (page.error_)
    {
        return failure(*page.error_, page.detail_);
    }
    command_result result;
    json::array changes;
    std::uint64_t oldest = from;
    for (auto entry = page.entries_.rbegin(); entry != page.entries_.rend();
         ++entry)
    {
        auto const change = parse_audit_entry(*entry);
        if (change.number_ > from)
        {
            continue;
        }
        oldest = change.number_;
        changes.emplace_back(to_json(change));
        result.text_ += history_line(change);
    }
    result.json_ = {{"organisation", organisation},
                    {"changes", std::move(changes)},
                    {"before", oldest > 1 ? oldest - 1 : 0}};
    if (oldest > 1)
    {
        result.text_ += "older: " + context.program_ + " history " +
                        organisation + " --before " +
                        std::to_string(oldest - 1) + "\n";
    }
    return result;
}

command_result explain_command(command_context const& context,
                               endpoint const& vip, endpoint const& caller)
{
    if (context.processes_.empty())
    {
        return failure(error_kind::invalid_argument,
                       "no balancer to ask; pass --process ADDRESS:PORT");
    }
    auto const target =
        "/explain?vip=" + to_string(vip) + "&caller=" + to_string(caller);
    auto const answers = context.query_processes_(context.processes_, target);
    command_result result;
    json::array views;
    for (auto const& answer : answers)
    {
        if (answer.error_)
        {
            result.exit_code_ = response_for(*answer.error_).exit_code_;
            result.text_ +=
                to_string(answer.process_) + ": " + answer.detail_ + "\n";
            continue;
        }
        auto const body = parse_json_object(answer.body_);
        result.text_ += explain_text(answer.process_, body);
        views.emplace_back(json::object{{"process", to_string(answer.process_)},
                                        {"answer", body}});
    }
    result.json_["answers"] = std::move(views);
    return result;
}

} // namespace daisytrail
