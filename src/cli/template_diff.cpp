// Flattens two templates to maps of paths to values and compares the maps.
#include "cli/template_diff.hpp"

#include "config/field_reader.hpp"

#include <algorithm>
#include <map>

namespace daisytrail
{

namespace
{

using flat_template = std::map<std::string, std::string>;

std::string bool_to_string(bool value)
{
    return value ? "true" : "false";
}

std::string to_text(std::chrono::milliseconds value)
{
    return detail::duration_to_string(value);
}

std::string join(std::vector<std::string> const& values)
{
    std::string text;
    for (auto const& value : values)
    {
        text += (text.empty() ? "" : ", ") + value;
    }
    return "[" + text + "]";
}

// A request belongs to the first class that matches, so that the position of a
// class is a value of its own.
void flatten(request_class const& value, std::size_t position,
             std::string const& path, flat_template& out)
{
    auto const base = path + ".classes[" + value.name_ + "]";
    out[base + ".position"] = std::to_string(position);
    out[base + ".methods"] = join(value.methods_);
    out[base + ".path_prefix"] = value.path_prefix_;
    out[base + ".repeatable"] = bool_to_string(value.repeatable_);
    out[base + ".long_running"] = bool_to_string(value.long_running_);
    out[base + ".standing"] = bool_to_string(value.has_endless_response_);
    out[base + ".priority"] = std::to_string(value.priority_);
    out[base + ".deadline"] = to_text(value.deadline_);
    out[base + ".expected"] = to_text(value.expected_);
}

void flatten(service_limits const& value, std::string const& path,
             flat_template& out)
{
    auto const base = path + ".limits.";
    out[base + "connections"] = std::to_string(value.connections_);
    out[base + "half_open"] = std::to_string(value.half_open_);
    out[base + "queue"] = std::to_string(value.queue_);
    out[base + "body_bytes"] = std::to_string(value.body_bytes_);
    out[base + "header_bytes"] = std::to_string(value.header_bytes_);
    out[base + "header_timeout"] = to_text(value.header_timeout_);
    out[base + "idle_timeout"] = to_text(value.idle_timeout_);
    out[base + "drain_timeout"] = to_text(value.drain_timeout_);
}

void flatten(service_template const& value, flat_template& out)
{
    auto const path = "services[" + value.name_ + "]";
    out[path + ".mode"] =
        service_mode_names[static_cast<std::size_t>(value.mode_)];
    out[path + ".failure_domains"] = join(value.failure_domains_);
    out[path + ".retry_budget"] = std::to_string(value.retry_budget_);
    for (auto const& vip : value.vips_)
    {
        out[path + ".vips[" + to_string(vip) + "]"] = "present";
    }
    for (std::size_t i = 0; i < value.classes_.size(); ++i)
    {
        flatten(value.classes_[i], i, path, out);
    }
    flatten(value.limits_, path, out);
}

std::string service_name(organisation_template const& organisation,
                         service_id id)
{
    auto const found =
        std::ranges::find(organisation.services_, id, &service_template::id_);
    return found == organisation.services_.end() ? std::string("?")
                                                 : found->name_;
}

void flatten(route_template const& value,
             organisation_template const& organisation, flat_template& out)
{
    auto const path = "routes[" + value.name_ + "]";
    out[path + ".vip"] = to_string(value.vip_);
    for (auto const& share : value.shares_)
    {
        auto share_path = path + ".shares[";
        share_path += service_name(organisation, share.service_);
        share_path += ']';
        out[share_path] = std::to_string(share.weight_);
    }
}

flat_template flatten(organisation_template const& value)
{
    flat_template out;
    for (auto const& service : value.services_)
    {
        flatten(service, out);
    }
    for (auto const& route : value.routes_)
    {
        flatten(route, value, out);
    }
    return out;
}

enum class edit_kind : std::uint8_t
{
    added,
    removed,
    changed
};

struct effect_rule
{
    std::string_view path_part_; // substring of the path
    edit_kind edit_;
    flow_effect effect_;
    std::string_view consequence_;
};

// A difference has the effect of the first rule with its kind of edit whose
// path_part_ occurs in its path.
constexpr std::array<effect_rule, 16> effect_rules{{
    {".shares[", edit_kind::changed, flow_effect::none,
     "new flows follow the weights; open ones stay where they are"},
    {".shares[", edit_kind::removed, flow_effect::none,
     "new flows go to the other services; open ones stay where they are"},
    {"routes[", edit_kind::changed, flow_effect::broken,
     "packets to the old VIP are refused from now on: open flows to it break"},
    {"routes[", edit_kind::removed, flow_effect::broken,
     "the route ends: its open flows break"},
    {"routes[", edit_kind::added, flow_effect::none,
     "new flows to this VIP are accepted"},
    {".failure_domains", edit_kind::changed, flow_effect::drained,
     "targets outside them drain: they take no new flows and keep open ones"},
    {".failure_domains", edit_kind::added, flow_effect::none,
     "targets of other failure domains take no flows"},
    {".vips[", edit_kind::removed, flow_effect::broken,
     "packets to this VIP are dropped from now on: open flows to it break"},
    {".mode", edit_kind::changed, flow_effect::drained,
     "agents keep the old mode until they are drained and started again"},
    {".mode", edit_kind::removed, flow_effect::broken,
     "the service ends: its open flows break"},
    {".vips[", edit_kind::added, flow_effect::none,
     "new flows to this VIP are accepted"},
    {".limits.connections", edit_kind::changed, flow_effect::none,
     "open flows stay; the limit holds for new ones"},
    {".limits.drain_timeout", edit_kind::changed, flow_effect::drained,
     "targets that drain end their flows by the new limit"},
    {".limits.idle_timeout", edit_kind::changed, flow_effect::drained,
     "open flows that are idle for longer end gracefully"},
    {".classes[", edit_kind::changed, flow_effect::none,
     "running requests keep their class; new ones get the new"},
    {".limits.", edit_kind::changed, flow_effect::none,
     "holds for new requests and flows"},
}};

edit_kind edit_kind_of(difference const& value)
{
    if (value.before_.empty())
    {
        return edit_kind::added;
    }
    return value.after_.empty() ? edit_kind::removed : edit_kind::changed;
}

difference make_difference(std::string path, std::string before,
                           std::string after)
{
    difference result{std::move(path), std::move(before), std::move(after),
                      flow_effect::none, "open flows are untouched"};
    auto const rule = std::find_if(
        effect_rules.begin(), effect_rules.end(),
        [&](effect_rule const& candidate)
        {
            return candidate.edit_ == edit_kind_of(result) &&
                   result.path_.find(candidate.path_part_) != std::string::npos;
        });
    if (rule != effect_rules.end())
    {
        result.effect_ = rule->effect_;
        result.consequence_ = rule->consequence_;
    }
    return result;
}

std::string value_at(flat_template const& values, std::string const& path)
{
    auto const found = values.find(path);
    return found == values.end() ? std::string() : found->second;
}

char sign_of(edit_kind value)
{
    constexpr std::array<char, 3> signs{'+', '-', '~'};
    return signs[static_cast<std::size_t>(value)];
}

} // namespace

std::vector<difference> diff_templates(organisation_template const& before,
                                       organisation_template const& after)
{
    auto const old_values = flatten(before);
    auto const new_values = flatten(after);
    auto paths = old_values;
    paths.insert(new_values.begin(), new_values.end());
    std::vector<difference> result;
    for (auto const& entry : paths)
    {
        auto const& path = entry.first;
        auto from = value_at(old_values, path);
        auto to = value_at(new_values, path);
        if (from != to)
        {
            result.push_back(
                make_difference(path, std::move(from), std::move(to)));
        }
    }
    return result;
}

bool breaks_flows(std::vector<difference> const& differences)
{
    return std::any_of(differences.begin(), differences.end(),
                       [](difference const& value)
                       { return value.effect_ == flow_effect::broken; });
}

std::string to_string(std::vector<difference> const& differences)
{
    std::string text;
    for (auto const& value : differences)
    {
        auto const kind = edit_kind_of(value);
        text += sign_of(kind);
        text += " " + value.path_ + ": ";
        text += kind == edit_kind::changed
                    ? value.before_ + " -> " + value.after_
                    : value.before_ + value.after_;
        text += "\n    ";
        text += flow_effect_names[static_cast<std::size_t>(value.effect_)];
        text += ": " + value.consequence_ + "\n";
    }
    return text;
}

} // namespace daisytrail
