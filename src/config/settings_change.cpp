// Finds the members of two JSON documents that differ.
#include "config/settings_change.hpp"

#include "config/json_document.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace daisytrail
{

namespace
{

using detail::json_node;

// Settings that a running process follows.
constexpr std::array<std::string_view, 1> followed_settings{"seeds"};

bool is_same(json_node const& left, json_node const& right)
{
    return left.type_ == right.type_ && left.key_ == right.key_ &&
           left.boolean_ == right.boolean_ && left.integer_ == right.integer_ &&
           left.real_ == right.real_ && left.text_ == right.text_ &&
           std::ranges::equal(left.children_, right.children_, is_same);
}

json_node const* find_member(json_node const& object, std::string const& name)
{
    auto const found =
        std::ranges::find(object.children_, name, &json_node::key_);
    return found == object.children_.end() ? nullptr : &*found;
}

} // namespace

std::vector<std::string> changed_fixed_settings(std::string_view before,
                                                std::string_view after)
{
    auto const former = detail::read_json(before);
    auto const current = detail::read_json(after);
    std::set<std::string> names;
    for (auto const* const document : {&former, &current})
    {
        for (auto const& member : document->root_.children_)
        {
            names.insert(member.key_);
        }
    }
    std::vector<std::string> result;
    for (auto const& name : names)
    {
        auto const* const old_value = find_member(former.root_, name);
        auto const* const new_value = find_member(current.root_, name);
        bool const is_followed = std::ranges::find(followed_settings, name) !=
                                 followed_settings.end();
        bool const is_equal = old_value != nullptr && new_value != nullptr &&
                              is_same(*old_value, *new_value);
        if (!is_followed && !is_equal)
        {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace daisytrail
