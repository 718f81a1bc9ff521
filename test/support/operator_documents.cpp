// Writes the documents field by field, as the platform's operator does.
#include "support/operator_documents.hpp"

#include <daisytrail/types.hpp>

namespace daisytrail
{

namespace
{

constexpr ipv4 first_address = 0xC6120001; // 198.18.0.1
constexpr std::size_t ports_per_address = 2;
constexpr std::size_t routes_per_split = 10;
constexpr char const* split = R"("split":[{"service":"till-0","weight":90},)"
                              R"({"service":"till-1","weight":10}])";
constexpr char const* single = R"("service":"till-0")";

// Returns a name that looks drawn, as operators' names do: a compression finds
// nothing in it that repeats.
std::string route_name(std::size_t number)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    constexpr std::size_t length = 7;
    auto rest = hash_name(std::to_string(number));
    std::string name = "r-";
    for (std::size_t i = 0; i < length; ++i)
    {
        name += letters[rest % letters.size()];
        rest /= letters.size();
    }
    return name;
}

std::string route_text(std::size_t number)
{
    auto const address =
        first_address + static_cast<ipv4>(number / ports_per_address);
    auto const host = to_string(endpoint{address, 0});
    return R"({"name":")" + route_name(number) + R"(","host":")" +
           host.substr(0, host.find(':')) + R"(","prefix":")" +
           (number % ports_per_address == 0 ? "/443/" : "/8443/") +
           R"(","type":"safe","timeoutMs":4000,"sloMs":300,"prio":2,)" +
           (number % routes_per_split == 0 ? split : single) +
           R"(,"attempts":2})";
}

std::string head_text(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"services":[{"name":"till-0","healthPath":"/health"},)"
           R"({"name":"till-1","healthPath":"/health"}],)"
           R"("limits":{"idleTimeoutMs":15000},"routes":[)";
}

constexpr std::string_view tail = "]}";

} // namespace

std::string make_document(std::uint64_t version, std::size_t routes)
{
    auto result = head_text(version);
    for (std::size_t i = 0; i < routes; ++i)
    {
        result += i == 0 ? "" : ",";
        result += route_text(i);
    }
    result += tail;
    return result;
}

std::string make_longest_document(std::uint64_t version, std::size_t bytes)
{
    auto result = head_text(version);
    for (std::size_t i = 0;; ++i)
    {
        auto const route = (i == 0 ? "" : ",") + route_text(i);
        if (result.size() + route.size() + tail.size() > bytes)
        {
            break;
        }
        result += route;
    }
    result += tail;
    result.append(bytes - result.size(), ' ');
    return result;
}

} // namespace daisytrail
