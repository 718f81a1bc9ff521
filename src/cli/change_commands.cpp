// Commands that change a template: apply and rollback.
#include "cli/change.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "cli/status.hpp"

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// The command that the operator runs to find the outcome of a change whose
// outcome is unknown.
struct retry_command
{
    std::string command_; // without the options that text() adds
    change_options const& options_;
    template_version base_;

    std::string text() const
    {
        return command_ + " --change-id " + options_.change_id_ +
               (base_ == 0 ? "" : " --base " + std::to_string(base_)) +
               (options_.allow_breaking_ ? " --allow-breaking" : "");
    }
};

std::string describe(change_outcome const& outcome, retry_command const& retry)
{
    switch (outcome.result_)
    {
    case change_result::accepted:
        return std::string(outcome.unchanged_  ? "no difference: nothing sent"
                           : outcome.repeated_ ? "accepted before"
                                               : "accepted") +
               ": change " + std::to_string(outcome.number_) +
               " with version " + std::to_string(outcome.version_) +
               "\nnext change: --base " + std::to_string(outcome.version_) +
               "\n";
    case change_result::refused:
        return "refused (" + std::string(response_for(outcome.kind_).name_) +
               "): " + outcome.detail_ + "\n" + to_string(outcome.differences_);
    default:
        return "unknown: " + outcome.detail_ +
               "\nto settle it, run: " + retry.text() + "\n";
    }
}

command_result to_result(change_outcome const& outcome,
                         retry_command const& retry)
{
    command_result result;
    result.text_ = describe(outcome, retry);
    result.json_ = {
        {"outcome",
         change_result_names[static_cast<std::size_t>(outcome.result_)]},
        {"change_id", retry.options_.change_id_},
        {"revision", outcome.revision_},
        {"version", outcome.version_}};
    if (outcome.result_ == change_result::accepted)
    {
        result.json_["number"] = outcome.number_;
        result.json_["repeated"] = outcome.repeated_;
        result.json_["unchanged"] = outcome.unchanged_;
        return result;
    }
    auto const& answer = response_for(outcome.kind_);
    result.exit_code_ =
        outcome.result_ == change_result::unknown
            ? response_for(error_kind::outcome_unknown).exit_code_
            : answer.exit_code_;
    result.json_["error"] = answer.name_;
    result.json_["detail"] = outcome.detail_;
    result.json_["differences"] = differences_to_json(outcome.differences_);
    if (outcome.result_ == change_result::unknown)
    {
        result.json_["command"] = retry.text();
    }
    return result;
}

void wait_and_report(command_context const& context,
                     std::string const& organisation,
                     change_outcome const& outcome,
                     std::chrono::milliseconds timeout, command_result& result)
{
    auto const lagging =
        wait_until_in_force(context, organisation, outcome.version_, timeout);
    json::array list;
    for (auto const& line : lagging)
    {
        list.emplace_back(line);
        result.text_ += "accepted, but not yet in force on " + line + "\n";
    }
    result.json_["in_force_everywhere"] = lagging.empty();
    result.json_["behind"] = std::move(list);
    if (lagging.empty())
    {
        result.text_ += "in force on all " +
                        std::to_string(context.processes_.size()) +
                        " processes\n";
        return;
    }
    result.exit_code_ = response_for(error_kind::deadline_exceeded).exit_code_;
}

command_result run_change(command_context const& context,
                          change_request request, change_options const& options,
                          std::string const& command)
{
    request.change_id_ = options.change_id_;
    request.who_ = options.who_;
    request.when_ = options.when_;
    request.unix_ms_ = options.unix_ms_;
    request.allow_breaking_ = options.allow_breaking_;
    request.deadline_ = context.store_.environment().now_() + context.timeout_;
    retry_command const retry{command, options, request.base_};
    // Reported before the first attempt, so that the operator can find the
    // outcome if this command is killed.
    context.progress_("sending; if this is cut short, run: " + retry.text());
    auto const outcome = apply_change(context.store_, request);
    auto result = to_result(outcome, retry);
    if (options.wait_ && outcome.result_ == change_result::accepted)
    {
        wait_and_report(context, request.value_.name_, outcome,
                        options.wait_timeout_, result);
    }
    return result;
}

// Returns the version that the change builds on.
template_version choose_base(command_context const& context,
                             std::string const& organisation,
                             change_options const& options)
{
    if (options.base_)
    {
        return *options.base_;
    }
    return options.current_base_ ? read_current(context, organisation).version_
                                 : 0;
}

} // namespace

command_result apply_command(command_context const& context,
                             template_file const& file,
                             change_options const& options)
{
    auto checked = check_command({file});
    if (checked.exit_code_ != 0)
    {
        return checked;
    }
    if (options.wait_ && context.processes_.empty())
    {
        return failure(error_kind::invalid_argument,
                       "--wait needs --process ADDRESS:PORT");
    }
    change_request request;
    request.text_ = file.text_;
    request.value_ = parse_organisation(file.text_).value_;
    request.base_ = choose_base(context, request.value_.name_, options);
    return run_change(context, std::move(request), options,
                      context.program_ + " apply " + file.name_);
}

command_result rollback_command(command_context const& context,
                                std::string const& organisation,
                                std::uint64_t number,
                                change_options const& options)
{
    auto const answer = context.store_.get_until(
        audit_key(organisation, number),
        context.store_.environment().now_() + context.timeout_);
    if (answer.error_)
    {
        return failure(*answer.error_, answer.detail_);
    }
    if (answer.entries_.empty())
    {
        return failure(error_kind::not_found,
                       "no change " + std::to_string(number) + " of '" +
                           organisation + "' in the audit trail");
    }
    change_request request;
    request.text_ = parse_audit_entry(answer.entries_.front()).after_;
    auto parsed = parse_organisation(request.text_);
    if (!parsed.errors_.empty())
    {
        return failure(error_kind::invalid_argument,
                       "the old template is no longer valid: " +
                           to_string(parsed.errors_.front()));
    }
    request.value_ = std::move(parsed.value_);
    request.base_ = options.base_
                        ? *options.base_
                        : read_current(context, organisation).version_;
    return run_change(context, std::move(request), options,
                      context.program_ + " rollback " + organisation +
                          " --to " + std::to_string(number));
}

} // namespace daisytrail
