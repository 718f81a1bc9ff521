// Tests of what an operator is shown of a process.
#include "cli/fleet_client.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

// CONFIG: a fleet served by an older version than the store held, and nothing
// that an operator looks at said that the newer one was refused, or why.
TEST_CASE("the status doesn't tell that a version was refused")
{
    page_answer adopted;
    adopted.body_ =
        R"({"process":"b-1","in_force":[{"organisation":"o","version":15}],)"
        R"("refused":[{"organisation":"o","version":18,"reason":"too long"},)"
        R"(3,{"organisation":"p"}],"records":[]})";
    page_answer view;
    view.body_ = "{}";
    auto const status = read_status(adopted, view);
    CHECK(status.versions_.at("o") == 15);
    CHECK(status.refusals_ == std::vector<std::string>{"o@18: too long"});
    // A process of an earlier release tells of none.
    adopted.body_ = R"({"process":"b-1","in_force":[],"records":[]})";
    CHECK(read_status(adopted, view).refusals_.empty());
}

} // namespace daisytrail
