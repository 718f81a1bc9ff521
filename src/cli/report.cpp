// Functions that commands share.
#include "cli/report.hpp"

#include "net/adopted_template.hpp"

#include <boost/json/parse.hpp>

namespace daisytrail
{

namespace json = boost::json;

organisation_template current_template::organisation() const
{
    return revision_ == 0 ? organisation_template{}
                          : parse_stored_organisation(stored_.template_).value_;
}

current_template read_current(command_context const& context,
                              std::string const& organisation)
{
    auto const deadline =
        context.store_.environment().now_() + context.timeout_;
    auto const answer =
        context.store_.get_until(template_key(organisation), deadline);
    if (answer.error_)
    {
        throw error(*answer.error_,
                    "the store can't be read: " + answer.detail_);
    }
    if (answer.entries_.empty())
    {
        return {};
    }
    auto const& entry = answer.entries_.front();
    return {entry.modified_revision_, version_of(entry),
            parse_stored_template(entry.value_)};
}

std::string base_option(template_version base)
{
    return base == 0 ? "" : " --base " + std::to_string(base);
}

json::array differences_to_json(std::vector<difference> const& differences)
{
    json::array result;
    for (auto const& value : differences)
    {
        result.emplace_back(json::object{
            {"path", value.path_},
            {"before", value.before_},
            {"after", value.after_},
            {"effect",
             flow_effect_names[static_cast<std::size_t>(value.effect_)]},
            {"consequence", value.consequence_}});
    }
    return result;
}

std::string string_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

json::object parse_json_object(std::string const& text)
{
    json::error_code code;
    auto const value = json::parse(text, code);
    if (code || !value.is_object())
    {
        throw error(error_kind::unavailable,
                    "a process answered with something else than JSON");
    }
    return value.get_object();
}

command_result failure(error_kind kind, std::string const& detail)
{
    auto const& answer = response_for(kind);
    command_result result;
    result.exit_code_ = answer.exit_code_;
    result.text_ = std::string(answer.name_) + ": " + detail + "\n";
    result.json_ = {{"error", answer.name_}, {"detail", detail}};
    return result;
}

} // namespace daisytrail
