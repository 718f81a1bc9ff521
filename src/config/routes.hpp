// Reads the routes of a template.
#pragma once

#include "config/field_reader.hpp"

#include <daisytrail/organisation.hpp>

#include <boost/json/value.hpp>

#include <memory>

namespace daisytrail::detail
{

// Reads the array of routes. Requires that the organisation's name and services
// were read before.
void read_routes(value_reader const& in, organisation_template& out);

// Reads the routes of a stored template one by one, for a long template that is
// read in pieces.
class stored_route_reader
{
public:
    // Appends to the routes of `organisation`, whose name and services were
    // read before, and to `errors`. Both must outlive the reader.
    stored_route_reader(organisation_template& organisation, error_list& errors,
                        std::size_t count);
    ~stored_route_reader();

    // To be called for each of the `count` elements of the array, in order.
    void read(boost::json::value const& route);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace daisytrail::detail
