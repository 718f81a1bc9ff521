// Parses and validates an organisation's template by tables of its fields.
#include "config/field_reader.hpp"
#include "config/routes.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace daisytrail
{

namespace
{

using namespace std::chrono_literals;
using detail::field;
using detail::presence;
using detail::value_reader;

// Bounds of an operator's text. The store limits a value to one megabyte, and
// an audit entry holds the template before and after a change with its quotes
// escaped. A template that a store has acknowledged has no bounds here.
constexpr std::size_t max_template_bytes = 300'000;
constexpr std::size_t max_services = 5'000;
constexpr std::size_t max_vips = 1'000;
constexpr std::size_t max_classes = 64;
constexpr std::size_t max_methods = 16;
constexpr std::size_t max_failure_domains = 256;
constexpr std::uint32_t max_priority = 9;
constexpr std::uint64_t max_body_bytes = 1ULL << 30U;
constexpr std::uint64_t max_header_bytes = 1ULL << 20U;
constexpr auto max_deadline = 24h;
constexpr auto max_drain_timeout = 168h;

bool is_http_method(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte >= 'A' && byte <= 'Z'; });
}

void read_methods(value_reader const& in, request_class& out)
{
    if (!in.require_array(0, max_methods))
    {
        return;
    }
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        auto const element = in.element(i);
        if (element.node().type_ != detail::json_type::string ||
            !is_http_method(element.node().text_))
        {
            element.reject("an HTTP method in capitals, such as \"GET\"");
            continue;
        }
        out.methods_.push_back(element.node().text_);
    }
}

void read_path_prefix(value_reader const& in, request_class& out)
{
    if (in.node().type_ != detail::json_type::string ||
        !in.node().text_.starts_with('/'))
    {
        in.reject("a path that starts with '/'");
        return;
    }
    out.path_prefix_ = in.node().text_;
}

constexpr std::array<field<request_class>, 9> class_fields{{
    {"name", presence::required,
     [](value_reader const& in, request_class& out)
     {
         in.name(out.name_);
     }},
    {"methods", presence::optional, read_methods},
    {"path_prefix", presence::optional, read_path_prefix},
    {"repeatable", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.boolean(out.repeatable_);
     }},
    {"long_running", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.boolean(out.long_running_);
     }},
    {"standing", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.boolean(out.has_endless_response_);
     }},
    {"priority", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.number(out.priority_, 0, max_priority);
     }},
    {"deadline", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.duration(out.deadline_, 1ms, max_deadline);
     }},
    {"expected", presence::optional,
     [](value_reader const& in, request_class& out)
     {
         in.duration(out.expected_, 1ms, max_deadline);
     }},
}};

constexpr std::array<field<service_limits>, 8> limit_fields{{
    {"connections", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.number(out.connections_, 1, 1'000'000);
     }},
    {"half_open", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.number(out.half_open_, 1, 65'536);
     }},
    {"queue", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.number(out.queue_, 0, 65'536);
     }},
    {"body_bytes", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.number(out.body_bytes_, 0, max_body_bytes);
     }},
    {"header_bytes", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.number(out.header_bytes_, 256, max_header_bytes);
     }},
    {"header_timeout", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.duration(out.header_timeout_, 100ms, 1h);
     }},
    {"idle_timeout", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.duration(out.idle_timeout_, min_idle_timeout, max_idle_timeout);
     }},
    {"drain_timeout", presence::optional,
     [](value_reader const& in, service_limits& out)
     {
         in.duration(out.drain_timeout_, 0ms, max_drain_timeout);
     }},
}};

void read_mode(value_reader const& in, service_template& out)
{
    auto const& node = in.node();
    auto const found = std::find(service_mode_names.begin(),
                                 service_mode_names.end(), node.text_);
    if (node.type_ != detail::json_type::string ||
        found == service_mode_names.end())
    {
        in.reject("'stream', 'requests' or 'forward'");
        return;
    }
    out.mode_ = static_cast<service_mode>(found - service_mode_names.begin());
}

// VIPs must be unicast addresses, so that callers can send packets to them.
void read_vips(value_reader const& in, service_template& out)
{
    constexpr ipv4 first_multicast = 0xE0000000;
    in.addresses(out.vips_, 1, max_vips);
    for (std::size_t i = 0; i < out.vips_.size(); ++i)
    {
        auto const& vip = out.vips_[i];
        bool const is_invalid = vip.port_ == 0;
        if (!is_invalid &&
            (vip.address_ == 0 || vip.address_ >= first_multicast))
        {
            in.element(i).reject("a unicast IPv4 address and port");
        }
    }
}

void read_classes(value_reader const& in, service_template& out)
{
    if (!in.require_array(0, max_classes))
    {
        return;
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        request_class value;
        detail::read_object(in.element(i), class_fields, value);
        if (!value.name_.empty() && !names.insert(value.name_).second)
        {
            in.element(i).add_error("class '" + value.name_ + "' again",
                                    "each class name only once in a service");
        }
        out.classes_.push_back(std::move(value));
    }
}

constexpr std::array<field<service_template>, 7> service_fields{{
    {"name", presence::required,
     [](value_reader const& in, service_template& out)
     {
         in.name(out.name_);
     }},
    {"vips", presence::optional, read_vips},
    {"mode", presence::required, read_mode},
    {"failure_domains", presence::optional,
     [](value_reader const& in, service_template& out)
     {
         in.names(out.failure_domains_, max_failure_domains);
     }},
    {"classes", presence::optional, read_classes},
    {"limits", presence::optional,
     [](value_reader const& in, service_template& out)
     {
         detail::read_object(in, limit_fields, out.limits_);
     }},
    {"retry_budget", presence::optional,
     [](value_reader const& in, service_template& out)
     {
         in.real(out.retry_budget_, 0, 1);
     }},
}};

// Checks rules that span several fields or services.
class service_validator
{
public:
    void check(value_reader const& in, service_template const& service)
    {
        check_name(in, service);
        check_vips(in, service);
        if (service.mode_ != service_mode::requests &&
            !service.classes_.empty())
        {
            auto const mode =
                service_mode_names[static_cast<std::size_t>(service.mode_)];
            in.add_error("classes in a service of mode '" + std::string(mode) +
                             "'",
                         "classes only with mode 'requests'");
        }
        if (service.mode_ == service_mode::forward && !service.vips_.empty())
        {
            in.add_error("VIPs in a service of mode 'forward'",
                         "VIPs of such a service only in 'routes'");
        }
        if (service.mode_ != service_mode::forward && service.vips_.empty() &&
            detail::find_member(in, "vips") == nullptr)
        {
            in.add_error("no field 'vips'", "this field is required");
        }
    }

private:
    void check_name(value_reader const& in, service_template const& service)
    {
        if (!service.name_.empty() && !names_.insert(service.name_).second)
        {
            in.add_error("service '" + service.name_ + "' again",
                         "each service name only once");
        }
    }

    void check_vips(value_reader const& in, service_template const& service)
    {
        std::set<endpoint> service_vips;
        for (auto const& vip : service.vips_)
        {
            if (vip.port_ == 0 || !service_vips.insert(vip).second)
            {
                continue;
            }
            auto const [claim, is_new] = vips_.emplace(vip, service.name_);
            if (!is_new)
            {
                in.add_error("VIP " + to_string(vip) +
                                 ", which is also that of service '" +
                                 claim->second + "'",
                             "each VIP in one service only");
            }
        }
    }

    std::set<std::string> names_;
    std::map<endpoint, std::string> vips_; // VIP to first service
};

void read_services(value_reader const& in, organisation_template& out)
{
    if (!in.require_array(0, max_services))
    {
        return;
    }
    service_validator validator;
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        service_template value;
        detail::read_object(in.element(i), service_fields, value);
        validator.check(in.element(i), value);
        out.services_.push_back(std::move(value));
    }
}

constexpr std::array<field<organisation_template>, 3> organisation_fields{{
    {"name", presence::required,
     [](value_reader const& in, organisation_template& out)
     {
         in.name(out.name_);
     }},
    {"services", presence::required, read_services},
    {"routes", presence::optional, detail::read_routes},
}};

void assign_service_ids(organisation_template& organisation)
{
    for (auto& service : organisation.services_)
    {
        service.id_ = hash_name(organisation.name_ + "/" + service.name_);
    }
}

parsed_organisation parse(std::string_view text, detail::text_origin origin)
{
    parsed_organisation result;
    auto document = detail::read_json(text);
    result.errors_ = std::move(document.errors_);
    if (!result.errors_.empty())
    {
        return result;
    }
    value_reader const root(document.root_, result.errors_, origin);
    detail::read_object(root, organisation_fields, result.value_);
    detail::sort_errors(result.errors_);
    assign_service_ids(result.value_);
    return result;
}

} // namespace

parsed_organisation parse_organisation(std::string_view text)
{
    if (text.size() > max_template_bytes)
    {
        parsed_organisation result;
        result.errors_.push_back(
            {"", 0, 0, std::to_string(text.size()) + " bytes",
             "at most " + std::to_string(max_template_bytes) + " bytes"});
        return result;
    }
    return parse(text, detail::text_origin::operator_text);
}

parsed_organisation parse_stored_organisation(std::string_view text)
{
    return parse(text, detail::text_origin::stored_text);
}

std::string to_string(template_error const& fault)
{
    std::string text;
    if (fault.line_ != 0)
    {
        text = std::to_string(fault.line_) + ":" +
               std::to_string(fault.column_) + ": ";
    }
    if (!fault.path_.empty())
    {
        text += fault.path_ + ": ";
    }
    return text + "found " + fault.found_ + ", expected " + fault.expected_;
}

bool runs_in(service_template const& service, std::string_view failure_domain)
{
    auto const& named = service.failure_domains_;
    return named.empty() ||
           std::ranges::find(named, failure_domain) != named.end();
}

} // namespace daisytrail
