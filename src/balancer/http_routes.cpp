// JSON responses for the status and explain commands of the operator.
#include "balancer/http_routes.hpp"

#include <daisytrail/dispatch.hpp>
#include <daisytrail/error.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// Identifiers are written as hexadecimal strings, because many JSON parsers
// can't represent all 64-bit numbers exactly.
std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit)
    {
        *digit = digits[value & 0xFU];
        value >>= 4U;
    }
    return text;
}

json::object to_json(target_entry const& target)
{
    auto const& member = target.member_;
    return {{"name", target.name_},
            {"target", to_hex(target.target())},
            {"incarnation", member.candidate_.incarnation_},
            {"sequence", target.sequence_},
            {"tunnel", to_string(member.candidate_.tunnel_)},
            {"weight", member.weight_},
            {"state", to_string(target.state())}};
}

json::object to_json(service_entry const& service)
{
    json::array vips;
    for (auto const& vip : service.vips_)
    {
        vips.emplace_back(to_string(vip));
    }
    json::array targets;
    for (auto const& target : service.targets_)
    {
        targets.emplace_back(to_json(target));
    }
    return {{"service", to_hex(service.id_)},
            {"name", service.name_},
            {"vips", std::move(vips)},
            {"targets", std::move(targets)}};
}

json::object to_json(candidate const& value, bool takes_new_flow)
{
    return {{"target", to_hex(value.target_)},
            {"incarnation", value.incarnation_},
            {"tunnel", to_string(value.tunnel_)},
            {"state", to_string(value.state_)},
            {"takes_new_flow", takes_new_flow}};
}

// Returns the value of the parameter `name` in a request target such as
// "/explain?vip=1.2.3.4:80".
std::string_view query_value(std::string_view request_target,
                             std::string_view name)
{
    auto const query_start = request_target.find('?');
    auto remaining = query_start == std::string_view::npos
                         ? std::string_view{}
                         : request_target.substr(query_start + 1);
    while (!remaining.empty())
    {
        auto const field = remaining.substr(0, remaining.find('&'));
        if (field.starts_with(name) && field.substr(name.size(), 1) == "=")
        {
            return field.substr(name.size() + 1);
        }
        remaining.remove_prefix(std::min(remaining.size(), field.size() + 1));
    }
    throw error(error_kind::invalid_argument,
                "query string: expected a parameter '" + std::string(name) +
                    "'");
}

http_response health(balancer_http_sources const& sources)
{
    json::object const body{{"name", sources.settings_.common_.name_},
                            {"state", sources.stopping_ ? "draining" : "ready"},
                            {"version", DAISYTRAIL_VERSION}};
    return make_response(sources.stopping_ ? 503 : 200, json::serialize(body));
}

http_response show_view(balancer_http_sources const& sources)
{
    json::object versions;
    for (auto const& [organisation, version_in_force] :
         sources.view_updater_.versions())
    {
        versions[organisation] = version_in_force;
    }
    json::array services;
    sources.view_.for_each_service(
        [&services](service_entry const& service)
        { services.emplace_back(to_json(service)); });
    json::object const body{
        {"name", sources.settings_.common_.name_},
        {"failure_domain", sources.settings_.common_.failure_domain_},
        {"versions", std::move(versions)},
        {"services", std::move(services)}};
    return make_response(200, json::serialize(body));
}

http_response explain(fleet_view const& view, http_request const& request)
{
    std::string_view const request_target(request.target().data(),
                                          request.target().size());
    flow_key const flow{parse_endpoint(query_value(request_target, "caller")),
                        parse_endpoint(query_value(request_target, "vip"))};
    auto const* service = view.find(flow.vip_);
    if (service == nullptr)
    {
        throw error(error_kind::not_found,
                    "no service behind VIP " + to_string(flow.vip_));
    }
    auto const candidates = service->table_.pick(hash_flow(flow));
    auto const first = first_position(candidates, true);
    json::array ranked;
    for (std::uint8_t rank = 0; rank < candidates.size_; ++rank)
    {
        ranked.emplace_back(
            to_json(candidates.candidates_[rank], rank == first));
    }
    json::object const body{{"service", to_hex(service->id_)},
                            {"name", service->name_},
                            {"trail", std::move(ranked)}};
    return make_response(200, json::serialize(body));
}

} // namespace

void add_balancer_http_routes(http_server& server,
                              balancer_http_sources const& sources)
{
    server.route("GET", "/health",
                 [sources](http_request const&) { return health(sources); });
    server.route("GET", "/metrics",
                 [sources](http_request const&)
                 {
                     return make_response(200, sources.metrics_.text(),
                                          "text/plain; version=0.0.4");
                 });
    server.route("GET", "/view",
                 [sources](http_request const&) { return show_view(sources); });
    server.route("GET", "/explain",
                 [sources](http_request const& request)
                 { return explain(sources.view_, request); });
}

} // namespace daisytrail
