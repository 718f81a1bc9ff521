// Tests of the order of a backend server's runs and announcements.
#include <daisytrail/backend_lifecycle.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

// Guards against passing packets to a backend server that has ended: an agent
// that restarts while its backend server drains is notified of the end before
// it receives any announcement.
TEST_CASE("a backend server that ends unannounced is gone until its next run")
{
    backend_lifecycle lifecycle("orders");
    CHECK(lifecycle.on_end("one"));
    CHECK(lifecycle.phase() == backend_phase::gone);
    backend_announcement next;
    next.id_ = "two";
    next.service_ = "orders";
    next.started_at_ms_ = 1;
    next.sequence_ = 1;
    CHECK(lifecycle.on_announcement(next, time_point{1h}) ==
          announcement_outcome::accepted);
    CHECK(lifecycle.phase() == backend_phase::ready);
    CHECK(lifecycle.run_count() ==
          1); // the run that ended never announced itself
    CHECK_FALSE(lifecycle.on_end("one"));
    CHECK(lifecycle.phase() == backend_phase::ready);
}
