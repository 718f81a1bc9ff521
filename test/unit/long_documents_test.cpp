// Tests of operator's documents as long as the platform's store takes.
#include "net/adopted_template.hpp"
#include "platform/operator_config.hpp"
#include "support/operator_documents.hpp"

#include <doctest/doctest.h>

namespace daisytrail
{

// CONFIG: the store acknowledges the document, and no balancer adopts it.
TEST_CASE("an acknowledged document of the longest value of the store is "
          "refused by every balancer")
{
    auto const document = make_longest_document(18, platform_value_bytes);
    REQUIRE(document.size() == platform_value_bytes);
    auto const stored = platform::to_stored_template(document);
    CHECK(check_adopted_template(stored).value_or("in force") == "in force");
}

} // namespace daisytrail
