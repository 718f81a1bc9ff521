// Queries the HTTP pages of processes and parses the answers.
#include "cli/fleet_client.hpp"

#include "net/http_call.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_ok = 200;

void fill_answer(page_answer& answer, http_outcome outcome)
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

std::string string_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

json::array array_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->get_array()
                                                 : json::array();
}

void read_versions(json::object const& adopted, process_status& status)
{
    for (auto const& entry : array_member(adopted, "in_force"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        auto const& organisation = entry.get_object();
        auto const* version_value = organisation.if_contains("version");
        if (version_value != nullptr && version_value->is_int64())
        {
            status.versions_[string_member(organisation, "organisation")] =
                static_cast<template_version>(version_value->get_int64());
        }
    }
}

void read_refusals(json::object const& adopted, process_status& status)
{
    for (auto const& entry : array_member(adopted, "refused"))
    {
        auto const* version = entry.is_object()
                                  ? entry.get_object().if_contains("version")
                                  : nullptr;
        if (version != nullptr)
        {
            status.refusals_.push_back(
                string_member(entry.get_object(), "organisation") + "@" +
                json::serialize(*version) + ": " +
                string_member(entry.get_object(), "reason"));
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
    for (auto const& service : array_member(view, "services"))
    {
        if (!service.is_object())
        {
            continue;
        }
        for (auto const& target : array_member(service.get_object(), "targets"))
        {
            if (target.is_object())
            {
                status.targets_.push_back(
                    {string_member(service.get_object(), "name"),
                     string_member(target.get_object(), "name"),
                     string_member(target.get_object(), "state")});
            }
        }
    }
}

} // namespace

process_query make_fleet_client(boost::asio::io_context& io,
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
                    fill_answer(answer, std::move(outcome));
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
    auto const adopted_json = parse_object(adopted.body_);
    if (!adopted_json)
    {
        status.detail_ = "an answer that is not a JSON object";
        return status;
    }
    status.name_ = string_member(*adopted_json, "process");
    read_versions(*adopted_json, status);
    read_refusals(*adopted_json, status);
    if (auto const view_json = parse_object(view.body_);
        view_json && !view.error_)
    {
        status.is_balancer_ = true;
        status.failure_domain_ = string_member(*view_json, "failure_domain");
        read_targets(*view_json, status);
    }
    return status;
}

} // namespace daisytrail
