// Parses the JSON of a value first, then its services, then its routes.
#include "net/template_parser.hpp"

#include "config/routes.hpp"

#include <daisytrail/error.hpp>

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace daisytrail
{

namespace
{

namespace json = boost::json;

// Sizes of a piece of the work, which takes of the order of 0.1 ms.
constexpr std::size_t bytes_per_piece = 16'384;
constexpr std::size_t routes_per_piece = 64;

// Number of a template's faults that the message of its refusal lists. The
// message is logged and kept, and a long template may have thousands of faults.
constexpr std::size_t max_listed_faults = 8;

error value_error(std::string const& what)
{
    return {error_kind::invalid_argument, "the stored value" + what};
}

std::string list_faults(std::vector<template_error> const& faults)
{
    std::string text;
    auto const listed = std::min(faults.size(), max_listed_faults);
    for (std::size_t i = 0; i < listed; ++i)
    {
        text += (i == 0 ? "" : "; ") + to_string(faults[i]);
    }
    if (listed < faults.size())
    {
        text += "; and " + std::to_string(faults.size() - listed) + " more";
    }
    return text;
}

std::string read_member(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr)
    {
        throw value_error(" has no member '" + std::string(name) + "'");
    }
    return value->is_string() ? std::string(value->get_string())
                              : json::serialize(*value);
}

std::optional<template_version> read_version(json::object const& object)
{
    auto const* value = object.if_contains("version");
    if (value == nullptr)
    {
        return std::nullopt;
    }
    json::error_code code;
    auto const result = value->to_number<template_version>(code);
    if (code)
    {
        throw value_error("'s member 'version' isn't a whole number from 0 on");
    }
    return result;
}

// Moves the array of routes out of the template, so that it can be read in
// pieces. What isn't such an array is left to the other fields' reader.
void take_routes(json::object& value, std::optional<json::array>& out)
{
    auto* const organisation = value.if_contains("template");
    auto* const routes = organisation != nullptr && organisation->is_object()
                             ? organisation->get_object().if_contains("routes")
                             : nullptr;
    if (routes == nullptr || !routes->is_array())
    {
        out.emplace();
        return;
    }
    // The array stays in the document's memory: an assignment would copy it.
    out.emplace(std::move(routes->get_array()));
    organisation->get_object().erase("routes");
}

} // namespace

struct template_parser::state
{
    std::size_t read_bytes_ = 0;
    json::stream_parser json_parser_;
    std::optional<json::value> document_;
    std::optional<json::array> routes_;
    std::size_t next_route_ = 0;
    adopted_template template_;
    std::vector<template_error> errors_;
    std::optional<detail::stored_route_reader> route_reader_;
};

template_parser::template_parser(std::string text)
    : state_(std::make_unique<state>())
{
    result_.text_ = std::move(text);
    // The values of a document are released together, with the document.
    state_->json_parser_.reset(
        json::make_shared_resource<json::monotonic_resource>());
}

template_parser::~template_parser() = default;

bool template_parser::advance()
{
    try
    {
        if (!advance_unless_invalid())
        {
            return false;
        }
    }
    catch (error const& fault)
    {
        result_.fault_ = fault.what();
    }
    state_.reset();
    return true;
}

bool template_parser::advance_unless_invalid()
{
    if (state_->read_bytes_ < result_.text_.size())
    {
        read_text();
        return false;
    }
    if (!state_->route_reader_)
    {
        begin_routes();
        return false;
    }
    return read_routes();
}

void template_parser::read_text()
{
    auto const piece = std::string_view(result_.text_)
                           .substr(state_->read_bytes_, bytes_per_piece);
    json::error_code code;
    state_->json_parser_.write(piece.data(), piece.size(), code);
    if (code)
    {
        throw value_error(" isn't a JSON object");
    }
    state_->read_bytes_ += piece.size();
}

void template_parser::begin_routes()
{
    json::error_code code;
    state_->json_parser_.finish(code);
    if (code)
    {
        throw value_error(" isn't a JSON object");
    }
    state_->document_.emplace(state_->json_parser_.release());
    if (!state_->document_->is_object())
    {
        throw value_error(" isn't a JSON object");
    }
    auto& object = state_->document_->get_object();
    result_.version_ = read_version(object);
    auto& parsed = state_->template_;
    parsed.version_ = result_.version_;
    parsed.change_id_ = read_member(object, "change_id");
    parsed.who_ = read_member(object, "who");
    parsed.when_ = read_member(object, "when");
    take_routes(object, state_->routes_);
    auto organisation =
        parse_stored_organisation(read_member(object, "template"));
    parsed.value_ = std::move(organisation.value_);
    state_->errors_ = std::move(organisation.errors_);
    state_->route_reader_.emplace(parsed.value_, state_->errors_,
                                  state_->routes_->size());
}

bool template_parser::read_routes()
{
    auto const& routes = *state_->routes_;
    auto const end =
        std::min(state_->next_route_ + routes_per_piece, routes.size());
    for (; state_->next_route_ < end; ++state_->next_route_)
    {
        state_->route_reader_->read(routes[state_->next_route_]);
    }
    if (end < routes.size())
    {
        return false;
    }
    if (!state_->errors_.empty())
    {
        throw error(error_kind::invalid_argument, list_faults(state_->errors_));
    }
    result_.template_ =
        std::make_shared<adopted_template>(std::move(state_->template_));
    return true;
}

parsed_template template_parser::take()
{
    return std::move(result_);
}

parsed_template parse_template(std::string text)
{
    template_parser parser(std::move(text));
    while (!parser.advance())
    {
    }
    return parser.take();
}

template_reader::template_reader(boost::asio::io_context& io)
    : io_(io), alive_(std::make_shared<bool>(true))
{
}

void template_reader::read(std::string text, handler const& done)
{
    advance(std::make_shared<template_parser>(std::move(text)), done);
}

void template_reader::advance(std::shared_ptr<template_parser> const& parser,
                              handler const& done)
{
    if (!parser->advance())
    {
        boost::asio::post(io_,
                          [this, parser, done, alive = std::weak_ptr(alive_)]
                          {
                              if (!alive.expired())
                              {
                                  advance(parser, done);
                              }
                          });
        return;
    }
    auto result = parser->take();
    auto text = result.text_;
    remember_parsed_template(std::move(result));
    done(std::move(text));
}

} // namespace daisytrail
