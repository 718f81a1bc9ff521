// Templates and settings.
#include "cli/template_diff.hpp"
#include "fuzz_input.hpp"

#include <daisytrail/organisation.hpp>
#include <daisytrail/settings.hpp>

using namespace daisytrail;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    std::string const text(data, data + size);
    auto const parsed = parse_organisation(text);
    for (auto const& fault : parsed.errors_)
    {
        require(!to_string(fault).empty() && !fault.expected_.empty());
    }
    if (parsed.errors_.empty())
    {
        require(!parsed.value_.name_.empty());
        require(diff_templates(parsed.value_, parsed.value_).empty());
    }
    auto const balancer = parse_balancer_settings(text);
    require(!balancer.errors_.empty() ||
            !balancer.value_.common_.keys_.empty());
    auto const agent = parse_agent_settings(text);
    require(!agent.errors_.empty() || !agent.value_.fabric_.empty());
    return 0;
}
