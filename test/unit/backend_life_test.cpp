// Tests of the order of a backend server's runs and announcements.
#include <daisytrail/backend_life.hpp>

#include <doctest/doctest.h>

using namespace daisytrail;
using namespace std::chrono_literals;

// An agent that was restarted while its backend server drained heard of the end
// before any announcement, and passed packets to nobody.
TEST_CASE("a backend server that ends before it was heard isn't gone")
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
    CHECK(lifecycle.run_count() == 1); // no run was heard before this one
    CHECK_FALSE(lifecycle.on_end("one"));
    CHECK(lifecycle.phase() == backend_phase::ready);
}
