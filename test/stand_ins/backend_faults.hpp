// Faults of the stand-in backend server, set by POST /fault.
#pragma once

#include <boost/json/object.hpp>

#include <cstdlib>

namespace daisytrail
{

struct backend_faults
{
    double work_time_factor_ = 1.0;     // multiplies the service time
    bool fail_requests_ = false;        // answers every request with status 500
    bool shed_requests_ = false;        // refuses every request with status 503
    bool announcements_enabled_ = true; // sends periodic announcements

    // Changes the faults that the object names; "crash" ends the process
    // immediately.
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
