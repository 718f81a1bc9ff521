// Questions to the HTTP pages of balancers.
#include "cli/fleet_client.hpp"

#include "net/http_call.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_ok = 200;

void take_answer(page_answer& answer, http_outcome outcome)
{
    answer.error_ = outcome.error_;
    answer.detail_ = std::move(outcome.detail_);
    if (outcome.error_)
    {
        return;
    }
    answer.body_ = outcome.response_.body();
    if (outcome.response_.result_int() != status_ok)
    {
        answer.error_ =
            outcome.response_.result_int() ==
                    static_cast<unsigned>(
                        response_for(error_kind::not_found).http_status_)
                ? error_kind::not_found
                : error_kind::unavailable;
        answer.detail_ = answer.body_;
    }
}

std::string text_in(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

json::array array_in(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array()
                                                 : json::array();
}

void read_revisions(json::object const& adopted, process_status& status)
{
    for (auto const& entry : array_in(adopted, "in_force"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        auto const& organisation = entry.get_object();
        auto const* at = organisation.if_contains("revision");
        if (at != nullptr && at->is_int64())
        {
            status.revisions_[text_in(organisation, "organisation")] =
                static_cast<revision>(at->get_int64());
        }
    }
}

std::optional<json::object> parse_object(std::string const& text)
{
    json::error_code code;
    auto const value = json::parse(text, code);
    if (code || !value.is_object())
    {
        return std::nullopt;
    }
    return value.get_object();
}

void read_targets(json::object const& view, process_status& status)
{
    for (auto const& service : array_in(view, "services"))
    {
        if (!service.is_object())
        {
            continue;
        }
        for (auto const& target : array_in(service.get_object(), "targets"))
        {
            if (target.is_object())
            {
                status.targets_.push_back(
                    {text_in(service.get_object(), "name"),
                     text_in(target.get_object(), "name"),
                     text_in(target.get_object(), "state")});
            }
        }
    }
}

} // namespace

ask_processes make_fleet_client(boost::asio::io_context& io,
                                std::chrono::milliseconds timeout)
{
    return [&io, timeout](std::vector<endpoint> const& processes,
                          std::string const& target)
    {
        std::vector<page_answer> answers(processes.size());
        std::size_t pending = processes.size();
        for (std::size_t i = 0; i < processes.size(); ++i)
        {
            answers[i].process_ = processes[i];
            http_request request(boost::beast::http::verb::get, target, 11);
            async_http_call(
                io, processes[i], std::move(request), timeout,
                [&answer = answers[i], &pending](http_outcome outcome)
                {
                    take_answer(answer, std::move(outcome));
                    --pending;
                });
        }
        while (pending > 0)
        {
            io.restart();
            io.run_one();
        }
        return answers;
    };
}

process_status read_status(page_answer const& adopted, page_answer const& view)
{
    process_status status;
    status.process_ = adopted.process_;
    if (adopted.error_)
    {
        status.detail_ = "no answer: " + adopted.detail_;
        return status;
    }
    auto const own = parse_object(adopted.body_);
    if (!own)
    {
        status.detail_ = "an answer that is not a JSON object";
        return status;
    }
    status.name_ = text_in(*own, "process");
    read_revisions(*own, status);
    if (auto const seen = parse_object(view.body_); seen && !view.error_)
    {
        status.is_balancer_ = true;
        status.failure_domain_ = text_in(*seen, "failure_domain");
        read_targets(*seen, status);
    }
    return status;
}

} // namespace daisytrail
