// Reads routes by tables of their fields, and checks what they refer to.
#include "config/routes.hpp"

#include <boost/unordered/unordered_flat_set.hpp>

#include <array>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace daisytrail::detail
{

namespace
{

// Bounds of an operator's text.
constexpr std::size_t max_routes = 50'000;
constexpr std::size_t max_shares = 16;
constexpr std::uint32_t max_share_weight = 1'000'000;

// A share as written in the template. Its service is identified by name until
// all services are read.
struct unresolved_share
{
    std::string service_;
    std::uint32_t weight_ = 1;
};

struct unresolved_route
{
    std::string name_;
    endpoint vip_;
    std::vector<unresolved_share> shares_;
};

constexpr std::array<field<unresolved_share>, 2> share_fields{{
    {"service", presence::required,
     [](value_reader const& in, unresolved_share& out)
     {
         in.name(out.service_);
     }},
    {"weight", presence::optional,
     [](value_reader const& in, unresolved_share& out)
     {
         in.number(out.weight_, 0,
                   in.has_bounds() ? max_share_weight
                                   : std::numeric_limits<std::uint32_t>::max());
     }},
}};

void read_shares(value_reader const& in, unresolved_route& out)
{
    if (!in.require_array(1, max_shares))
    {
        return;
    }
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        read_object(in.element(i), share_fields, out.shares_.emplace_back());
    }
}

constexpr std::array<field<unresolved_route>, 3> route_fields{{
    {"name", presence::required,
     [](value_reader const& in, unresolved_route& out)
     {
         in.name(out.name_);
     }},
    {"vip", presence::required,
     [](value_reader const& in, unresolved_route& out)
     {
         in.address(out.vip_);
     }},
    {"shares", presence::required, read_shares},
}};

// Resolves service names to identifiers. Adds errors for unknown services,
// services of another mode and duplicate VIPs.
class route_validator
{
public:
    explicit route_validator(organisation_template const& organisation)
        : organisation_(organisation)
    {
        for (auto const& service : organisation.services_)
        {
            modes_.emplace(service.name_, service.mode_);
            vips_.insert(service.vips_.begin(), service.vips_.end());
        }
    }

    route_template check(value_reader const& in, unresolved_route const& named)
    {
        route_template route{named.name_, named.vip_, {}};
        if (named.vip_.port_ != 0 && !vips_.insert(named.vip_).second)
        {
            in.add_error("VIP " + to_string(named.vip_) + " again",
                         "each VIP in one route or service only");
        }
        for (auto const& share : named.shares_)
        {
            check_service(in, share.service_);
            route.shares_.push_back(
                {hash_name(organisation_.name_ + "/" + share.service_),
                 share.weight_});
        }
        return route;
    }

private:
    void check_service(value_reader const& in, std::string const& name) const
    {
        auto const found = modes_.find(name);
        if (found == modes_.end())
        {
            in.add_error("service '" + name + "'",
                         "a service of this template");
        }
        else if (found->second != service_mode::forward)
        {
            in.add_error("service '" + name + "' of another mode",
                         "a service of mode 'forward'");
        }
    }

    organisation_template const& organisation_;
    std::map<std::string, service_mode> modes_;
    boost::unordered_flat_set<endpoint, endpoint_hash> vips_;
};

void read_route(value_reader const& in, route_validator& validator,
                organisation_template& out)
{
    unresolved_route named;
    read_object(in, route_fields, named);
    out.routes_.push_back(validator.check(in, named));
}

// Returns the object {"routes": []}, whose array has space for the routes, so
// that the readers of its elements stay valid.
json_node make_root(std::size_t count)
{
    json_node routes;
    routes.type_ = json_type::array;
    routes.key_ = "routes";
    routes.children_.reserve(count);
    json_node root;
    root.type_ = json_type::object;
    root.children_.push_back(std::move(routes));
    return root;
}

} // namespace

void read_routes(value_reader const& in, organisation_template& out)
{
    if (!in.require_array(0, max_routes))
    {
        return;
    }
    route_validator validator(out);
    for (std::size_t i = 0; i < in.node().children_.size(); ++i)
    {
        read_route(in.element(i), validator, out);
    }
}

struct stored_route_reader::state
{
    state(organisation_template& organisation, error_list& errors,
          std::size_t count)
        : organisation_(organisation), root_(make_root(count)),
          root_reader_(root_, errors, text_origin::stored_text),
          routes_reader_(root_reader_.member(0)), validator_(organisation)
    {
        organisation.routes_.reserve(count);
    }

    organisation_template& organisation_;
    json_node root_;
    value_reader root_reader_;
    value_reader routes_reader_;
    route_validator validator_;
};

stored_route_reader::stored_route_reader(organisation_template& organisation,
                                         error_list& errors, std::size_t count)
    : state_(std::make_unique<state>(organisation, errors, count))
{
}

stored_route_reader::~stored_route_reader() = default;

void stored_route_reader::read(boost::json::value const& route)
{
    auto& routes = state_->root_.children_.front().children_;
    routes.push_back(to_json_node(route));
    read_route(state_->routes_reader_.element(routes.size() - 1),
               state_->validator_, state_->organisation_);
    // Only the number of the element is needed from now on, for its path.
    routes.back() = {};
}

} // namespace daisytrail::detail
