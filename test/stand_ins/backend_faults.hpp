// Faults that a backend server's stand-in takes by POST /fault.
#pragma once

#include <boost/json/object.hpp>

#include <cstdlib>

namespace daisytrail
{

struct backend_faults
{
    double slow_ = 1.0;    // factor on the time of the work
    bool fail_ = false;    // answers with an error
    bool shed_ = false;    // refuses all requests
    bool announce_ = true; // tells its agent of itself

    // Takes what the object names; "crash" ends the process at once.
    void apply(boost::json::object const& given)
    {
        if (given.contains("crash"))
        {
            std::_Exit(1);
        }
        if (auto const* slow = given.if_contains("slow"))
        {
            slow_ = slow->to_number<double>();
        }
        set(given, "fail", fail_);
        set(given, "shed", shed_);
        set(given, "announce", announce_);
    }

private:
    static void set(boost::json::object const& given, char const* name,
                    bool& flag)
    {
        if (auto const* value = given.if_contains(name))
        {
            flag = value->as_bool();
        }
    }
};

} // namespace daisytrail
