// Faults that a backend server's stand-in takes by POST /fault.
#pragma once

#include <boost/json/object.hpp>

#include <cstdlib>

namespace daisytrail
{

struct backend_faults
{
    double work_time_factor_ = 1.0;     // factor on the time of the work
    bool fail_requests_ = false;        // answers with an error
    bool shed_requests_ = false;        // refuses all requests
    bool announcements_enabled_ = true; // tells its agent of itself

    // Takes what the object names; "crash" ends the process at once.
    void apply(boost::json::object const& settings)
    {
        if (settings.contains("crash"))
        {
            std::_Exit(1);
        }
        if (auto const* slow = settings.if_contains("slow"))
        {
            work_time_factor_ = slow->to_number<double>();
        }
        set(settings, "fail", fail_requests_);
        set(settings, "shed", shed_requests_);
        set(settings, "announce", announcements_enabled_);
    }

private:
    static void set(boost::json::object const& settings, char const* name,
                    bool& flag)
    {
        if (auto const* value = settings.if_contains(name))
        {
            flag = value->as_bool();
        }
    }
};

} // namespace daisytrail
