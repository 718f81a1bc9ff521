// Parses the daemons' settings by tables of their fields.
#include "config/field_reader.hpp"

#include <daisytrail/settings.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace daisytrail
{

namespace
{

using detail::field;
using detail::presence;
using detail::value_reader;

constexpr std::size_t key_hex_digits = 64; // 32 bytes
constexpr std::size_t max_keys = 2;
constexpr std::size_t max_endpoints = 256;
constexpr std::uint32_t min_control_bytes_per_second = 1'000;
constexpr std::uint32_t max_control_bytes_per_second = 10'000'000;
constexpr std::uint32_t max_port = 65'535;
constexpr std::uint32_t max_store_watchers = 1'000;
constexpr std::uint32_t min_store_value_bytes = 1'000;
constexpr double max_cross_domain_ms_per_kilobyte = 10'000;
constexpr double min_flow_lifetime_s = 1;
constexpr double max_flow_lifetime_s = 86'400;
constexpr double min_apply_within_ms = 500;
constexpr double max_apply_within_ms = 600'000;

bool is_hex(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f') ||
           (byte >= 'A' && byte <= 'F');
}

bool is_hex_key(detail::json_node const& node)
{
    return node.type_ == detail::json_type::string &&
           node.text_.size() == key_hex_digits &&
           std::all_of(node.text_.begin(), node.text_.end(), is_hex);
}

// The error doesn't quote an invalid key, since errors are written to logs.
void read_keys(value_reader const& in, common_settings& out)
{
    if (!in.require_array(1, max_keys))
    {
        return;
    }
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        auto const& node = in.node().children_[i];
        if (!is_hex_key(node))
        {
            in.element(i).add_error("something else", "64 hexadecimal digits");
            continue;
        }
        if (std::find(out.keys_.begin(), out.keys_.end(), node.text_) !=
            out.keys_.end())
        {
            in.element(i).add_error("the same key", "each key only once");
        }
        out.keys_.push_back(node.text_);
    }
}

void read_apply_within(value_reader const& in, balancer_settings& out)
{
    auto ms = static_cast<double>(out.apply_within_.count());
    in.real(ms, min_apply_within_ms, max_apply_within_ms);
    out.apply_within_ =
        std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

constexpr std::array<field<common_settings>, 8> common_fields{{
    {"name", presence::required,
     [](value_reader const& in, common_settings& out)
     {
         in.name(out.name_);
     }},
    {"failure_domain", presence::required,
     [](value_reader const& in, common_settings& out)
     {
         in.name(out.failure_domain_);
     }},
    {"control", presence::required,
     [](value_reader const& in, common_settings& out)
     {
         in.address(out.control_);
     }},
    {"http", presence::required,
     [](value_reader const& in, common_settings& out)
     {
         in.address(out.http_);
     }},
    {"seeds", presence::optional,
     [](value_reader const& in, common_settings& out)
     {
         out.has_seeds_field_ = true;
         in.addresses(out.seeds_, 0, max_endpoints);
     }},
    {"seed_port", presence::optional,
     [](value_reader const& in, common_settings& out)
     {
         in.number(out.seed_port_, 1, max_port);
     }},
    {"keys", presence::required, read_keys},
    {"control_bytes_per_second", presence::optional,
     [](value_reader const& in, common_settings& out)
     {
         in.number(out.control_bytes_per_second_, min_control_bytes_per_second,
                   max_control_bytes_per_second);
     }},
}};

constexpr std::array<field<balancer_settings>, 4> balancer_fields{{
    {"apply_within_ms", presence::optional, read_apply_within},
    {"data", presence::required,
     [](value_reader const& in, balancer_settings& out)
     {
         in.address(out.data_);
     }},
    {"stores", presence::optional,
     [](value_reader const& in, balancer_settings& out)
     {
         in.addresses(out.stores_, 0, max_endpoints);
     }},
    {"store_watchers", presence::optional,
     [](value_reader const& in, balancer_settings& out)
     {
         in.number(out.store_watchers_, 1, max_store_watchers);
     }},
}};

constexpr std::array<field<forward_balancer_settings>, 8>
    forward_balancer_fields{{
        {"apply_within_ms", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             read_apply_within(in, out.balancer_);
         }},
        {"data", presence::required,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.address(out.balancer_.data_);
         }},
        {"stores", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.addresses(out.balancer_.stores_, 0, max_endpoints);
         }},
        {"store_watchers", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.number(out.balancer_.store_watchers_, 1, max_store_watchers);
         }},
        {"store_value_bytes", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.number(out.balancer_.store_value_bytes_, min_store_value_bytes,
                       std::numeric_limits<std::uint32_t>::max());
         }},
        {"relay", presence::required,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.address(out.relay_);
         }},
        {"caller_port", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.number(out.caller_port_, 1, max_port);
         }},
        {"cross_domain_ms_per_kilobyte", presence::optional,
         [](value_reader const& in, forward_balancer_settings& out)
         {
             in.real(out.cross_domain_ms_per_kilobyte_, 0,
                     max_cross_domain_ms_per_kilobyte);
         }},
    }};

constexpr std::array<field<forward_agent_settings>, 7> forward_agent_fields{{
    {"organisation", presence::required,
     [](value_reader const& in, forward_agent_settings& out)
     {
         in.name(out.agent_.organisation_);
     }},
    {"service", presence::required,
     [](value_reader const& in, forward_agent_settings& out)
     {
         // The platform names the services.
         in.text(out.agent_.service_);
     }},
    {"tunnel", presence::required,
     [](value_reader const& in, forward_agent_settings& out)
     {
         in.address(out.agent_.tunnel_);
     }},
    {"backend", presence::required,
     [](value_reader const& in, forward_agent_settings& out)
     {
         in.address(out.backend_);
     }},
    {"outbound", presence::required,
     [](value_reader const& in, forward_agent_settings& out)
     {
         in.address(out.outbound_);
     }},
    {"caller_port", presence::optional,
     [](value_reader const& in, forward_agent_settings& out)
     {
         in.number(out.caller_port_, 1, max_port);
     }},
    {"flow_lifetime_s", presence::optional,
     [](value_reader const& in, forward_agent_settings& out)
     {
         auto seconds =
             std::chrono::duration<double>(out.flow_lifetime_).count();
         in.real(seconds, min_flow_lifetime_s, max_flow_lifetime_s);
         out.flow_lifetime_ =
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::duration<double>(seconds));
     }},
}};

constexpr std::array<field<agent_settings>, 5> agent_fields{{
    {"organisation", presence::required,
     [](value_reader const& in, agent_settings& out)
     {
         in.name(out.organisation_);
     }},
    {"service", presence::required,
     [](value_reader const& in, agent_settings& out)
     {
         in.name(out.service_);
     }},
    {"tunnel", presence::required,
     [](value_reader const& in, agent_settings& out)
     {
         in.address(out.tunnel_);
     }},
    {"rpc", presence::required,
     [](value_reader const& in, agent_settings& out)
     {
         in.address(out.rpc_);
     }},
    {"fabric", presence::required,
     [](value_reader const& in, agent_settings& out)
     {
         in.addresses(out.fabric_, 1, max_endpoints);
     }},
}};

common_settings& common_of(balancer_settings& settings)
{
    return settings.common_;
}

common_settings& common_of(agent_settings& settings)
{
    return settings.common_;
}

common_settings& common_of(forward_balancer_settings& settings)
{
    return settings.balancer_.common_;
}

common_settings& common_of(forward_agent_settings& settings)
{
    return settings.agent_.common_;
}

// Returns the fields of a daemon's settings: the common fields, then the fields
// in `own`.
template <typename Settings, std::size_t Own>
auto join_fields(std::array<field<Settings>, Own> const& own)
{
    std::vector<field<Settings>> all;
    [&]<std::size_t... Index>(std::index_sequence<Index...>)
    {
        (all.push_back({common_fields[Index].name_,
                        common_fields[Index].presence_,
                        [](value_reader const& in, Settings& out)
                        {
                            common_fields[Index].read_(in, common_of(out));
                        }}),
         ...);
    }
    (std::make_index_sequence<common_fields.size()>{});
    all.insert(all.end(), own.begin(), own.end());
    return all;
}

void set_seed_ports(common_settings& common)
{
    if (common.seed_port_ == 0)
    {
        return;
    }
    for (auto& seed : common.seeds_)
    {
        seed.port_ = common.seed_port_;
    }
}

template <typename Settings, std::size_t Own>
parsed_settings<Settings>
parse_settings(std::string_view text,
               std::array<field<Settings>, Own> const& own)
{
    parsed_settings<Settings> result;
    auto document = detail::read_json(text);
    result.errors_ = std::move(document.errors_);
    if (!result.errors_.empty())
    {
        return result;
    }
    value_reader const root(document.root_, result.errors_);
    detail::read_object(root, join_fields(own), result.value_);
    detail::sort_errors(result.errors_);
    set_seed_ports(common_of(result.value_));
    return result;
}

template_error missing_source_error()
{
    return {"", 1, 1, "neither 'stores' nor 'seeds'",
            "at least one of them, from which the balancer gets templates"};
}

template_error missing_seed_error()
{
    return {"", 1, 1, "no 'seeds'",
            "the control addresses of balancers, or an empty list until one "
            "runs"};
}

} // namespace

parsed_settings<balancer_settings>
parse_balancer_settings(std::string_view text)
{
    auto result = parse_settings<balancer_settings>(text, balancer_fields);
    auto const& value = result.value_;
    if (result.errors_.empty() && value.stores_.empty() &&
        !value.common_.has_seeds_field_)
    {
        result.errors_.push_back(missing_source_error());
    }
    return result;
}

parsed_settings<agent_settings> parse_agent_settings(std::string_view text)
{
    auto result = parse_settings<agent_settings>(text, agent_fields);
    if (result.errors_.empty() && !result.value_.common_.has_seeds_field_)
    {
        result.errors_.push_back(missing_seed_error());
    }
    return result;
}

parsed_settings<forward_balancer_settings>
parse_forward_balancer_settings(std::string_view text)
{
    auto result = parse_settings<forward_balancer_settings>(
        text, forward_balancer_fields);
    auto const& value = result.value_.balancer_;
    if (result.errors_.empty() && value.stores_.empty() &&
        !value.common_.has_seeds_field_)
    {
        result.errors_.push_back(missing_source_error());
    }
    if (result.value_.caller_port_ == 0)
    {
        result.value_.caller_port_ = value.data_.port_;
    }
    return result;
}

parsed_settings<forward_agent_settings>
parse_forward_agent_settings(std::string_view text)
{
    auto result =
        parse_settings<forward_agent_settings>(text, forward_agent_fields);
    if (result.errors_.empty() &&
        !result.value_.agent_.common_.has_seeds_field_)
    {
        result.errors_.push_back(missing_seed_error());
    }
    if (result.value_.caller_port_ == 0)
    {
        result.value_.caller_port_ = result.value_.agent_.tunnel_.port_;
    }
    return result;
}

} // namespace daisytrail
