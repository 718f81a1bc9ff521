// Reading of /proc/PID/stat.
#include "support/process_usage.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace daisytrail
{

namespace
{

// Indices of the fields that follow the program's name. The name may contain
// spaces, so fields are counted from its closing parenthesis.
constexpr std::size_t user_ticks = 11;
constexpr std::size_t system_ticks = 12;
constexpr std::size_t resident_pages = 21;

} // namespace

process_usage read_usage(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string const text(std::istreambuf_iterator<char>(in), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> const words{
        std::istream_iterator<std::string>(fields), {}};
    auto const ticks =
        std::stod(words.at(user_ticks)) + std::stod(words.at(system_ticks));
    auto const bytes = std::stod(words.at(resident_pages)) *
                       static_cast<double>(sysconf(_SC_PAGESIZE));
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)), bytes / 1e6};
}

} // namespace daisytrail
